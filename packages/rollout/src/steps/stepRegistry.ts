import type {Clock, Logger, RequestId, SampleId} from '@vanillacross/common';

import type {Sample, SampleResult, Step} from '../model/index.js';
import type {Progress} from './progress.js';
import {ProgressTracker} from './progress.js';
import type {StepRecord} from './records.js';
import type {RunnerLayout} from './runnerPartition.js';
import {getRunnerPartitionCount} from './runnerPartition.js';

/**
 * A step with its listed results. A result becomes listed, that is visible to
 * callers, when it is read from the step stream. Only the first result of a sample
 * is listed, and none after the end of the step.
 */
export interface TrackedStep {
  step: Step;
  partition: number;
  samples: ReadonlyMap<SampleId, Sample>;
  /** In stream order, which is the same for every process. */
  results: SampleResult[];
  listedSamples: Set<SampleId>;
  /** Number of samples of each group that are not listed yet. */
  unlistedByGroup: Map<string, number>;
  isEnded: boolean;
}

/** A change of the registry that its listeners are notified of. */
export type StepChange =
  | {tag: 'accepted'; trackedStep: TrackedStep}
  | {tag: 'listed'; trackedStep: TrackedStep; sample: SampleId}
  | {tag: 'ended'; trackedStep: TrackedStep};

/**
 * Margin added to `statusRetentionMs`, ms. An ended step is removed at the
 * earliest when both together have passed since its acceptance.
 */
const STATUS_MARGIN_MS = 30_000;
/** Maximum number of retained end records whose step is not known yet. */
const MAX_PENDING_ENDS = 1_000;

/** Ids are unique only within a partition. */
function getKey(partition: number, id: RequestId | SampleId): string {
  return `${partition}/${id}`;
}

function countByGroup(samples: readonly Sample[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {group} of samples) {
    counts.set(group, (counts.get(group) ?? 0) + 1);
  }
  return counts;
}

/**
 * State of all steps, built from the step stream. Within a partition only the
 * first record of a step, of a sample's result and of a step's end counts, so
 * that every process derives the same state.
 */
export class StepRegistry {
  private readonly steps = new Map<string, TrackedStep>();
  /**
   * Results of completed samples; they are reused if a later step submits the
   * group again.
   */
  private readonly completed = new Map<string, SampleResult>();
  private readonly progress = new ProgressTracker();
  private readonly pendingEnds = new Set<string>();
  /** For each partition, the number of open steps whose samples its owner runs. */
  private readonly openStepCounts = new Map<number, number>();
  private readonly listeners: Array<(change: StepChange) => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly statusRetentionMs: number,
    private readonly layout: RunnerLayout,
  ) {}

  onChange(listener: (change: StepChange) => void): void {
    this.listeners.push(listener);
  }

  get(partition: number, id: RequestId): TrackedStep | undefined {
    return this.steps.get(getKey(partition, id));
  }

  /** The last completed result of a sample in any step of the partition. */
  getCompleted(partition: number, sample: SampleId): SampleResult | undefined {
    return this.completed.get(getKey(partition, sample));
  }

  /** The stored progress of an unfinished sample. */
  getProgress(partition: number, sample: SampleId): Progress | undefined {
    return this.progress.get(getKey(partition, sample));
  }

  /** Upper bound on the number of partition owners that run samples. */
  getOpenRunnerCount(): number {
    return this.openStepCounts.size;
  }

  getAll(): Iterable<TrackedStep> {
    return this.steps.values();
  }

  /** The highest `minVersion` of the open steps of a model; 0 without any. */
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

  /** Removes ended steps whose status need no longer be available. */
  removeExpired(): void {
    const oldest =
      this.clock.wallNow() - this.statusRetentionMs - STATUS_MARGIN_MS;
    for (const [key, tracked] of this.steps) {
      if (tracked.step.acceptedAt >= oldest || !tracked.isEnded) continue;
      this.steps.delete(key);
      for (const sample of tracked.listedSamples) {
        this.completed.delete(getKey(tracked.partition, sample));
      }
    }
  }

  private applyStep(step: Step, partition: number): void {
    const key = getKey(partition, step.id);
    if (this.steps.has(key)) {
      this.logger.info('ignoring a step that was submitted again', {
        step: step.id,
      });
      return;
    }
    const tracked: TrackedStep = {
      step,
      partition,
      samples: new Map(step.samples.map(sample => [sample.id, sample])),
      results: [],
      listedSamples: new Set(),
      unlistedByGroup: countByGroup(step.samples),
      isEnded: this.pendingEnds.delete(key),
    };
    this.steps.set(key, tracked);
    if (!tracked.isEnded) this.updateOpenSteps(tracked, 1);
    this.notify({tag: 'accepted', trackedStep: tracked});
  }

  private applyResult(
    id: RequestId,
    result: SampleResult,
    partition: number,
  ): void {
    const tracked = this.get(partition, id);
    if (!tracked || tracked.isEnded) return;
    if (!tracked.samples.has(result.sample)) return;
    if (tracked.listedSamples.has(result.sample)) return;
    tracked.listedSamples.add(result.sample);
    tracked.results.push(result);
    const {group} = tracked.samples.get(result.sample)!;
    const unlisted = tracked.unlistedByGroup.get(group) ?? 0;
    tracked.unlistedByGroup.set(group, unlisted - 1);
    const key = getKey(partition, result.sample);
    this.progress.delete(key);
    if (result.state === 'completed') this.completed.set(key, result);
    this.notify({tag: 'listed', trackedStep: tracked, sample: result.sample});
  }

  private applyEnd(id: RequestId, partition: number): void {
    const tracked = this.get(partition, id);
    if (!tracked) {
      if (this.pendingEnds.size >= MAX_PENDING_ENDS) return;
      this.pendingEnds.add(getKey(partition, id));
      return;
    }
    if (tracked.isEnded) return;
    tracked.isEnded = true;
    this.updateOpenSteps(tracked, -1);
    this.notify({tag: 'ended', trackedStep: tracked});
  }

  private updateOpenSteps(
    {partition, samples}: TrackedStep,
    change: 1 | -1,
  ): void {
    for (
      let offset = 0;
      offset < getRunnerPartitionCount(samples.size, this.layout);
      offset++
    ) {
      // Not reduced modulo the partition count: a step that wraps around past the
      // last partition may have a partition counted twice, which the upper bound
      // of `getOpenRunnerCount` allows.
      const runnerPartition = partition + offset;
      const count = (this.openStepCounts.get(runnerPartition) ?? 0) + change;
      if (count > 0) this.openStepCounts.set(runnerPartition, count);
      else this.openStepCounts.delete(runnerPartition);
    }
  }

  private notify(change: StepChange): void {
    for (const listener of this.listeners) listener(change);
  }
}
