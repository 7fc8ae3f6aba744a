import type {MonotonicMs, Result, SampleId} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import type {
  SampleSpec,
  SampleStart,
  WeightSpan,
  StepContent,
  Trainer,
} from '@vanillacross/domain';
import {
  accountSchema,
  canMeetVersionAge,
  getRecordBody,
  getOldestVersion,
  getStepHash,
  SampleScheduler,
} from '@vanillacross/domain';
import type {ScoringPort} from '@vanillacross/platform';

import {createAccessTableCache} from './callerServer.js';
import {createLoop} from './loop.js';
import {createNotRunRefusal} from './refusals.js';
import type {SampleAttemptOutcome, SampleProgress} from './sampleAttempt.js';
import {emptyProgress, runSampleAttempt} from './sampleAttempt.js';
import {createSampleRequest, findSamplePool} from './sampleRequest.js';
import {scoreSample} from './sampleScoring.js';
import type {RunningAttempt, StepRun, GenerationState} from './stepRun.js';
import {createStepRun} from './stepRun.js';
import type {
  Context,
  ControlFollower,
  Dispatcher,
  Component,
  Refusal,
} from './types.js';

/** Newest version of the model and the bound on the age of its samples. */
export interface VersionBound {
  newest: number;
  maxAge: number;
}

/** Generates the samples of all steps that this entry holds. */
export interface SampleTask extends Component {
  /** Takes a step; samples in `acknowledged` are not generated. */
  submit(
    trainerId: string,
    trainer: Trainer,
    step: string,
    content: StepContent,
    acknowledged: ReadonlySet<string>,
  ): Result<StepRun, Refusal>;
  getStep(trainer: string, step: string): StepRun | null;
  getVersionBound(step: StepRun): VersionBound;
  /** Generates a sample anew that became too old. */
  regenerate(step: StepRun, id: SampleId): void;
  /** Marks samples that the trainer has and ends work on them. */
  acknowledge(step: StepRun, ids: Iterable<string>): void;
  /** Notes that the trainer of a step called. */
  extendExpiry(step: StepRun): void;
}

export interface SampleLimits {
  /** Steps that this entry holds for one trainer. */
  maxSteps: number;
  /** Samples that are generated at the same time. */
  maxRunning: number;
  /** Time for one attempt at a sample, ms. */
  attemptTimeoutMs: number;
  /** How long a step is held after its trainer's last call, ms. */
  stepRetentionMs: number;
  /** Attempts to score one sample. */
  maxScoreAttempts: number;
}

export const defaultSampleLimits: SampleLimits = {
  maxSteps: 16,
  maxRunning: 256,
  attemptTimeoutMs: 300_000,
  stepRetentionMs: 900_000,
  maxScoreAttempts: 5,
};

/** What the sample task uses besides the entry's parts. */
export interface SampleTaskOptions {
  scoring: ScoringPort | null;
  getNewestVersion(model: string): number;
  /**
   * Upstreams of a pool by their live weight version, if it is known. New
   * work avoids those that are too old already.
   */
  getLiveVersions?(pool: string): ReadonlyMap<string, number>;
  limits: SampleLimits;
}

/** A second run of a straggler, from its start. */
interface Hedge {
  /** Upstreams that run the sample already. */
  avoid: string[];
}

/** State of a trainer's generation besides its shares. */
interface TrainerState {
  running: number;
  failures: number;
  blockedUntil: MonotonicMs;
}

const TICK_MS = 50;
const BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;
/** Failures in a row that still lengthen the backoff. */
const MAX_FAILURES = 16;

const defaultAccount = accountSchema.parse({});

