import type {Pool} from './records.js';

/** First-token times above this multiple of the baseline stop the growth. */
const HOLD_FACTOR = 1.5;
/** First-token times above this multiple of the baseline restart the ramp. */
const JUMP_FACTOR = 4;
/** Differences below this are scheduling noise on loopback, ms. */
const NOISE_MS = 25;
/** A single slow request must not look like a cold engine. */
const MIN_JUMP_SAMPLES = 3;
/** First-token times that one step keeps. */
const MAX_STEP_SAMPLES = 64;
/** Weight of the newest step in the baseline. */
const BASELINE_WEIGHT = 0.2;

/** Why a ramp started again from its initial limit. */
export type RampRestart = 'epoch_changed' | 'cold_again' | 'first_token_jump';

/** Concurrency limit of one upstream; immutable. */
export interface Ramp {
  /** Unrounded limit; `getRampLimit` gives the limit in force. */
  limit: number;
  /** Engine epoch that the limit is for; '' for plain services. */
  epoch: string;
  isCold: boolean;
  /** End of the current step on the monotonic clock, ms. */
  stepDeadline: number;
  /** Most requests that ran at once during the current step. */
  peak: number;
  /** First-token times of the current step, ms. */
  samples: readonly number[];
  /** Good answers of the current step, also those without a sample. */
  responses: number;
  /** First-token time that counts as normal, ms; null before the first step. */
  baselineMs: number | null;
  /** Set by the step that restarted the ramp. */
  restart: RampRestart | null;
}

type RampPool = Pick<Pool, 'maxConcurrent' | 'ramp'>;

/** A ramp at its initial limit. */
export function createRamp(
  pool: RampPool,
  epoch: string,
  isCold: boolean,
  nowMs: number,
  restart: RampRestart | null = null,
): Ramp {
  return {
    limit: Math.min(pool.ramp.initial, pool.maxConcurrent),
    epoch,
    isCold,
    stepDeadline: nowMs + pool.ramp.stepMs,
    peak: 0,
    samples: [],
    responses: 0,
    baselineMs: null,
    restart,
  };
}

/** Requests that may run at once; at least 1, never above the pool's limit. */
export function getRampLimit(ramp: Ramp, pool: RampPool): number {
  return Math.max(1, Math.floor(Math.min(ramp.limit, pool.maxConcurrent)));
}

/** Records how many requests run after one was admitted. */
export function recordRunning(ramp: Ramp, running: number): Ramp {
  return running <= ramp.peak ? ramp : {...ramp, peak: running};
}

/** Records the time to the first token of one request. */
export function recordFirstToken(ramp: Ramp, elapsedMs: number): Ramp {
  if (ramp.samples.length >= MAX_STEP_SAMPLES) return ramp;
  return {...ramp, samples: [...ramp.samples, elapsedMs]};
}

/** Records a complete answer of the upstream that is not a server error. */
export function recordResponse(ramp: Ramp): Ramp {
  return {...ramp, responses: ramp.responses + 1};
}

/** Restarts the ramp if the engine is a new one or has become cold again. */
export function updateEngine(
  ramp: Ramp,
  pool: RampPool,
  epoch: string,
  isCold: boolean,
  nowMs: number,
): Ramp {
  if (epoch !== ramp.epoch) {
    return createRamp(pool, epoch, isCold, nowMs, 'epoch_changed');
  }
  if (isCold && !ramp.isCold) {
    return createRamp(pool, epoch, true, nowMs, 'cold_again');
  }
  return isCold === ramp.isCold ? ramp : {...ramp, isCold};
}

/** The median, 0 without samples. */
function getMedian(samples: readonly number[]): number {
  if (samples.length === 0) return 0;
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function isAbove(valueMs: number, baselineMs: number, factor: number): boolean {
  return valueMs > Math.max(baselineMs * factor, baselineMs + NOISE_MS);
}

function getBaseline(ramp: Ramp, medianMs: number): number | null {
  if (ramp.samples.length === 0) return ramp.baselineMs;
  if (ramp.baselineMs === null) return medianMs;
  return ramp.baselineMs + (medianMs - ramp.baselineMs) * BASELINE_WEIGHT;
}

/**
 * Ends the current step if its time is over: the limit grows only if the step
 * used it fully and its first-token times held.
 */
export function advanceRamp(ramp: Ramp, pool: RampPool, nowMs: number): Ramp {
  if (nowMs < ramp.stepDeadline) return ramp;
  const next: Ramp = {
    ...ramp,
    stepDeadline: nowMs + pool.ramp.stepMs,
    peak: 0,
    samples: [],
    responses: 0,
    restart: null,
  };
  // An upstream that answers nothing may be hung; it gets no more load.
  if (ramp.samples.length + ramp.responses === 0) return next;
  const medianMs = getMedian(ramp.samples);
  const baselineMs = ramp.baselineMs ?? medianMs;
  if (
    ramp.samples.length >= MIN_JUMP_SAMPLES &&
    isAbove(medianMs, baselineMs, JUMP_FACTOR)
  ) {
    return createRamp(pool, ramp.epoch, ramp.isCold, nowMs, 'first_token_jump');
  }
  if (isAbove(medianMs, baselineMs, HOLD_FACTOR)) return next;
  next.baselineMs = getBaseline(ramp, medianMs);
  if (ramp.peak < getRampLimit(ramp, pool)) return next;
  next.limit = Math.min(ramp.limit * pool.ramp.factor, pool.maxConcurrent);
  return next;
}
