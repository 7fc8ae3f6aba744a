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

/** Newest weight version of a model and the maximum age of its samples. */
export interface VersionBound {
  newest: number;
  maxAge: number;
}

/** Generates the samples of all steps submitted to this entry. */
export interface SampleTask extends Component {
  /**
   * Adds a step, or returns it if it was submitted before with equal content.
   * Samples in `acknowledged` are not generated.
   */
  submit(
    trainerId: string,
    trainer: Trainer,
    step: string,
    content: StepContent,
    acknowledged: ReadonlySet<string>,
  ): Result<StepRun, Refusal>;
  getStep(trainer: string, step: string): StepRun | null;
  getVersionBound(step: StepRun): VersionBound;
  /** Regenerates a sample that has become too old. */
  regenerate(step: StepRun, id: SampleId): void;
  /** Marks samples as acknowledged and cancels their generation. */
  acknowledge(step: StepRun, ids: Iterable<string>): void;
  /** Extends the retention of a step after a call of its trainer. */
  extendExpiry(step: StepRun): void;
}

export interface SampleLimits {
  /** Maximum number of steps retained per trainer. */
  maxSteps: number;
  /** Maximum number of concurrent attempts, over all trainers. */
  maxRunning: number;
  /** Timeout of one attempt, ms. */
  attemptTimeoutMs: number;
  /** How long a step is retained after its trainer's last call, ms. */
  stepRetentionMs: number;
  maxScoreAttempts: number;
}

export const defaultSampleLimits: SampleLimits = {
  maxSteps: 16,
  maxRunning: 256,
  attemptTimeoutMs: 300_000,
  stepRetentionMs: 900_000,
  maxScoreAttempts: 5,
};

export interface SampleTaskOptions {
  scoring: ScoringPort | null;
  getNewestVersion(model: string): number;
  /**
   * Live weight version by upstream of a pool, where known. New attempts avoid
   * upstreams whose version is already too old.
   */
  getLiveVersions?(pool: string): ReadonlyMap<string, number>;
  limits: SampleLimits;
}

/** A second attempt at a slow sample, generated from its start. */
interface Hedge {
  /** Upstreams that already run the sample. */
  avoid: string[];
}

/** Running attempts and backoff of a trainer. */
interface TrainerState {
  running: number;
  failures: number;
  blockedUntil: MonotonicMs;
}

const TICK_MS = 50;
const BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;
/**
 * Upper limit of the failure counter, so that the exponent stays small;
 * `MAX_BACKOFF_MS` caps the delay earlier.
 */
const MAX_FAILURES = 16;

const defaultAccount = accountSchema.parse({});

