import {getHash32} from '@vanillacross/common';

import type {RolloutRecord, RolloutState} from './controlRecords.js';

/** Maximum share of a pool that may activate a version at the same time. */
export const MAX_SWAPPING_SHARE = 0.25;
/**
 * Maximum number of versions by which an engine may be behind the newest
 * completed rollout and still take work. Assumes a new version every 3 minutes
 * and training steps of 12 minutes; trainers would discard samples from older
 * weights.
 */
export const MAX_VERSION_LAG = 4;
/**
 * Maximum number of waves to try. It may exceed the number of replicas, because
 * waves without replicas are skipped.
 */
const MAX_WAVES = 4_096;
/** Pools smaller than this activate one replica at a time. */
const MIN_POOL_SIZE_FOR_SHARE = 4;

type Position = Pick<RolloutRecord, 'version' | 'phase' | 'wave'>;

/**
 * Returns a negative number, 0 or a positive number if `a` is before, at or
 * after `b`.
 */
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

/** Returns the wave in which an upstream activates, from 0 to `waves` - 1. */
export function getWave(upstream: string, waves: number): number {
  return getHash32(upstream) % waves;
}

/**
 * Applies a record to the newest rollout of its model. The version never
 * decreases, nor do the phase and wave within a version.
 * @returns The new state, or a message if the record has no effect.
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

/** Returns whether an upstream has to activate the version now. */
export function isActivationDue(
  rollout: RolloutState,
  upstream: string,
): boolean {
  if (rollout.phase !== 'activate') return false;
  return getWave(upstream, rollout.waves) <= rollout.wave;
}

/**
 * Returns the offset of the record that last changed what one upstream has to
 * do. Waves of other upstreams are ignored, so that they do not end the long
 * polls of all agents early.
 */
export function getRolloutChangeOffset(
  rollout: RolloutState,
  upstream: string,
): number {
  const wave = getWave(upstream, rollout.waves);
  const ownStep = rollout.steps.find(step => step.wave >= wave);
  return ownStep?.offset ?? rollout.steps[0]?.offset ?? -1;
}

/** Returns the maximum number of replicas of a pool in one wave. */
export function getMaxWaveSize(size: number): number {
  if (size < MIN_POOL_SIZE_FOR_SHARE) return 1;
  return Math.floor(size * MAX_SWAPPING_SHARE);
}

/** Returns whether no wave has more replicas of the pool than allowed. */
function fitsLimit(upstreams: readonly string[], waves: number): boolean {
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
 * of its replicas in service during each wave. Small pools need more waves than
 * replicas because the hash leaves some waves empty; those are skipped.
 * @param pools Upstream ids by pool.
 * @returns Null if no number of waves up to the maximum works.
 */
export function chooseWaveCount(
  pools: ReadonlyArray<readonly string[]>,
): number | null {
  for (let waves = 1; waves <= MAX_WAVES; waves++) {
    if (pools.every(upstreams => fitsLimit(upstreams, waves))) return waves;
  }
  return null;
}

/**
 * Returns the next wave after `wave` that has replicas; `waves` if there is
 * none.
 */
export function getNextWave(
  upstreams: readonly string[],
  wave: number,
  waves: number,
): number {
  return upstreams.reduce((next, upstream) => {
    const ownWave = getWave(upstream, waves);
    return ownWave > wave && ownWave < next ? ownWave : next;
  }, waves);
}

/**
 * Returns the lowest version with which an engine may take work; 0 if any
 * version may.
 */
export function getLowestServingVersion(rollout: RolloutState): number {
  return Math.max(0, rollout.completed - MAX_VERSION_LAG);
}
