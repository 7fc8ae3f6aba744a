import type {Clock, Logger, Metrics, SampleId} from '@vanillacross/common';

import type {SampleStage, SampleTask} from './sampleTask.js';
import type {TrackedStep} from './stepRegistry.js';

/** Part of the time of a sample. */
type StepPart = 'queue' | 'generation' | 'scoring' | 'store';

const PARTS: readonly StepPart[] = ['queue', 'generation', 'scoring', 'store'];

const partByStage: Readonly<Record<SampleStage, StepPart>> = {
  loading: 'queue',
  queued: 'queue',
  generating: 'generation',
  scoring: 'scoring',
  storing: 'store',
};

/** Maximum number of open steps to track; the oldest are evicted. */
const MAX_STEPS = 256;

/** Times of one sample, ms. */
interface SampleTimes {
  group: string;
  expectedTokens: number | null;
  events: number;
  elapsedMs: Record<StepPart, number>;
  /** Current part and its start; null once the result is listed. */
  current: {part: StepPart; since: number} | null;
}

type TimesBySample = Map<SampleId, SampleTimes>;

export interface StepTimesOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

function getTotalMs({elapsedMs}: SampleTimes): number {
  return PARTS.reduce((sum, part) => sum + elapsedMs[part], 0);
}

/** Returns the median; NaN without values. */
function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle];
  return (sorted[middle - 1] + sorted[middle]) / 2;
}

/** Returns the times rounded to whole ms, under the names of the log line. */
function getFields(
  elapsedMs: Readonly<Record<StepPart, number>>,
): Record<string, number> {
  return Object.fromEntries(
    PARTS.map(part => [`${part}Ms`, Math.round(elapsedMs[part])]),
  );
}

/**
 * Collects where the samples that this process runs spend their time. Writes one
 * log line per step, when the step has ended or all of these samples are listed.
 */
export class StepTimes {
  private readonly steps = new Map<TrackedStep, TimesBySample>();

  constructor(private readonly options: StepTimesOptions) {}

  /** Notes that a sample has entered its present stage. */
  enter(task: SampleTask): void {
    const {trackedStep, sample, stage, text} = task;
    if (trackedStep.isEnded) return;
    const times = this.getTimes(trackedStep, sample.id) ?? {
      group: sample.group,
      expectedTokens: sample.expectedTokens,
      events: 0,
      elapsedMs: {queue: 0, generation: 0, scoring: 0, store: 0},
      current: null,
    };
    this.closeCurrent(times);
    times.current = {
      part: partByStage[stage],
      since: this.options.clock.now(),
    };
    times.events = text.lastEventId;
    const bySample: TimesBySample = this.steps.get(trackedStep) ?? new Map();
    bySample.set(sample.id, times);
    this.steps.set(trackedStep, bySample);
    for (const oldest of this.steps.keys()) {
      if (this.steps.size <= MAX_STEPS) break;
      this.steps.delete(oldest);
    }
  }

  /** Notes that the result of a sample is listed. */
  list(tracked: TrackedStep, sample: SampleId): void {
    const times = this.getTimes(tracked, sample);
    if (!times) return;
    this.closeCurrent(times);
    this.reportIfListed(tracked);
  }

  /** Discards a sample that another process takes over. */
  release(tracked: TrackedStep, sample: SampleId): void {
    const bySample = this.steps.get(tracked);
    if (!bySample?.delete(sample)) return;
    if (bySample.size === 0) this.steps.delete(tracked);
    else this.reportIfListed(tracked);
  }

  /** Notes that a step has ended; unfinished samples are counted so far. */
  end(tracked: TrackedStep): void {
    const bySample = this.steps.get(tracked);
    if (!bySample) return;
    const listed = [...bySample.values()].filter(t => t.current === null);
    for (const times of bySample.values()) this.closeCurrent(times);
    this.report(tracked, bySample, listed);
  }

  private getTimes(
    tracked: TrackedStep,
    sample: SampleId,
  ): SampleTimes | undefined {
    return this.steps.get(tracked)?.get(sample);
  }

  private closeCurrent(times: SampleTimes): void {
    if (!times.current) return;
    const {part, since} = times.current;
    times.elapsedMs[part] += this.options.clock.now() - since;
    times.current = null;
  }

  private reportIfListed(tracked: TrackedStep): void {
    const bySample = this.steps.get(tracked);
    if (!bySample) return;
    const all = [...bySample.values()];
    if (all.some(({current}) => current !== null)) return;
    this.report(tracked, bySample, all);
  }

  /** Writes the medians of listed samples and the slowest of all samples. */
  private report(
    tracked: TrackedStep,
    bySample: TimesBySample,
    listed: readonly SampleTimes[],
  ): void {
    this.steps.delete(tracked);
    const {clock, logger, metrics} = this.options;
    const {step} = tracked;
    const [slowestId, slowest] = [...bySample].reduce((a, b) =>
      getTotalMs(b[1]) > getTotalMs(a[1]) ? b : a,
    );
    const medians = {queue: 0, generation: 0, scoring: 0, store: 0};
    if (listed.length > 0) {
      for (const part of PARTS) {
        medians[part] = getMedian(listed.map(t => t.elapsedMs[part]));
        metrics.observe('vc_step_ms', medians[part], {part});
      }
    }
    metrics.observe('vc_step_ms', getTotalMs(slowest), {part: 'slowest'});
    logger.info('step times', {
      step: step.id,
      model: step.model,
      isEnded: tracked.isEnded,
      elapsedMs: Math.round(clock.wallNow() - step.acceptedAt),
      samples: bySample.size,
      listed: listed.length,
      ...getFields(medians),
      slowest: {
        sample: slowestId,
        group: slowest.group,
        expectedTokens: slowest.expectedTokens,
        events: slowest.events,
        totalMs: Math.round(getTotalMs(slowest)),
        ...getFields(slowest.elapsedMs),
      },
    });
  }
}