/** Creates the task that generates samples. */
export function createSampleTask(
  context: Context,
  control: ControlFollower,
  dispatcher: Dispatcher,
  options: SampleTaskOptions,
): SampleTask {
  const {clock, metrics} = context;
  const {limits} = options;
  const logger = context.logger.child('samples');
  const schedule = new SampleScheduler();
  const getTable = createAccessTableCache(control);
  const steps = new Map<string, Map<string, StepRun>>();
  const trainers = new Map<string, TrainerState>();
  const newest = new Map<string, number>();
  let running = 0;
  let isStopping = false;

  function getRecord(trainer: string): Trainer | null {
    return getRecordBody(control.getState(), 'trainer', trainer);
  }

  function getNewest(model: string): number {
    // A version that was newest once does not become older again.
    const known = newest.get(model) ?? 0;
    const version = Math.max(known, options.getNewestVersion(model));
    newest.set(model, version);
    return version;
  }

  /** A version that made tokens is live, whether or not it was reported. */
  function noteVersions(model: string, spans: readonly WeightSpan[]): void {
    const highest = spans.reduce((max, [v]) => Math.max(max, v), 0);
    newest.set(model, Math.max(newest.get(model) ?? 0, highest));
  }

  function getBound(trainer: string): VersionBound {
    const record = getRecord(trainer);
    if (!record) return {newest: Infinity, maxAge: 0};
    return {newest: getNewest(record.model), maxAge: record.maxVersionAge};
  }

  /** The bound as of the last tick; cheap enough for each token. */
  function getRecentBound(trainer: string): VersionBound {
    const record = getRecord(trainer);
    if (!record) return {newest: Infinity, maxAge: 0};
    const version = newest.get(record.model) ?? 0;
    return {newest: version, maxAge: record.maxVersionAge};
  }

  function getTrainerState(id: string): TrainerState {
    let state = trainers.get(id);
    if (!state) {
      state = {running: 0, failures: 0, blockedUntil: clock.now()};
      trainers.set(id, state);
    }
    return state;
  }

  /** Upstreams whose weights are too old; null if no other is left. */
  function getStaleUpstreams(
    poolId: string,
    {newest: version, maxAge}: VersionBound,
  ): string[] | null {
    const versions =
      options.getLiveVersions?.(poolId) ?? new Map<string, number>();
    const stale = [...versions]
      .filter(([, live]) => !canMeetVersionAge(version, live, maxAge))
      .map(([id]) => id);
    return versions.size > 0 && stale.length === versions.size ? null : stale;
  }

  function mayStart(trainerId: string): boolean {
    const record = getRecord(trainerId);
    if (!record || isStopping) return false;
    const state = getTrainerState(trainerId);
    if (state.blockedUntil > clock.now()) return false;
    const account =
      getRecordBody(control.getState(), 'account', record.account) ??
      defaultAccount;
    return state.running < account.maxConcurrent;
  }

  function block(trainerId: string, retryAfterMs: number): void {
    const state = getTrainerState(trainerId);
    // Runs that fail together count as one failure.
    if (state.blockedUntil > clock.now()) return;
    const backoffMs = Math.min(
      BACKOFF_MS * 2 ** state.failures,
      MAX_BACKOFF_MS,
    );
    state.failures = Math.min(state.failures + 1, MAX_FAILURES);
    const spanMs = Math.max(backoffMs, Math.min(retryAfterMs, MAX_BACKOFF_MS));
    state.blockedUntil = getDeadline(clock.now(), spanMs);
  }

  /** Progress that may be continued; what is too old is made anew. */
  function takeProgress(
    {partialProgress: progresses}: GenerationState,
    id: SampleId,
    bound: VersionBound,
  ): SampleProgress {
    const progress = progresses.get(id) ?? emptyProgress;
    progresses.delete(id);
    const oldest = getOldestVersion(progress.spans);
    if (!canMeetVersionAge(bound.newest, oldest, bound.maxAge)) {
      return emptyProgress;
    }
    if (progress.tokens > 0) metrics.count('vc_samples_resumed');
    return progress;
  }

  function checkDoomed(attempt: RunningAttempt, bound: VersionBound): void {
    if (attempt.isStale || attempt.controller.signal.aborted) return;
    if (canMeetVersionAge(bound.newest, attempt.oldestVersion, bound.maxAge)) {
      return;
    }
    attempt.isStale = true;
    metrics.count('vc_samples_cancelled_early');
    attempt.controller.abort();
  }

  async function generate(
    start: SampleStart,
    step: StepRun,
    spec: SampleSpec,
    attempt: RunningAttempt,
    hedge: Hedge | null,
  ): Promise<SampleAttemptOutcome> {
    const record = getRecord(start.trainer);
    const place =
      record && findSamplePool(control.getState(), getTable(), record.model);
    const bound = getBound(start.trainer);
    const stale = place && getStaleUpstreams(place.poolId, bound);
    if (!record || !place || !stale) {
      return {tag: 'refused', code: 'no_upstream', retryAfterMs: 0};
    }
    const avoid = [...stale, ...(hedge?.avoid ?? [])];
    const progress = hedge
      ? emptyProgress
      : takeProgress(step.generation, start.id, bound);
    attempt.oldestVersion = getOldestVersion(progress.spans);
    const request = createSampleRequest(clock, {
      spec,
      trainer: record,
      samplePool: place,
      progress,
      priority: start.priority,
      avoid,
      attemptTimeoutMs: limits.attemptTimeoutMs,
      signal: attempt.controller.signal,
    });
    return runSampleAttempt(dispatcher, request, progress, {
      onUpstream: upstream => (attempt.upstream = upstream),
      onVersion: version => {
        attempt.oldestVersion = Math.min(
          attempt.oldestVersion ?? version,
          version,
        );
        checkDoomed(attempt, getRecentBound(start.trainer));
      },
    });
  }

  async function finish(
    step: StepRun,
    spec: SampleSpec,
    progress: SampleProgress,
  ): Promise<void> {
    const record = getRecord(step.trainer);
    if (record) noteVersions(record.model, progress.spans);
    step.generation.scoring.add(spec.id);
    const score = await scoreSample(
      context,
      options.scoring,
      spec,
      progress.text,
      limits.maxScoreAttempts,
      () => !isStopping && step.delivery.getState(spec.id) === 'running',
    );
    step.generation.scoring.delete(spec.id);
    if (!step.delivery.markReady(spec.id)) return;
    step.samples.set(spec.id, {
      sampleId: spec.id,
      group: spec.group,
      index: spec.index,
      text: progress.text,
      tokens: progress.tokens,
      spans: progress.spans,
      score,
      engineEpoch: progress.engineEpoch,
    });
    metrics.count('vc_samples_generated');
    step.notify();
  }

  function abortAttempts({generation: work}: StepRun, id: SampleId): void {
    for (const attempt of work.attempts.get(id) ?? []) {
      attempt.controller.abort();
    }
  }

  function isHeld(step: StepRun): boolean {
    return steps.get(step.trainer)?.get(step.name) === step;
  }

  /** Decides what follows the last attempt at a sample. */
  function settle(
    step: StepRun,
    start: SampleStart,
    attempt: RunningAttempt,
    end: SampleAttemptOutcome,
  ): void {
    const {id, trainer} = start;
    const isWanted = step.delivery.getState(id) === 'running';
    if (!isHeld(step)) return;
    if (!isWanted || step.generation.scoring.has(id)) {
      return schedule.recordEnd(start, 0, clock.now(), false);
    }
    if (end.tag === 'rejected') {
      logger.warn('a sample cannot be generated', {
        sample: id,
        detail: end.detail,
      });
      metrics.count('vc_samples_rejected');
      step.delivery.markFailed(id);
      schedule.recordEnd(start, 0, clock.now(), false);
      return step.notify();
    }
    if (end.tag === 'cut' && end.progress && !attempt.isStale) {
      step.generation.partialProgress.set(id, end.progress);
    }
    if (end.tag === 'refused') {
      metrics.count('vc_samples_refused', {reason: end.code});
    }
    block(trainer, end.tag === 'refused' ? end.retryAfterMs : 0);
    step.delivery.markPending(id);
    schedule.recordEnd(start, 0, clock.now(), true);
  }

  async function run(start: SampleStart, hedge: Hedge | null): Promise<void> {
    const {id, trainer} = start;
    const step = steps.get(trainer)?.get(start.step);
    const spec = step?.specs.get(id);
    if (!step || !spec) return;
    const attempt: RunningAttempt = {
      controller: new AbortController(),
      upstream: '',
      oldestVersion: null,
      isStale: false,
    };
    const state = getTrainerState(trainer);
    const {attempts, scoring} = step.generation;
    const own = attempts.get(id) ?? new Set();
    attempts.set(id, own.add(attempt));
    running += 1;
    state.running += 1;
    step.delivery.markRunning(id);
    let end: SampleAttemptOutcome = {tag: 'cut', progress: null};
    try {
      end = await generate(start, step, spec, attempt, hedge);
    } catch (error) {
      logger.error('a sample attempt failed', {detail: String(error)});
    }
    running -= 1;
    state.running -= 1;
    own.delete(attempt);
    if (own.size === 0) attempts.delete(id);
    if (end.tag === 'discarded') {
      metrics.count('vc_samples_discarded', {reason: end.fault});
    }
    const isFirst =
      !scoring.has(id) && step.delivery.getState(id) === 'running';
    if (end.tag === 'whole' && isFirst && isHeld(step)) {
      state.failures = 0;
      schedule.recordEnd(start, end.progress.tokens, clock.now(), false);
      const finished = finish(step, spec, end.progress);
      abortAttempts(step, id);
      pump();
      return finished;
    }
    if (own.size === 0) settle(step, start, attempt, end);
    pump();
  }

  function launch(start: SampleStart, hedge: Hedge | null = null): void {
    run(start, hedge).catch(error =>
      logger.error('a sample was lost', {detail: String(error)}),
    );
  }

  function pump(): void {
    while (running < limits.maxRunning) {
      const start = schedule.takeNext(clock.now(), mayStart);
      if (!start) return;
      launch(start);
    }
  }

  function startHedges(): void {
    for (const start of schedule.takeHedges(clock.now())) {
      const work = steps.get(start.trainer)?.get(start.step)?.generation;
      if (!work || work.scoring.has(start.id)) continue;
      const avoid = [...(work.attempts.get(start.id) ?? [])]
        .map(({upstream}) => upstream)
        .filter(upstream => upstream !== '');
      metrics.count('vc_samples_hedged');
      launch(start, {avoid});
    }
  }

  function cancelDoomed(): void {
    for (const [trainerId, held] of steps) {
      const bound = getBound(trainerId);
      for (const step of held.values()) {
        for (const running of step.generation.attempts.values()) {
          for (const attempt of running) checkDoomed(attempt, bound);
        }
      }
    }
  }

  function remove(step: StepRun): void {
    const held = steps.get(step.trainer);
    held?.delete(step.name);
    if (held?.size === 0) steps.delete(step.trainer);
    schedule.removeStep(step.trainer, step.name);
    for (const id of step.generation.attempts.keys()) abortAttempts(step, id);
    step.delivery.reserve();
    step.notify();
  }

  function forgetSteps(): void {
    for (const held of [...steps.values()]) {
      for (const step of [...held.values()]) {
        const isOver = step.openStreams === 0 && step.expiresAt <= clock.now();
        if (isOver || !getRecord(step.trainer)) remove(step);
      }
    }
  }

  /** Makes room for a step by forgetting one that is over. */
  function hasRoom(trainerId: string): boolean {
    const held = steps.get(trainerId);
    if (!held || held.size < limits.maxSteps) return true;
    for (const step of held.values()) {
      if (step.openStreams > 0 || !step.delivery.isFinished()) continue;
      remove(step);
      return true;
    }
    return false;
  }

  function acknowledge(step: StepRun, ids: Iterable<string>): void {
    for (const id of step.delivery.acknowledge(ids)) {
      step.samples.delete(id);
      step.generation.partialProgress.delete(id);
      schedule.removeWaiting(step.trainer, step.name, id);
      abortAttempts(step, id);
    }
    step.notify();
  }

  const loop = createLoop(context, 'samples', async () => {
    forgetSteps();
    cancelDoomed();
    startHedges();
    pump();
    return getDeadline(clock.now(), TICK_MS);
  });

  return {
    name: 'samples',
    start: () => {
      metrics.gauge('vc_samples_running', () => running);
      return loop.start();
    },
    stop: async signal => {
      isStopping = true;
      await loop.stop(signal);
      for (const held of [...steps.values()]) {
        for (const step of [...held.values()]) remove(step);
      }
    },
    submit: (trainerId, trainer, name, content, acknowledged) => {
      const known = steps.get(trainerId)?.get(name);
      if (known && known.hash !== getStepHash(content)) {
        const message = 'the step was submitted with other content';
        return fail(createNotRunRefusal('step_conflict', message));
      }
      if (known) return ok(known);
      if (!hasRoom(trainerId)) {
        const message = `the trainer has ${limits.maxSteps} unfinished steps`;
        return fail(createNotRunRefusal('account_limit', message, 1));
      }
      const forgetAt = getDeadline(clock.now(), limits.stepRetentionMs);
      const step = createStepRun(trainerId, name, content, forgetAt);
      step.delivery.acknowledge(acknowledged);
      const held = steps.get(trainerId) ?? new Map<string, StepRun>();
      steps.set(trainerId, held.set(name, step));
      schedule.addStep(
        trainerId,
        trainer.weight,
        name,
        [...step.specs.values()],
        id => step.delivery.getState(id) === 'pending',
      );
      pump();
      return ok(step);
    },
    getStep: (trainer, step) => steps.get(trainer)?.get(step) ?? null,
    getVersionBound: step => getBound(step.trainer),
    regenerate: (step, id) => {
      if (!step.delivery.markPending(id)) return;
      step.samples.delete(id);
      schedule.requeue(step.trainer, step.name, id);
      pump();
    },
    acknowledge,
    extendExpiry: step => {
      step.expiresAt = getDeadline(clock.now(), limits.stepRetentionMs);
    },
  };
}
