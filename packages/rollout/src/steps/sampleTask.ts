import type {MonotonicMs, SampleId} from '@vanillacross/common';

import type {Route, Sample, SampleResult} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {Generation} from './generation.js';
import type {Progress, ProgressPart} from './progress.js';
import {SampleText} from './sampleText.js';
import type {TrackedStep} from './stepRegistry.js';

/** A sample is given up this much after its retention, ms. */
const RETENTION_MARGIN_MS = 10_000;

/** Where a sample stands at the process that runs it. */
export type SampleStage =
  'loading' | 'queued' | 'generating' | 'scoring' | 'storing';

/** Events that are about to be stored. */
export interface UnstoredPart extends Omit<ProgressPart, 'text'> {
  data: readonly string[];
}

/** A sample of an open step that this process runs. */
export class SampleTask {
  stage: SampleStage = 'queued';
  /** Text of an earlier step that becomes the result. */
  reusedResult: SampleResult | null = null;
  generation: Generation | null = null;
  readonly text = new SampleText();
  /** Failed attempts that engines counted. */
  engineFailures = 0;
  /** Answers with 500 to the scoring request. */
  scoringFailures = 0;
  cancelScoring: (() => void) | null = null;
  isCancelled = false;

  /** Engine that was too slow and should not be chosen again. */
  avoidedUpstream: Upstream | null = null;
  migrations = 0;
  /** Events of the text that are stored. */
  storedEvents = 0;
  /** Chain that the stored text was taken from. */
  parent = '';
  /** Events of the parent that the text goes on from. */
  branch = 0;

  constructor(
    readonly trackedStep: TrackedStep,
    readonly sample: Sample,
    /** Position in the step. */
    readonly position: number,
    /** Partition whose owner runs it. */
    readonly runnerPartition: number,
    /** Names the text that this task makes. */
    public chain: string,
    readonly createdAt: MonotonicMs,
  ) {}

  /** Goes on from stored text, whose pieces are the data of its events. */
  resume(progress: Progress, pieces: readonly string[]): void {
    this.text.extend(pieces, progress.versions);
    this.storedEvents = this.text.lastEventId;
    this.branch = this.storedEvents;
    this.parent = progress.chain;
  }

  /** The events that are not stored yet, or null if there are none. */
  takeUnstored(): UnstoredPart | null {
    const after = this.storedEvents;
    const {lastEventId, versions} = this.text;
    if (lastEventId <= after) return null;
    this.storedEvents = lastEventId;
    const data = this.text.getEventsAfter(after);
    const {id, chain, parent, branch} = this;
    const events = data.length;
    return {sample: id, chain, parent, branch, after, events, versions, data};
  }

  get id(): SampleId {
    return this.sample.id;
  }

  /** Names the sample among requests that may crash engines. */
  get fingerprint(): string {
    return `${this.trackedStep.step.account}/${this.sample.id}`;
  }

  /** Forgets the text; what follows is another run of events. */
  restart(chain: string): void {
    this.text.clear();
    this.chain = chain;
    this.parent = '';
    this.branch = 0;
    this.storedEvents = 0;
  }

  /** Whether a sample that is not done may be given up. */
  isPastRetention(route: Route, wallMs: number): boolean {
    if (route.sampleRetentionMs <= 0) return false;
    const ageMs = wallMs - this.trackedStep.step.acceptedAt;
    return ageMs > route.sampleRetentionMs + RETENTION_MARGIN_MS;
  }

  /** Ends what is under way for it. */
  cancel(): void {
    this.isCancelled = true;
    this.generation?.abort();
    this.generation = null;
    this.cancelScoring?.();
  }
}

/**
 * Order in which waiting samples start: older steps first, then the samples
 * that are expected to take longest, as they decide when a group is complete.
 */
export function compareTasks(a: SampleTask, b: SampleTask): number {
  const byAge = a.trackedStep.step.acceptedAt - b.trackedStep.step.acceptedAt;
  if (byAge !== 0) return byAge;
  const expected = (task: SampleTask) =>
    task.sample.expectedTokens ?? task.sample.tokens;
  return expected(b) - expected(a) || a.position - b.position;
}
