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

/** Maximum number of failed upstreams listed in one response. */
const MAX_LISTED_FAILURES = 16;
/**
 * Maximum number of peers queried directly; with more, some query the others.
 */
const MAX_DIRECT_PEERS = 16;
const QUERY_TIMEOUT_MS = 1_000;
/** Timeout for an entry that queries further entries, ms. */
const GROUP_TIMEOUT_MS = 2_000;
/**
 * Age of the last poll beyond which an agent is not counted, ms. Agents poll
 * at least every 10 s.
 */
const MAX_POLL_AGE_MS = 15_000;

/** Parameters of `rollout.progress`. */
const progressQuerySchema = z.object({
  model: z.string(),
  version: z.number().int(),
  /** Current wave; -1 while staging. */
  wave: z.number().int(),
  waves: z.number().int().min(1),
  /**
   * Peer addresses of entries that the receiver also queries; it adds their
   * counts to its own.
   */
  ask: z.array(z.string()),
});

const poolProgressSchema = z.object({
  live: z.number().int(),
  staged: z.number().int(),
  waiting: z.number().int(),
  /** Agents that reported this version as failed; not in the other counts. */
  failed: z.number().int(),
  /** Agents in `staged` whose wave has begun. */
  due: z.number().int(),
});

export const rolloutProgressSchema = z.object({
  pools: z.record(z.string(), poolProgressSchema),
  /** Upstreams that failed; at most `MAX_LISTED_FAILURES`. */
  failed: z.array(z.string()),
});

export type ProgressQuery = z.infer<typeof progressQuerySchema>;
export type PoolProgress = z.infer<typeof poolProgressSchema>;
export type RolloutProgress = z.infer<typeof rolloutProgressSchema>;

const emptyCounts: PoolProgress = {
  live: 0,
  staged: 0,
  waiting: 0,
  failed: 0,
  due: 0,
};

/** Sums the counts of several entries. */
export function mergeProgress(
  parts: readonly RolloutProgress[],
): RolloutProgress {
  const pools: Record<string, PoolProgress> = {};
  for (const part of parts) {
    for (const [pool, counts] of Object.entries(part.pools)) {
      const sum = pools[pool] ?? emptyCounts;
      pools[pool] = {
        live: sum.live + counts.live,
        staged: sum.staged + counts.staged,
        waiting: sum.waiting + counts.waiting,
        failed: sum.failed + counts.failed,
        due: sum.due + counts.due,
      };
    }
  }
  const failed = parts
    .flatMap(part => part.failed)
    .slice(0, MAX_LISTED_FAILURES);
  return {pools, failed};
}

function countAgent(
  {instance, load}: AgentPresence,
  query: ProgressQuery,
): PoolProgress {
  const {version, wave, waves} = query;
  if (load && load.version >= version) return {...emptyCounts, live: 1};
  if (load?.failedVersion === version) return {...emptyCounts, failed: 1};
  const due = getWave(instance.upstream.id, waves) <= wave ? 1 : 0;
  return load?.staged === version
    ? {...emptyCounts, staged: 1, due}
    : {...emptyCounts, waiting: 1};
}

/** Collects the progress of a rollout over all entries. */
export interface RolloutProgressCollector {
  collect(query: Omit<ProgressQuery, 'ask'>): Promise<RolloutProgress>;
  rpcMethods: RpcMethods;
}

/** Every entry answers `rollout.progress`; the lease holder collects. */
export function createRolloutProgressCollector(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  createClient: ClientFactory,
): RolloutProgressCollector {
  const {clock, metrics, self} = context;

  /** Each agent is counted by the first entry in its rendezvous order. */
  function isCounted({instance, polledAt}: AgentPresence): boolean {
    const hasPolledRecently =
      polledAt != null && clock.now() - polledAt <= MAX_POLL_AGE_MS;
    if (!hasPolledRecently || instance.state === 'leaving') return false;
    const peers = membership.getPeers().filter(peer => !isSeed(peer));
    const entries = [self, ...peers];
    const [first] = getEntriesOfAgent(instance.id, instance.domain, entries);
    return first.id === self.id;
  }

  function countLocal(query: ProgressQuery): RolloutProgress {
    const pools = listRecords(control.getState(), 'pool').filter(
      ({body}) => body.kind === 'engine' && body.model === query.model,
    );
    const parts = pools.flatMap(({id}) =>
      membership
        .getPoolMembers(id)
        .filter(isCounted)
        .map(agent => {
          const counts = countAgent(agent, query);
          const failed = counts.failed > 0 ? [agent.instance.upstream.id] : [];
          return {pools: {[id]: counts}, failed};
        }),
    );
    return mergeProgress(parts);
  }

  async function queryEntry(
    address: string,
    query: ProgressQuery,
  ): Promise<RolloutProgress> {
    const timeoutMs =
      query.ask.length > 0 ? GROUP_TIMEOUT_MS : QUERY_TIMEOUT_MS;
    const client = createClient(address);
    const response = await client.call('rollout.progress', query, timeoutMs);
    const parsed = rolloutProgressSchema.safeParse(
      response.ok ? response.value : null,
    );
    if (parsed.success) return parsed.data;
    metrics.count('vc_rollout_progress_failures_total');
    return {pools: {}, failed: []};
  }

  async function countWithPeers(
    query: ProgressQuery,
  ): Promise<RolloutProgress> {
    const responses = query.ask.map(address =>
      queryEntry(address, {...query, ask: []}),
    );
    return mergeProgress([
      countLocal(query),
      ...(await Promise.all(responses)),
    ]);
  }

  return {
    collect: async query => {
      const addresses = membership.getPeers().map(peer => peer.peerAddress);
      const own = {...query, ask: []};
      if (addresses.length <= MAX_DIRECT_PEERS) {
        return countWithPeers({...query, ask: addresses});
      }
      // Two levels limit the traffic of each process to O(sqrt(entries)).
      const size = Math.ceil(Math.sqrt(addresses.length));
      const parts = [Promise.resolve(countLocal(own))];
      for (let index = 0; index < addresses.length; index += size) {
        const [first, ...ask] = addresses.slice(index, index + size);
        parts.push(queryEntry(first, {...query, ask}));
      }
      return mergeProgress(await Promise.all(parts));
    },
    rpcMethods: {
      'rollout.progress': defineMethod(progressQuerySchema, countWithPeers),
    },
  };
}
