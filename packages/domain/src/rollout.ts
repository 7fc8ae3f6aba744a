import {getHash32} from '@vanillacross/common';

import type {RolloutRecord, RolloutState} from './controlRecords.js';

/** Share of a pool that may swap at the same time. */
export const MAX_SWAPPING_SHARE = 0.25;
/**
 * Versions by which an engine may trail the newest complete rollout and still
 * take work. With a version every 3 minutes this is 12 minutes, one training
 * step; samples from older weights would be discarded in any case.
 */
export const MAX_VERSION_LAG = 4;
/** Most waves that are tried; empty waves cost nothing. */
const MAX_WAVES = 4_096;
/** Smaller pools swap one replica at a time. */
const MIN_SHARED_POOL = 4;

type Position = Pick<RolloutRecord, 'version' | 'phase' | 'wave'>;

/** Negative, zero or positive as `a` is before, at or after `b`. */
function comparePositions(a: Position, b: Position): number {
  const rank = (position: Position) => (position.phase === 'stage' ? 0 : 1);
  return a.version - b.version || rank(a) - rank(b) || a.wave - b.wave;
}

export function isNewerRollout(a: Position, b: Position): boolean {
  return comparePositions(a, b) > 0;
}

export function isRolloutComplete(rollout: RolloutState): boolean {
  return rollout.phase === 'activate' && rollout.wave === rollout.waves;
}

/** Wave in which an upstream activates, 0 to `waves` - 1. */
export function getWave(upstream: string, waves: number): number {
  return getHash32(upstream) % waves;
}

/**
 * Applies a record to the newest rollout of its model. A version, and phase
 * and wave within a version, never go back.
 * @returns The new state, or why the record does not count.
 */
export function applyRollout(
  current: RolloutState | undefined,
  record: RolloutRecord,
  offset: number,
): RolloutState | string {
  const {fencing, model, version, phase, wave, waves} = record;
  if (wave > waves) return 'no such wave';
  if (phase === 'stage' && wave !== 0) return 'waves begin after staging';
  const isSameVersion = current?.version === version;
  if (current) {
    const position = comparePositions(record, current);
    if (position < 0) return 'a newer rollout step is in force';
    if (isSameVersion && waves !== current.waves) {
      return 'the waves of a version do not change';
    }
    if (position === 0) return current;
  }
  const step = {wave: phase === 'stage' ? -1 : wave, offset};
  const next: RolloutState = {
    fencing,
    model,
    version,
    phase,
    wave,
    waves,
    steps: isSameVersion ? [...current.steps, step] : [step],
    completed: current?.completed ?? 0,
  };
  return isRolloutComplete(next) ? {...next, completed: version} : next;
}

/** Says whether an upstream is to activate the version now. */
export function isActivationDue(
  rollout: RolloutState,
  upstream: string,
): boolean {
  if (rollout.phase !== 'activate') return false;
  return getWave(upstream, rollout.waves) <= rollout.wave;
}

/**
 * Offset of the record that last changed what one upstream has to do. Waves
 * of other upstreams are left out, so that they end no held poll.
 */
export function getRolloutChangeOffset(
  rollout: RolloutState,
  upstream: string,
): number {
  const wave = getWave(upstream, rollout.waves);
  const own = rollout.steps.find(step => step.wave >= wave);
  return own?.offset ?? rollout.steps[0]?.offset ?? -1;
}

/** Replicas of a pool that may be in the same wave. */
export function getMaxWaveSize(size: number): number {
  if (size < MIN_SHARED_POOL) return 1;
  return Math.floor(size * MAX_SWAPPING_SHARE);
}

/** True if no wave has more replicas of the pool than its limit. */
function fits(upstreams: readonly string[], waves: number): boolean {
  const limit = getMaxWaveSize(upstreams.length);
  const sizes = new Map<number, number>();
  for (const upstream of upstreams) {
    const wave = getWave(upstream, waves);
    const size = (sizes.get(wave) ?? 0) + 1;
    if (size > limit) return false;
    sizes.set(wave, size);
  }
  return true;
}

/**
 * Chooses the lowest number of waves with which every pool keeps at least 75%
 * of its replicas in each wave. Small pools need more waves than replicas
 * because the hash leaves some waves empty; those are skipped.
 * @param pools Upstream ids by pool.
 * @returns Null if no number up to the maximum fits.
 */
export function chooseWaveCount(
  pools: ReadonlyArray<readonly string[]>,
): number | null {
  for (let waves = 1; waves <= MAX_WAVES; waves++) {
    if (pools.every(upstreams => fits(upstreams, waves))) return waves;
  }
  return null;
}

/** The next wave after `wave` that has members, or `waves` if there is none. */
export function getNextWave(
  upstreams: readonly string[],
  wave: number,
  waves: number,
): number {
  return upstreams.reduce((next, upstream) => {
    const own = getWave(upstream, waves);
    return own > wave && own < next ? own : next;
  }, waves);
}

/** Lowest version with which an engine may take work; 0 if any. */
export function getLowestServingVersion(rollout: RolloutState): number {
  return Math.max(0, rollout.completed - MAX_VERSION_LAG);
}
