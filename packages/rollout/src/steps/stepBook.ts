import type {Clock, Logger, RequestId, SampleId} from '@vanillacross/common';

import type {Sample, SampleResult, Step} from '../model/index.js';
import {ProgressBook} from './progress.js';
import type {StepRecord} from './records.js';

/** A step with what is listed of it. */
export interface OpenStep {
  step: Step;
  partition: number;
  samples: ReadonlyMap<SampleId, Sample>;
  /** In the order of the stream, which is the order for every reader. */
  results: SampleResult[];
  listed: Set<SampleId>;
  isEnded: boolean;
}

/** A change of the book that its listeners are told. */
export type StepChange =
  | {tag: 'accepted'; open: OpenStep}
  | {tag: 'listed'; open: OpenStep; sample: SampleId}
  | {tag: 'ended'; open: OpenStep};

/** Ended steps stay readable this much longer than stated, ms. */
const STATUS_MARGIN_MS = 30_000;
/** Ends of unknown steps that are kept. */
const MAX_EARLY_ENDS = 1_000;

/**
 * All steps of the stream. The first record of a step, of a result and of an
 * end counts, so that every process lists the same.
 */
export class StepBook {
  private readonly steps = new Map<RequestId, OpenStep>();
  /** Completed samples, as their group may come again in a later step. */
  private readonly completed = new Map<SampleId, SampleResult>();
  readonly progress = new ProgressBook();
  private readonly earlyEnds = new Set<RequestId>();
  private readonly listeners: Array<(change: StepChange) => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly statusMs: number,
  ) {}

  onChange(listener: (change: StepChange) => void): void {
    this.listeners.push(listener);
  }

  get(id: RequestId): OpenStep | undefined {
    return this.steps.get(id);
  }

  /** The newest result of a sample in any step. */
  getCompleted(sample: SampleId): SampleResult | undefined {
    return this.completed.get(sample);
  }

  getAll(): Iterable<OpenStep> {
    return this.steps.values();
  }

  /** The highest version that an open step of a model asks for at least. */
  getNeededVersion(model: string): number {
    let needed = 0;
    for (const {step, isEnded} of this.steps.values()) {
      if (isEnded || step.model !== model) continue;
      needed = Math.max(needed, step.minVersion);
    }
    return needed;
  }

  /** Applies the next record of a partition. */
  apply(record: StepRecord, partition: number): void {
    if (record.tag === 'step') return this.applyStep(record.step, partition);
    if (record.tag === 'end') return this.applyEnd(record.step);
    if (record.tag === 'progress') return this.progress.apply(record.part);
    this.applyResult(record.step, record.result);
  }

  /** Drops steps whose status need no longer be told. */
  sweep(): void {
    const oldest = this.clock.wallNow() - this.statusMs - STATUS_MARGIN_MS;
    for (const [id, open] of this.steps) {
      if (open.step.acceptedAt >= oldest || !open.isEnded) continue;
      this.steps.delete(id);
      for (const sample of open.listed) this.completed.delete(sample);
    }
  }

  private applyStep(step: Step, partition: number): void {
    if (this.steps.has(step.id)) {
      this.logger.info('step was submitted again', {step: step.id});
      return;
    }
    const open: OpenStep = {
      step,
      partition,
      samples: new Map(step.samples.map(sample => [sample.id, sample])),
      results: [],
      listed: new Set(),
      isEnded: this.earlyEnds.delete(step.id),
    };
    this.steps.set(step.id, open);
    this.notify({tag: 'accepted', open});
  }

  private applyResult(id: RequestId, result: SampleResult): void {
    const open = this.steps.get(id);
    if (!open || open.isEnded) return;
    if (!open.samples.has(result.sample)) return;
    if (open.listed.has(result.sample)) return;
    open.listed.add(result.sample);
    open.results.push(result);
    this.progress.delete(result.sample);
    if (result.state === 'completed') {
      this.completed.set(result.sample, result);
    }
    this.notify({tag: 'listed', open, sample: result.sample});
  }

  private applyEnd(id: RequestId): void {
    const open = this.steps.get(id);
    if (!open) {
      if (this.earlyEnds.size < MAX_EARLY_ENDS) this.earlyEnds.add(id);
      return;
    }
    if (open.isEnded) return;
    open.isEnded = true;
    this.notify({tag: 'ended', open});
  }

  private notify(change: StepChange): void {
    for (const listener of this.listeners) listener(change);
  }
}
