import type {Clock, Logger, RequestId, SampleId} from '@vanillacross/common';

import type {Sample, SampleResult, Step} from '../model/index.js';
import type {Progress} from './progress.js';
import {ProgressTracker} from './progress.js';
import type {StepRecord} from './records.js';
import {getRunnerCount} from './runnerPartition.js';

/** A step with what is listed of it. */
export interface TrackedStep {
  step: Step;
  partition: number;
  samples: ReadonlyMap<SampleId, Sample>;
  /** In the order of the stream, which is the order for every reader. */
  results: SampleResult[];
  listedSamples: Set<SampleId>;
  isEnded: boolean;
}

/** A change of the book that its listeners are told. */
export type StepChange =
  | {tag: 'accepted'; trackedStep: TrackedStep}
  | {tag: 'listed'; trackedStep: TrackedStep; sample: SampleId}
  | {tag: 'ended'; trackedStep: TrackedStep};

/** Ended steps stay readable this much longer than stated, ms. */
const STATUS_MARGIN_MS = 30_000;
/** Ends of unknown steps that are kept. */
const MAX_EARLY_ENDS = 1_000;

/** Key of what belongs to one partition; ids may recur in another one. */
function getKey(partition: number, id: RequestId | SampleId): string {
  return `${partition}/${id}`;
}

/**
 * All steps of the stream. The first record of a step, of a result and of an
 * end counts within its partition, so that every process lists the same.
 */
export class StepRegistry {
  private readonly steps = new Map<string, TrackedStep>();
  /** Completed samples, as their group may come again in a later step. */
  private readonly completed = new Map<string, SampleResult>();
  private readonly progress = new ProgressTracker();
  private readonly earlyEnds = new Set<string>();
  /** Number of open steps by the partition whose owner runs their samples. */
  private readonly openByRunner = new Map<number, number>();
  private readonly listeners: Array<(change: StepChange) => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly statusMs: number,
  ) {}

  onChange(listener: (change: StepChange) => void): void {
    this.listeners.push(listener);
  }

  get(partition: number, id: RequestId): TrackedStep | undefined {
    return this.steps.get(getKey(partition, id));
  }

  /** The newest result of a sample in any step of a partition. */
  getCompleted(partition: number, sample: SampleId): SampleResult | undefined {
    return this.completed.get(getKey(partition, sample));
  }

  /** The stored text of an unfinished sample. */
  getProgress(partition: number, sample: SampleId): Progress | undefined {
    return this.progress.get(getKey(partition, sample));
  }

  /** Partitions at most whose owners run samples of open steps. */
  getOpenRunnerCount(): number {
    return this.openByRunner.size;
  }

  getAll(): Iterable<TrackedStep> {
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
    if (record.tag === 'end') return this.applyEnd(record.step, partition);
    if (record.tag === 'progress') {
      const key = getKey(partition, record.part.sample);
      return this.progress.apply(key, record.part);
    }
    this.applyResult(record.step, record.result, partition);
  }

  /** Drops steps whose status need no longer be told. */
  removeExpired(): void {
    const oldest = this.clock.wallNow() - this.statusMs - STATUS_MARGIN_MS;
    for (const [key, open] of this.steps) {
      if (open.step.acceptedAt >= oldest || !open.isEnded) continue;
      this.steps.delete(key);
      for (const sample of open.listedSamples) {
        this.completed.delete(getKey(open.partition, sample));
      }
    }
  }

  private applyStep(step: Step, partition: number): void {
    const key = getKey(partition, step.id);
    if (this.steps.has(key)) {
      this.logger.info('step was submitted again', {step: step.id});
      return;
    }
    const open: TrackedStep = {
      step,
      partition,
      samples: new Map(step.samples.map(sample => [sample.id, sample])),
      results: [],
      listedSamples: new Set(),
      isEnded: this.earlyEnds.delete(key),
    };
    this.steps.set(key, open);
    if (!open.isEnded) this.countOpen(open, 1);
    this.notify({tag: 'accepted', trackedStep: open});
  }

  private applyResult(
    id: RequestId,
    result: SampleResult,
    partition: number,
  ): void {
    const open = this.get(partition, id);
    if (!open || open.isEnded) return;
    if (!open.samples.has(result.sample)) return;
    if (open.listedSamples.has(result.sample)) return;
    open.listedSamples.add(result.sample);
    open.results.push(result);
    const key = getKey(partition, result.sample);
    this.progress.delete(key);
    if (result.state === 'completed') this.completed.set(key, result);
    this.notify({tag: 'listed', trackedStep: open, sample: result.sample});
  }

  private applyEnd(id: RequestId, partition: number): void {
    const open = this.get(partition, id);
    if (!open) {
      if (this.earlyEnds.size >= MAX_EARLY_ENDS) return;
      this.earlyEnds.add(getKey(partition, id));
      return;
    }
    if (open.isEnded) return;
    open.isEnded = true;
    this.countOpen(open, -1);
    this.notify({tag: 'ended', trackedStep: open});
  }

  private countOpen({partition, samples}: TrackedStep, change: 1 | -1): void {
    for (let shift = 0; shift < getRunnerCount(samples.size); shift++) {
      const runner = partition + shift;
      const count = (this.openByRunner.get(runner) ?? 0) + change;
      if (count > 0) this.openByRunner.set(runner, count);
      else this.openByRunner.delete(runner);
    }
  }

  private notify(change: StepChange): void {
    for (const listener of this.listeners) listener(change);
  }
}
