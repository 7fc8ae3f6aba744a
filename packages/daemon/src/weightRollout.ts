import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {RolloutRecord, RolloutState} from '@vanillacross/domain';
import {
  MAX_SWAPPING_SHARE,
  chooseWaveCount,
  listRecords,
  getNextWave,
  isRolloutComplete,
} from '@vanillacross/domain';
import type {WeightStorePort} from '@vanillacross/platform';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {
  RolloutProgressCollector,
  RolloutProgress,
} from './rolloutProgress.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Polling interval of the weight store, ms. */
const POLL_INTERVAL_MS = 1_000;
/**
 * Progress is checked at this interval plus `PROGRESS_INTERVAL_PER_ENTRY_MS`
 * for each entry, ms.
 */
const PROGRESS_INTERVAL_MS = 200;
const PROGRESS_INTERVAL_PER_ENTRY_MS = 2;
/**
 * Time after which agents that have not staged no longer delay the others, ms.
 * Covers several rounds of agents fetching from one another, about 7 with 5,100
 * agents.
 */
const STAGE_TIMEOUT_MS = 8_000;
/**
 * Time after which agents that have not swapped no longer delay the next
 * wave, ms. A swap that takes longer can overlap with the next wave.
 */
const WAVE_TIMEOUT_MS = 3_000;

/**
 * The current rollout step, with a deadline on the clock of this lease holder.
 */
interface ActiveStep {
  /** Log offset of the step. */
  offset: number;
  deadline: MonotonicMs;
}

