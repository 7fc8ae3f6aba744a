import type {RpcMethods} from '@vanillacross/common';
import {defineMethod} from '@vanillacross/common';
import {listRecords, getEntriesOfAgent, getWave} from '@vanillacross/domain';
import {z} from 'zod';

import {isSeed} from './instanceDirectory.js';
import type {ClientFactory} from './orderSender.js';
import type {
  AgentPresence,
  Context,
  ControlFollower,
  Membership,
} from './types.js';

/** Names of failed agents in an answer. */
const MAX_FAILED_NAMES = 16;
/** Entries that one process asks itself; more are asked through others. */
const MAX_DIRECT = 16;
const ASK_TIMEOUT_MS = 1_000;
/** Entries that ask others need time for their answers, ms. */
const GROUP_TIMEOUT_MS = 2_000;
/** An agent polls at least every 10 s; later ones are not counted, ms. */
const HEARD_MS = 15_000;

/** Parameters of `rollout.progress`. */
const progressQuerySchema = z.object({
  model: z.string(),
  version: z.number().int(),
  /** Wave that is in force, -1 while staging. */
  wave: z.number().int(),
  waves: z.number().int().min(1),
  /** Peer addresses of entries whose counts the receiver adds. */
  ask: z.array(z.string()),
});

const poolProgressSchema = z.object({
  live: z.number().int(),
  staged: z.number().int(),
  waiting: z.number().int(),
  /** Agents that failed or missed their wave; they are in no other count. */
  failed: z.number().int(),
  /** Agents in `staged` whose wave is in force. */
  due: z.number().int(),
});

export const rolloutProgressSchema = z.object({
  /** Counts by pool. */
  pools: z.record(z.string(), poolProgressSchema),
  /** Upstreams that failed, at most 16. */
  failed: z.array(z.string()),
});

export type ProgressQuery = z.infer<typeof progressQuerySchema>;
export type PoolProgress = z.infer<typeof poolProgressSchema>;
export type RolloutProgress = z.infer<typeof rolloutProgressSchema>;

const noProgress: PoolProgress = {
  live: 0,
  staged: 0,
  waiting: 0,
  failed: 0,
  due: 0,
};

/** Adds the counts of several entries. */
export function mergeProgress(
  parts: readonly RolloutProgress[],
): RolloutProgress {
  const pools: Record<string, PoolProgress> = {};
  for (const part of parts) {
    for (const [pool, counts] of Object.entries(part.pools)) {
      const sum = pools[pool] ?? noProgress;
      pools[pool] = {
        live: sum.live + counts.live,
        staged: sum.staged + counts.staged,
        waiting: sum.waiting + counts.waiting,
        failed: sum.failed + counts.failed,
        due: sum.due + counts.due,
      };
    }
  }
  const failed = parts.flatMap(part => part.failed).slice(0, MAX_FAILED_NAMES);
  return {pools, failed};
}

/** Counts one agent. */
function getOwnProgress(
  {instance, load}: AgentPresence,
  query: ProgressQuery,
): PoolProgress {
  const {version, wave, waves} = query;
  if (load && load.version >= version) return {...noProgress, live: 1};
  if (load?.failedVersion === version) return {...noProgress, failed: 1};
  const due = getWave(instance.upstream.id, waves) <= wave ? 1 : 0;
  return load?.staged === version
    ? {...noProgress, staged: 1, due}
    : {...noProgress, waiting: 1};
}

/** Counts over all entries how far a rollout is. */
export interface RolloutProgressCollector {
  /** Asks all entries. */
  collect(query: Omit<ProgressQuery, 'ask'>): Promise<RolloutProgress>;
  rpcMethods: RpcMethods;
}

/** Creates the count; every entry answers, the lease holder collects. */
export function createRolloutProgressCollector(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  createClient: ClientFactory,
): RolloutProgressCollector {
  const {clock, metrics, self} = context;

  /** Each agent is counted by the entry that is its first choice. */
  function isCounted({instance, polledAt}: AgentPresence): boolean {
    const isHeard = polledAt != null && clock.now() - polledAt <= HEARD_MS;
    if (!isHeard || instance.state === 'leaving') return false;
    const peers = membership.getPeers().filter(peer => !isSeed(peer));
    const entries = [self, ...peers];
    const [first] = getEntriesOfAgent(instance.id, instance.domain, entries);
    return first.id === self.id;
  }

  function countOwn(query: ProgressQuery): RolloutProgress {
    const pools = listRecords(control.getState(), 'pool').filter(
      ({body}) => body.kind === 'engine' && body.model === query.model,
    );
    const parts = pools.flatMap(({id}) =>
      membership
        .getPoolMembers(id)
        .filter(isCounted)
        .map(agent => {
          const counts = getOwnProgress(agent, query);
          const failed = counts.failed > 0 ? [agent.instance.upstream.id] : [];
          return {pools: {[id]: counts}, failed};
        }),
    );
    return mergeProgress(parts);
  }

  async function askOne(
    address: string,
    query: ProgressQuery,
  ): Promise<RolloutProgress> {
    const timeoutMs = query.ask.length > 0 ? GROUP_TIMEOUT_MS : ASK_TIMEOUT_MS;
    const client = createClient(address);
    const answer = await client.call('rollout.progress', query, timeoutMs);
    const parsed = rolloutProgressSchema.safeParse(
      answer.ok ? answer.value : null,
    );
    if (parsed.success) return parsed.data;
    metrics.count('vc_rollout_progress_failures_total');
    return {pools: {}, failed: []};
  }

  async function count(query: ProgressQuery): Promise<RolloutProgress> {
    const asked = query.ask.map(address =>
      askOne(address, {...query, ask: []}),
    );
    return mergeProgress([countOwn(query), ...(await Promise.all(asked))]);
  }

  return {
    collect: async query => {
      const addresses = membership.getPeers().map(peer => peer.peerAddress);
      const own = {...query, ask: []};
      if (addresses.length <= MAX_DIRECT) {
        return count({...query, ask: addresses});
      }
      // Two levels keep the bytes of each process near the square root.
      const size = Math.ceil(Math.sqrt(addresses.length));
      const parts = [Promise.resolve(countOwn(own))];
      for (let index = 0; index < addresses.length; index += size) {
        const [first, ...ask] = addresses.slice(index, index + size);
        parts.push(askOne(first, {...query, ask}));
      }
      return mergeProgress(await Promise.all(parts));
    },
    rpcMethods: {
      'rollout.progress': defineMethod(progressQuerySchema, count),
    },
  };
}
