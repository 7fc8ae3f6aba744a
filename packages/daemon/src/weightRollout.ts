import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {
  ControlState,
  StepOutcome,
  WeightReplica,
  WeightRollout,
  WeightStep,
} from '@vanillacross/domain';
import {
  finishSteps,
  getBodies,
  getBody,
  noRollout,
  planWeights,
  reconcileTarget,
} from '@vanillacross/domain';
import type {WeightStorePort} from '@vanillacross/platform';
import PQueue from 'p-queue';

import type {AgentLoads} from './agentLoads.js';
import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {OrderTask} from './orderTask.js';
import type {
  AgentPresence,
  Context,
  ControlFollower,
  Membership,
} from './types.js';

/** Interval at which the weight store is polled, ms. */
const POLL_INTERVAL_MS = 1_000;
/**
 * Time in which outcomes are gathered before the next plan, ms. A plan for
 * 5,100 replicas takes up to about 20 ms.
 */
const PLAN_DELAY_MS = 250;
/** Orders that are sent at the same time. */
const ORDER_CONCURRENCY = 512;

/** Brings the highest published weights to all replicas in waves. */
export function createWeightRollout(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  orders: OrderTask,
  loads: Pick<AgentLoads, 'getLoad'>,
  store: WeightStorePort,
): Loop {
  const {clock, metrics} = context;
  const logger = context.logger.part('weights');
  const queue = new PQueue({concurrency: ORDER_CONCURRENCY});
  let tenureFencing = -1;
  let rollouts = new Map<string, WeightRollout>();
  let nextPollAt = clock.now();
  let isWaking = false;
  const outcomes = new Map<string, StepOutcome[]>();

  function getReplica(
    state: ControlState,
    {instance}: AgentPresence,
  ): WeightReplica {
    const {id} = instance.upstream;
    const heard = loads.getLoad(id);
    const isLeaving = heard?.isLeaving || instance.state === 'leaving';
    const isReachable = heard !== null && !isLeaving;
    const isDraining = getBody(state, 'upstream', id)?.state === 'draining';
    const isOut = getBody(state, 'domain', instance.domain)?.state === 'out';
    return {
      id,
      domain: instance.domain,
      address: instance.address,
      version: heard?.load.version ?? 0,
      epoch: heard?.load.epoch ?? '',
      isReachable,
      isServing: isReachable && !heard.load.cold && !isDraining && !isOut,
    };
  }

  function getPlanStep(step: WeightStep, epoch: string): string {
    const {type, version, replica, attempt} = step;
    return `${type}.${version}.${replica}.${epoch}.${attempt}`;
  }

  async function perform(
    poolId: string,
    model: string,
    step: WeightStep,
    epoch: string,
    fencing: number,
  ): Promise<void> {
    const agent = membership.getAgent(step.replica);
    const result =
      agent &&
      (await orders.orderAgent(agent.instance, getPlanStep(step, epoch), {
        type: step.type,
        model,
        version: step.version,
        ...(step.source === undefined ? {} : {source: step.source}),
      }));
    if (fencing !== tenureFencing) return;
    const isDone = result?.ok ?? false;
    metrics.count('vc_weight_steps', {type: step.type, done: String(isDone)});
    if (result && !result.ok) {
      const {tag} = result.error;
      logger.warn('step failed', {...step, reason: tag});
    }
    const known = outcomes.get(poolId) ?? [];
    known.push({step, isDone});
    outcomes.set(poolId, known);
    void wakeSoon();
  }

  /** One plan for all outcomes of a short time. */
  async function wakeSoon(): Promise<void> {
    if (isWaking) return;
    isWaking = true;
    await clock.waitUntil(getDeadline(clock.now(), PLAN_DELAY_MS));
    isWaking = false;
    loop.wake();
  }

  function planPool(state: ControlState, poolId: string, model: string): void {
    const replicas = membership
      .getPoolMembers(poolId)
      .map(presence => getReplica(state, presence));
    const epochs = new Map(replicas.map(({id, epoch}) => [id, epoch]));
    const known = finishSteps(
      rollouts.get(poolId) ?? noRollout,
      outcomes.get(poolId) ?? [],
      clock.now(),
    );
    outcomes.delete(poolId);
    const {rollout, steps} = planWeights(known, replicas, clock.now());
    rollouts.set(poolId, rollout);
    const fencing = tenureFencing;
    for (const item of steps) {
      const epoch = epochs.get(item.replica) ?? '';
      void queue.add(() => perform(poolId, model, item, epoch, fencing));
    }
  }

  async function pollStore(
    pools: ReadonlyArray<{id: string; model: string}>,
  ): Promise<void> {
    for (const model of new Set(pools.map(pool => pool.model))) {
      const published = await store.getVersions(model);
      if (!published.ok) {
        metrics.count('vc_weight_store_failures', {
          reason: published.error.tag,
        });
        continue;
      }
      for (const {id} of pools.filter(pool => pool.model === model)) {
        const rollout = rollouts.get(id) ?? noRollout;
        rollouts.set(id, reconcileTarget(rollout, published.value));
      }
    }
  }

  async function step(): Promise<MonotonicMs> {
    const tenure = lease.getTenure();
    if (!tenure) return getDeadline(clock.now(), POLL_INTERVAL_MS);
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      rollouts = new Map();
      outcomes.clear();
      nextPollAt = clock.now();
    }
    const pools = getBodies(control.getState(), 'pool').flatMap(({id, body}) =>
      body.kind === 'engine' && body.model ? [{id, model: body.model}] : [],
    );
    if (clock.now() >= nextPollAt) {
      nextPollAt = getDeadline(clock.now(), POLL_INTERVAL_MS);
      await pollStore(pools);
    }
    for (const {id, model} of pools) planPool(control.getState(), id, model);
    return nextPollAt;
  }

  const loop = createLoop(context, 'weights', step);
  return loop;
}