export function createSampleTask(
  context: Context,
  control: ControlFollower,
  dispatcher: Dispatcher,
  options: SampleTaskOptions,
): SampleTask {
  const {clock, metrics} = context;
  const {limits} = options;
  const logger = context.logger.child('samples');
  const scheduler = new SampleScheduler();
  const getTable = createAccessTableCache(control);
  const steps = new Map<string, Map<string, StepRun>>();
  const trainers = new Map<string, TrainerState>();
  const newestVersions = new Map<string, number>();
  let running = 0;
  let isStopping = false;

  function getTrainerRecord(trainer: string): Trainer | null {
    return getRecordBody(control.getState(), 'trainer', trainer);
  }

  function getNewestVersion(model: string): number {
    // The newest version never decreases.
    const known = newestVersions.get(model) ?? 0;
    const version = Math.max(known, options.getNewestVersion(model));
    newestVersions.set(model, version);
    return version;
  }

  /**
   * Raises the newest known version to the highest one in the spans, since a
   * version that generated tokens is live even if it was not reported.
   */
  function recordVersions(model: string, spans: readonly WeightSpan[]): void {
    const highest = spans.reduce((max, [v]) => Math.max(max, v), 0);
    newestVersions.set(
      model,
      Math.max(newestVersions.get(model) ?? 0, highest),
    );
  }

  function getBound(trainer: string): VersionBound {
    const record = getTrainerRecord(trainer);
    if (!record) return {newest: Infinity, maxAge: 0};
    return {
      newest: getNewestVersion(record.model),
      maxAge: record.maxVersionAge,
    };
  }

  /** Bound as of the last tick; cheap enough to be checked for every token. */
  function getCachedBound(trainer: string): VersionBound {
    const record = getTrainerRecord(trainer);
    if (!record) return {newest: Infinity, maxAge: 0};
    const version = newestVersions.get(record.model) ?? 0;
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

  /** Upstreams whose weights are too old; null if all are. */
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
    const record = getTrainerRecord(trainerId);
    if (!record || isStopping) return false;
    const state = getTrainerState(trainerId);
    if (state.blockedUntil > clock.now()) return false;
    const account =
      getRecordBody(control.getState(), 'account', record.account) ??
      defaultAccount;
    return state.running < account.maxConcurrent;
  }

  function backOff(trainerId: string, retryAfterMs: number): void {
    const state = getTrainerState(trainerId);
    // Failures during a backoff neither extend nor increase it.
    if (state.blockedUntil > clock.now()) return;
    const backoffMs = Math.min(
      BACKOFF_MS * 2 ** state.failures,
      MAX_BACKOFF_MS,
    );
    state.failures = Math.min(state.failures + 1, MAX_FAILURES);
    const delayMs = Math.max(backoffMs, Math.min(retryAfterMs, MAX_BACKOFF_MS));
    state.blockedUntil = getDeadline(clock.now(), delayMs);
  }

  /** Progress to resume from; empty if its weights are too old. */
  function takeProgress(
    {partialProgress}: GenerationState,
    id: SampleId,
    bound: VersionBound,
  ): SampleProgress {
    const progress = partialProgress.get(id) ?? emptyProgress;
    partialProgress.delete(id);
    const oldest = getOldestVersion(progress.spans);
    if (!canMeetVersionAge(bound.newest, oldest, bound.maxAge)) {
      return emptyProgress;
    }
    if (progress.tokens > 0) metrics.count('vc_samples_resumed');
    return progress;
  }

  function cancelIfStale(attempt: RunningAttempt, bound: VersionBound): void {
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
    const record = getTrainerRecord(start.trainer);
    const samplePool =
      record && findSamplePool(control.getState(), getTable(), record.model);
    const bound = getBound(start.trainer);
    const stale = samplePool && getStaleUpstreams(samplePool.poolId, bound);
    if (!record || !samplePool || !stale) {
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
      samplePool,
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
        cancelIfStale(attempt, getCachedBound(start.trainer));
      },
    });
  }

  async function completeSample(
    step: StepRun,
    spec: SampleSpec,
    progress: SampleProgress,
  ): Promise<void> {
    const record = getTrainerRecord(step.trainer);
    if (record) recordVersions(record.model, progress.spans);
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

  function abortAttempts({generation}: StepRun, id: SampleId): void {
    for (const attempt of generation.attempts.get(id) ?? []) {
      attempt.controller.abort();
    }
  }

  function isActive(step: StepRun): boolean {
    return steps.get(step.trainer)?.get(step.name) === step;
  }

  /** Fails or requeues a sample after its last running attempt ended. */
  function failOrRequeue(
    step: StepRun,
    start: SampleStart,
    attempt: RunningAttempt,
    end: SampleAttemptOutcome,
  ): void {
    const {id, trainer} = start;
    const isWanted = step.delivery.getState(id) === 'running';
    if (!isActive(step)) return;
    if (!isWanted || step.generation.scoring.has(id)) {
      return scheduler.recordEnd(start, 0, clock.now(), false);
    }
    if (end.tag === 'rejected') {
      logger.warn('sample cannot be generated', {
        sample: id,
        detail: end.detail,
      });
      metrics.count('vc_samples_rejected');
      step.delivery.markFailed(id);
      scheduler.recordEnd(start, 0, clock.now(), false);
      return step.notify();
    }
    if (end.tag === 'cut' && end.progress && !attempt.isStale) {
      step.generation.partialProgress.set(id, end.progress);
    }
    if (end.tag === 'refused') {
      metrics.count('vc_samples_refused', {reason: end.code});
    }
    backOff(trainer, end.tag === 'refused' ? end.retryAfterMs : 0);
    step.delivery.markPending(id);
    scheduler.recordEnd(start, 0, clock.now(), true);
  }

  async function runAttempt(
    start: SampleStart,
    hedge: Hedge | null,
  ): Promise<void> {
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
    const activeAttempts = attempts.get(id) ?? new Set();
    attempts.set(id, activeAttempts.add(attempt));
    running += 1;
    state.running += 1;
    step.delivery.markRunning(id);
    let end: SampleAttemptOutcome = {tag: 'cut', progress: null};
    try {
      end = await generate(start, step, spec, attempt, hedge);
    } catch (error) {
      logger.error('sample attempt threw an error', {detail: String(error)});
    }
    running -= 1;
    state.running -= 1;
    activeAttempts.delete(attempt);
    if (activeAttempts.size === 0) attempts.delete(id);
    if (end.tag === 'discarded') {
      metrics.count('vc_samples_discarded', {reason: end.fault});
    }
    const isFirst =
      !scoring.has(id) && step.delivery.getState(id) === 'running';
    if (end.tag === 'whole' && isFirst && isActive(step)) {
      state.failures = 0;
      scheduler.recordEnd(start, end.progress.tokens, clock.now(), false);
      const finished = completeSample(step, spec, end.progress);
      abortAttempts(step, id);
      startQueued();
      return finished;
    }
    if (activeAttempts.size === 0) failOrRequeue(step, start, attempt, end);
    startQueued();
  }

  function launchAttempt(start: SampleStart, hedge: Hedge | null = null): void {
    runAttempt(start, hedge).catch(error =>
      logger.error('starting or concluding a sample attempt threw an error', {
        detail: String(error),
      }),
    );
  }

  function startQueued(): void {
    while (running < limits.maxRunning) {
      const start = scheduler.takeNext(clock.now(), mayStart);
      if (!start) return;
      launchAttempt(start);
    }
  }

  function startHedges(): void {
    for (const start of scheduler.takeHedges(clock.now())) {
      const generation = steps.get(start.trainer)?.get(start.step)?.generation;
      if (!generation || generation.scoring.has(start.id)) continue;
      const avoid = [...(generation.attempts.get(start.id) ?? [])]
        .map(({upstream}) => upstream)
        .filter(upstream => upstream !== '');
      metrics.count('vc_samples_hedged');
      launchAttempt(start, {avoid});
    }
  }

  function cancelStaleAttempts(): void {
    for (const [trainerId, trainerSteps] of steps) {
      const bound = getBound(trainerId);
      for (const step of trainerSteps.values()) {
        for (const sampleAttempts of step.generation.attempts.values()) {
          for (const attempt of sampleAttempts) cancelIfStale(attempt, bound);
        }
      }
    }
  }

  function removeStep(step: StepRun): void {
    const trainerSteps = steps.get(step.trainer);
    trainerSteps?.delete(step.name);
    if (trainerSteps?.size === 0) steps.delete(step.trainer);
    scheduler.removeStep(step.trainer, step.name);
    for (const id of step.generation.attempts.keys()) abortAttempts(step, id);
    step.delivery.reserve();
    step.notify();
  }

  function removeExpiredSteps(): void {
    for (const trainerSteps of [...steps.values()]) {
      for (const step of [...trainerSteps.values()]) {
        const isExpired =
          step.openStreams === 0 && step.expiresAt <= clock.now();
        if (isExpired || !getTrainerRecord(step.trainer)) removeStep(step);
      }
    }
  }

  /**
   * Removes a finished step without open streams if the trainer is at its limit.
   * Returns false if it is at the limit and there is no such step.
   */
  function ensureStepCapacity(trainerId: string): boolean {
    const trainerSteps = steps.get(trainerId);
    if (!trainerSteps || trainerSteps.size < limits.maxSteps) return true;
    for (const step of trainerSteps.values()) {
      if (step.openStreams > 0 || !step.delivery.isFinished()) continue;
      removeStep(step);
      return true;
    }
    return false;
  }

  function acknowledge(step: StepRun, ids: Iterable<string>): void {
    for (const id of step.delivery.acknowledge(ids)) {
      step.samples.delete(id);
      step.generation.partialProgress.delete(id);
      scheduler.removeWaiting(step.trainer, step.name, id);
      abortAttempts(step, id);
    }
    step.notify();
  }

  const loop = createLoop(context, 'samples', async () => {
    removeExpiredSteps();
    cancelStaleAttempts();
    startHedges();
    startQueued();
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
      for (const trainerSteps of [...steps.values()]) {
        for (const step of [...trainerSteps.values()]) removeStep(step);
      }
    },
    submit: (trainerId, trainer, name, content, acknowledged) => {
      const known = steps.get(trainerId)?.get(name);
      if (known && known.hash !== getStepHash(content)) {
        const message = 'the step was submitted with other content';
        return fail(createNotRunRefusal('step_conflict', message));
      }
      if (known) return ok(known);
      if (!ensureStepCapacity(trainerId)) {
        const message = `the trainer has ${limits.maxSteps} unfinished steps`;
        return fail(createNotRunRefusal('account_limit', message, 1));
      }
      const expiresAt = getDeadline(clock.now(), limits.stepRetentionMs);
      const step = createStepRun(trainerId, name, content, expiresAt);
      step.delivery.acknowledge(acknowledged);
      const trainerSteps = steps.get(trainerId) ?? new Map<string, StepRun>();
      steps.set(trainerId, trainerSteps.set(name, step));
      scheduler.addStep(
        trainerId,
        trainer.weight,
        name,
        [...step.specs.values()],
        id => step.delivery.getState(id) === 'pending',
      );
      startQueued();
      return ok(step);
    },
    getStep: (trainer, step) => steps.get(trainer)?.get(step) ?? null,
    getVersionBound: step => getBound(step.trainer),
    regenerate: (step, id) => {
      if (!step.delivery.markPending(id)) return;
      step.samples.delete(id);
      scheduler.requeue(step.trainer, step.name, id);
      startQueued();
    },
    acknowledge,
    extendExpiry: step => {
      step.expiresAt = getDeadline(clock.now(), limits.stepRetentionMs);
    },
  };
}
