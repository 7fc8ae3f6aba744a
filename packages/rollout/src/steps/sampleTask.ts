import type {
  MonotonicMs,
  SampleId,
  SoftwareVersion,
} from '@vanillacross/common';
import type {QueuedSample} from '@vanillacross/domain';

import type {Route, Sample, SampleResult} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {Generation} from './generation.js';
import type {Progress, ProgressPart} from './progress.js';
import {SampleText} from './sampleText.js';
import type {TrackedStep} from './stepRegistry.js';

/** Margin added to `sampleRetentionMs` before a sample is abandoned, ms. */
const RETENTION_MARGIN_MS = 10_000;

/** Processing stage of a sample at the process that runs it. */
export type SampleStage =
  'loading' | 'queued' | 'generating' | 'scoring' | 'storing';

/** A progress part whose text is not stored yet. */
export interface UnstoredPart extends Omit<ProgressPart, 'text'> {
  data: readonly string[];
}

/** The execution of one sample of an open step by this process. */
export class SampleTask implements QueuedSample {
  stage: SampleStage = 'queued';
  /** When the last run that added events to the text ended. */
  advancedAt: MonotonicMs;
  /** Number of runs since then that broke off without an event. */
  fruitlessRuns = 0;
  /**
   * Earlier result of this sample, whose text and versions are reused; null if
   * there is none.
   */
  reusedResult: SampleResult | null = null;
  generation: Generation | null = null;
  readonly text = new SampleText();
  /** Number of generations that failed with status 500. */
  engineFailures = 0;
  /** Number of responses with status 500 to the scoring request. */
  scoringFailures = 0;
  cancelScoring: (() => void) | null = null;
  isCancelled = false;

  /**
   * Slow engine that the sample last migrated away from. The sample is started
   * there again only if no other engine is available.
   */
  avoidedUpstream: Upstream | null = null;
  migrations = 0;
  /**
   * Number of events of the text that were submitted to the store or read from
   * it.
   */
  storedEvents = 0;
  private eventsAtRunEnd = 0;
  /** Chain that the text was resumed from; '' if from the beginning. */
  parent = '';
  /** Number of events that the chain takes over from its parent. */
  branch = 0;

  constructor(
    readonly trackedStep: TrackedStep,
    readonly sample: Sample,
    /** Index in the step. */
    readonly position: number,
    /** Partition whose owner runs the sample. */
    readonly runnerPartition: number,
    /** Id of the chain of events that this task generates. */
    public chain: string,
    readonly createdAt: MonotonicMs,
  ) {
    this.advancedAt = createdAt;
  }

  /** Notes the end of a run that an engine has executed. */
  recordRunEnd(now: MonotonicMs): void {
    const {lastEventId} = this.text;
    if (lastEventId <= this.eventsAtRunEnd) {
      this.fruitlessRuns++;
      return;
    }
    this.eventsAtRunEnd = lastEventId;
    this.fruitlessRuns = 0;
    this.advancedAt = now;
  }

  /** Resumes from stored progress with the data of its events. */
  resume(
    progress: Progress,
    software: SoftwareVersion,
    eventData: readonly string[],
  ): void {
    this.text.restore(eventData, progress.versions, software);
    this.storedEvents = this.text.lastEventId;
    this.eventsAtRunEnd = this.storedEvents;
    this.branch = this.storedEvents;
    this.parent = progress.chain;
  }

  /**
   * Returns the events that have not been submitted to the store yet and counts
   * them as submitted; null if there are none.
   */
  takeUnstored(): UnstoredPart | null {
    const after = this.storedEvents;
    const {lastEventId, versions, software} = this.text;
    if (lastEventId <= after) return null;
    this.storedEvents = lastEventId;
    const data = this.text.getEventsAfter(after);
    const {id, chain, parent, branch} = this;
    const events = data.length;
    return {
      sample: id,
      chain,
      parent,
      branch,
      after,
      events,
      versions,
      software,
      data,
    };
  }

  get id(): SampleId {
    return this.sample.id;
  }

  /** Discards the text and starts a new chain from the beginning. */
  restart(chain: string): void {
    this.text.clear();
    this.eventsAtRunEnd = 0;
    this.fruitlessRuns = 0;
    this.chain = chain;
    this.parent = '';
    this.branch = 0;
    this.storedEvents = 0;
  }

  get acceptedAt(): number {
    return this.trackedStep.step.acceptedAt;
  }

  get unfinishedInGroup(): number {
    return this.trackedStep.unlistedByGroup.get(this.sample.group) ?? 0;
  }

  get expectedTokens(): number {
    return this.sample.expectedTokens ?? this.sample.tokens;
  }

  /** Whether an unfinished sample may be abandoned. */
  isPastRetention(route: Route, wallMs: number): boolean {
    if (route.sampleRetentionMs <= 0) return false;
    const ageMs = wallMs - this.trackedStep.step.acceptedAt;
    return ageMs > route.sampleRetentionMs + RETENTION_MARGIN_MS;
  }

  /** Aborts the generation and cancels the scoring request. */
  cancel(): void {
    this.isCancelled = true;
    this.generation?.abort();
    this.generation = null;
    this.cancelScoring?.();
  }
}
