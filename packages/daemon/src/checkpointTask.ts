import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {CheckpointCycle, TombstoneDeadlines} from '@vanillacross/domain';
import {
  createCheckpointCycle,
  getCycleIntervalMs,
  planCheckpoint,
  reconcileTombstones,
} from '@vanillacross/domain';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {Context, ControlFollower} from './types.js';

/**
 * Interval at which entries update tombstones and check the lease, ms; also the
 * delay before a failed batch is retried.
 */
const IDLE_INTERVAL_MS = 1_000;

/**
 * Creates the task that copies live records to the end of the log before the
 * log's retention removes them.
 */
export function createCheckpointTask(
  context: Context,
  control: ControlFollower,
  lease: LeaseTask,
  retentionMs: number,
): Loop {
  const {clock, metrics} = context;
  let tenureFencing = -1;
  let cycle: CheckpointCycle | null = null;
  let nextCycleAt = clock.now();
  let tombstones: TombstoneDeadlines = new Map();

  function getWaitMs(): number {
    return Math.min(
      IDLE_INTERVAL_MS,
      cycle?.batchIntervalMs ?? IDLE_INTERVAL_MS,
    );
  }

  async function append(current: CheckpointCycle): Promise<void> {
    const state = control.getState();
    const plan = planCheckpoint(current, state, tenureFencing, clock.now());
    const result = await control.append(plan.checkpoint);
    if (!result.ok) {
      // The batch is retried; a second copy in the log has no further effect.
      metrics.count('vc_checkpoint_failures', {reason: result.error.tag});
      cycle = {
        ...current,
        nextBatchAtMs: getDeadline(clock.now(), IDLE_INTERVAL_MS),
      };
      return;
    }
    metrics.count('vc_checkpoints');
    cycle = plan.cycle;
  }

  async function step(): Promise<MonotonicMs> {
    const now = clock.now();
    const state = control.getState();
    tombstones = reconcileTombstones(tombstones, state, now, retentionMs);
    const tenure = lease.getTenure();
    if (!tenure || !state.isComplete) {
      return getDeadline(now, IDLE_INTERVAL_MS);
    }
    if (tenure.fencing !== tenureFencing) {
      // It is unknown which records the previous holder has copied, so a new
      // cycle starts.
      tenureFencing = tenure.fencing;
      cycle = null;
      nextCycleAt = now;
    }
    if (!cycle && now >= nextCycleAt) {
      cycle = createCheckpointCycle(state, tombstones, now, retentionMs);
      nextCycleAt = getDeadline(now, getCycleIntervalMs(retentionMs));
    }
    if (cycle && now >= cycle.nextBatchAtMs) await append(cycle);
    return getDeadline(clock.now(), getWaitMs());
  }

  return createLoop(context, 'checkpoints', step);
}
