import {getDeadline} from '@vanillacross/common';
import {listRecords} from '@vanillacross/domain';
import type {WeightStorePort} from '@vanillacross/platform';

import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Weight versions of models, as known to this entry. */
export interface WeightVersionTracker extends Loop {
  /** Highest published or live version of a model; 0 if none is known. */
  getNewestVersion(model: string): number;
  /** Live version by upstream id; upstreams that reported none are absent. */
  getLiveVersions(pool: string): ReadonlyMap<string, number>;
}

/** Polling interval of the weight store, ms. */
const POLL_MS = 1_000;

/** Creates the tracker; it polls the store for the models of all trainers. */
export function createWeightVersionTracker(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  store: WeightStorePort,
): WeightVersionTracker {
  const {clock, metrics} = context;
  const published = new Map<string, number>();
  const pools = new Map<string, readonly string[]>();
  let indexedRecords = control.getState().records;

  async function poll(model: string): Promise<void> {
    const response = await store.getVersions(model);
    if (!response.ok) {
      metrics.count('vc_weight_store_failures');
      return;
    }
    const known = published.get(model) ?? 0;
    const versions = response.value.map(({version}) => version);
    published.set(model, Math.max(known, ...versions));
  }

  const loop = createLoop(context, 'versions', async () => {
    const trainers = listRecords(control.getState(), 'trainer');
    const models = new Set(trainers.map(({body}) => body.model));
    await Promise.all([...models].map(poll));
    return getDeadline(clock.now(), POLL_MS);
  });

  function getLiveVersions(pool: string): Map<string, number> {
    const versions = new Map<string, number>();
    for (const {instance, load} of membership.getPoolMembers(pool)) {
      if (load) versions.set(instance.upstream.id, load.version);
    }
    return versions;
  }

  /** Pools that serve a model; cached until the control records change. */
  function getModelPools(model: string): readonly string[] {
    const state = control.getState();
    if (indexedRecords !== state.records) pools.clear();
    indexedRecords = state.records;
    const known = pools.get(model);
    if (known) return known;
    const routedPools = listRecords(state, 'route')
      .filter(({body}) => body.model === model)
      .map(({body}) => body.pool);
    const declaredPools = listRecords(state, 'pool')
      .filter(({body}) => body.kind === 'engine' && body.model === model)
      .map(({id}) => id);
    const found = [...new Set([...routedPools, ...declaredPools])];
    pools.set(model, found);
    return found;
  }

  return {
    ...loop,
    getLiveVersions,
    getNewestVersion: model => {
      const live = getModelPools(model).flatMap(id => [
        ...getLiveVersions(id).values(),
      ]);
      return Math.max(published.get(model) ?? 0, 0, ...live);
    },
  };
}