/** Creates the task that rolls out the newest published weights in waves. */
export function createWeightRollout(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  progress: RolloutProgressCollector,
  store: WeightStorePort,
): Loop {
  const {clock, metrics} = context;
  const logger = context.logger.child('weights');
  let tenureFencing = -1;
  let nextPollAt = clock.now();
  /** Highest published version by model. */
  const publishedVersions = new Map<string, number>();
  let steps = new Map<string, ActiveStep>();

  function getPools(): Array<{id: string; model: string}> {
    return listRecords(control.getState(), 'pool').flatMap(({id, body}) =>
      body.kind === 'engine' && body.model ? [{id, model: body.model}] : [],
    );
  }

  /** Upstreams of a model that are not leaving, by pool. */
  function getUpstreamsByPool(model: string): Map<string, string[]> {
    const pools = getPools().filter(pool => pool.model === model);
    return new Map(
      pools.map(({id}) => [
        id,
        membership
          .getPoolMembers(id)
          .filter(agent => !agent.isLeaving)
          .map(({instance}) => instance.upstream.id),
      ]),
    );
  }

  async function pollStore(models: Iterable<string>): Promise<void> {
    for (const model of models) {
      const published = await store.getVersions(model);
      if (!published.ok) {
        metrics.count('vc_weight_store_failures', {
          reason: published.error.tag,
        });
        continue;
      }
      const versions = published.value.map(({version}) => version);
      publishedVersions.set(
        model,
        Math.max(publishedVersions.get(model) ?? 0, ...versions),
      );
    }
  }

  async function appendRolloutStep(
    record: Omit<RolloutRecord, 'type' | 'fencing'>,
  ): Promise<void> {
    // The record is accepted only while this tenure's fencing is current.
    const tenure = lease.getTenure();
    if (tenure?.fencing !== tenureFencing) return;
    const result = await control.append({
      type: 'rollout',
      fencing: tenureFencing,
      ...record,
    });
    const tag = result.ok ? result.value.tag : result.error.tag;
    metrics.count('vc_rollout_records', {phase: record.phase, outcome: tag});
    if (tag !== 'accepted') {
      logger.warn('rollout record was not accepted', {...record, reason: tag});
    }
  }

  async function begin(model: string, version: number): Promise<void> {
    const pools = [...getUpstreamsByPool(model).values()].filter(
      ids => ids.length > 0,
    );
    // The waves cannot be sized without known agents.
    if (pools.length === 0) return;
    const waves = chooseWaveCount(pools);
    if (waves === null) {
      logger.error('no wave count fits the pool sizes', {model, version});
      return;
    }
    logger.info('rollout started', {model, version, waves});
    await appendRolloutStep({model, version, phase: 'stage', wave: 0, waves});
  }

  /** The step in progress, with its deadline on this holder's clock. */
  function getActiveStep(rollout: RolloutState): ActiveStep {
    const known = steps.get(rollout.model);
    const offset = rollout.steps.at(-1)?.offset ?? -1;
    if (known?.offset === offset) return known;
    const isStaging = rollout.phase === 'stage';
    const timeoutMs = isStaging ? STAGE_TIMEOUT_MS : WAVE_TIMEOUT_MS;
    const step = {offset, deadline: getDeadline(clock.now(), timeoutMs)};
    steps.set(rollout.model, step);
    return step;
  }

  /**
   * Counts the agents that the step waits for. `unfinished`: counted agents that
   * have not finished the step; `missing`: agents that no entry counted.
   */
  function countUnfinished(
    rollout: RolloutState,
    members: ReadonlyMap<string, readonly string[]>,
    {pools}: RolloutProgress,
  ): {missing: number; unfinished: number} {
    let missing = 0;
    let unfinished = 0;
    for (const [pool, ids] of members) {
      const counts = pools[pool];
      const {live = 0, staged = 0, waiting = 0, failed = 0} = counts ?? {};
      const counted = live + staged + waiting + failed;
      missing += Math.max(0, ids.length - counted);
      unfinished += rollout.phase === 'stage' ? waiting : (counts?.due ?? 0);
    }
    return {missing, unfinished};
  }

  /**
   * Whether the staging phase may end although some agents have not staged yet.
   * Agents that stage later swap at once, regardless of their wave, so only a
   * small share may remain. A single agent of a pool with fewer than 4 counted
   * agents would exceed the share, so such pools are not checked.
   */
  function areMostStaged({pools}: RolloutProgress): boolean {
    return Object.values(pools).every(({live, staged, waiting, failed}) => {
      const counted = live + staged + waiting + failed;
      return counted < 4 || waiting <= counted * MAX_SWAPPING_SHARE;
    });
  }

  async function advance(rollout: RolloutState): Promise<void> {
    const {model, version, phase, wave, waves} = rollout;
    const {deadline} = getActiveStep(rollout);
    const counts = await progress.collect({
      model,
      version,
      wave: phase === 'stage' ? -1 : wave,
      waves,
    });
    const members = getUpstreamsByPool(model);
    const {missing, unfinished} = countUnfinished(rollout, members, counts);
    // Agents that no entry counts, for example because the entry that counts
    // them has just failed, may still be swapping. Each wave waits for them
    // until its deadline, since otherwise two waves would overlap.
    if (unfinished > 0 || missing > 0) {
      if (clock.now() < deadline) return;
      if (phase === 'stage' && !areMostStaged(counts)) return;
      metrics.count('vc_rollout_deadlines', {phase});
      logger.warn('rollout step timed out; continuing without some agents', {
        model,
        version,
        missing,
        late: unfinished,
        failed: counts.failed,
      });
    }
    const ids = [...members.values()].flat();
    const next = getNextWave(ids, phase === 'stage' ? -1 : wave, waves);
    await appendRolloutStep({
      model,
      version,
      phase: 'activate',
      wave: next,
      waves,
    });
    if (next === waves) logger.info('rollout completed', {model, version});
  }

  function getInterval(): number {
    const entries = membership.getPeers().length + 1;
    return PROGRESS_INTERVAL_MS + entries * PROGRESS_INTERVAL_PER_ENTRY_MS;
  }

  async function step(): Promise<MonotonicMs> {
    const tenure = lease.getTenure();
    if (!tenure) return getDeadline(clock.now(), POLL_INTERVAL_MS);
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      steps = new Map();
      nextPollAt = clock.now();
    }
    const models = new Set(getPools().map(pool => pool.model));
    if (clock.now() >= nextPollAt) {
      nextPollAt = getDeadline(clock.now(), POLL_INTERVAL_MS);
      await pollStore(models);
    }
    let isRunning = false;
    for (const model of models) {
      const rollout = control.getState().rollouts.get(model);
      const target = publishedVersions.get(model) ?? 0;
      if (target > (rollout?.version ?? 0)) await begin(model, target);
      else if (rollout && !isRolloutComplete(rollout)) await advance(rollout);
      const current = control.getState().rollouts.get(model);
      isRunning ||= current !== undefined && !isRolloutComplete(current);
    }
    if (!isRunning) return nextPollAt;
    const soon = getDeadline(clock.now(), getInterval());
    return soon < nextPollAt ? soon : nextPollAt;
  }

  return createLoop(context, 'weights', step);
}
