import type {Pool} from './records.js';

/**
 * The limit does not grow while the median time to first token is above this
 * multiple of the baseline.
 */
const HOLD_FACTOR = 1.5;
/**
 * The ramp restarts when the median time to first token is above this multiple
 * of the baseline.
 */
const JUMP_FACTOR = 4;
/**
 * Maximum increase over the baseline that is ignored as scheduling noise, ms.
 * It matters for small baselines, such as on loopback.
 */
const NOISE_MS = 25;
/**
 * Minimum number of samples for a restart. A single slow request must not look
 * like a cold engine.
 */
const MIN_JUMP_SAMPLES = 3;
/** Maximum number of first-token times kept per step. */
const MAX_FIRST_TOKEN_SAMPLES = 64;
/** Weight of the newest step in the moving average of the baseline. */
const BASELINE_WEIGHT = 0.2;

/** Why a ramp restarted at its initial limit. */
export type RampRestart = 'epoch_changed' | 'cold_again' | 'first_token_jump';

/**
 * Slow start of one upstream: its concurrency limit grows step by step.
 * Immutable.
 */
export interface Ramp {
  /** Unrounded limit; `getRampLimit` returns the effective limit. */
  limit: number;
  /** Engine epoch that the limit applies to; empty for plain services. */
  epoch: string;
  isCold: boolean;
  /** End of the current step, monotonic ms. */
  stepDeadline: number;
  /** Maximum number of concurrent requests during the current step. */
  peak: number;
  /** Times to first token during the current step, ms. */
  firstTokenTimes: readonly number[];
  /**
   * Successful responses during the current step, including those without a
   * first-token time.
   */
  responses: number;
  /** Normal time to first token, ms; null before the first step has ended. */
  baselineMs: number | null;
  /** Set if the last update restarted the ramp. */
  restart: RampRestart | null;
}

type RampPool = Pick<Pool, 'maxConcurrent' | 'ramp'>;

/** Creates a ramp at its initial limit. */
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
    firstTokenTimes: [],
    responses: 0,
    baselineMs: null,
    restart,
  };
}

/**
 * Returns the maximum number of concurrent requests: at least 1, and never
 * above the pool's limit.
 */
export function getRampLimit(ramp: Ramp, pool: RampPool): number {
  return Math.max(1, Math.floor(Math.min(ramp.limit, pool.maxConcurrent)));
}

/** Records the number of running requests after one was admitted. */
export function recordRunning(ramp: Ramp, running: number): Ramp {
  return running <= ramp.peak ? ramp : {...ramp, peak: running};
}

/** Records the time to first token of one request. */
export function recordFirstToken(ramp: Ramp, elapsedMs: number): Ramp {
  if (ramp.firstTokenTimes.length >= MAX_FIRST_TOKEN_SAMPLES) return ramp;
  return {...ramp, firstTokenTimes: [...ramp.firstTokenTimes, elapsedMs]};
}

/** Records a complete response of the upstream that is not a server error. */
export function recordResponse(ramp: Ramp): Ramp {
  return {...ramp, responses: ramp.responses + 1};
}

/**
 * Restarts the ramp if the engine process was replaced or has become cold
 * again.
 */
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

/** Returns the median; 0 without samples. */
function getMedian(samples: readonly number[]): number {
  if (samples.length === 0) return 0;
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function isAbove(valueMs: number, baselineMs: number, factor: number): boolean {
  return valueMs > Math.max(baselineMs * factor, baselineMs + NOISE_MS);
}

function getNextBaseline(ramp: Ramp, medianMs: number): number | null {
  if (ramp.firstTokenTimes.length === 0) return ramp.baselineMs;
  if (ramp.baselineMs === null) return medianMs;
  return ramp.baselineMs + (medianMs - ramp.baselineMs) * BASELINE_WEIGHT;
}

/**
 * Ends the current step if its time is over. The limit grows only if the step
 * reached it and the time to first token stayed near the baseline.
 */
export function advanceRamp(ramp: Ramp, pool: RampPool, nowMs: number): Ramp {
  if (nowMs < ramp.stepDeadline) return ramp;
  const next: Ramp = {
    ...ramp,
    stepDeadline: nowMs + pool.ramp.stepMs,
    peak: 0,
    firstTokenTimes: [],
    responses: 0,
    restart: null,
  };
  // An upstream without any response may hang, so its limit stays.
  if (ramp.firstTokenTimes.length + ramp.responses === 0) return next;
  const medianMs = getMedian(ramp.firstTokenTimes);
  const baselineMs = ramp.baselineMs ?? medianMs;
  if (
    ramp.firstTokenTimes.length >= MIN_JUMP_SAMPLES &&
    isAbove(medianMs, baselineMs, JUMP_FACTOR)
  ) {
    return createRamp(pool, ramp.epoch, ramp.isCold, nowMs, 'first_token_jump');
  }
  if (isAbove(medianMs, baselineMs, HOLD_FACTOR)) return next;
  next.baselineMs = getNextBaseline(ramp, medianMs);
  if (ramp.peak < getRampLimit(ramp, pool)) return next;
  next.limit = Math.min(ramp.limit * pool.ramp.factor, pool.maxConcurrent);
  return next;
}
