import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline} from '@vanillacross/common';
import type {ControlState, Instance} from '@vanillacross/domain';
import {getRecordBody} from '@vanillacross/domain';
import {z} from 'zod';

import type {KeyedForwardTarget, KeyedForwards} from './keyedForwards.js';
import type {CallPeer} from './peerCalls.js';
import type {Context, ControlFollower, Membership} from './types.js';

const PING_TIMEOUT_MS = 1_000;
const HISTORY_TIMEOUT_MS = 4_000;
/** Dedup window while that of the pool is not known, ms. */
const DEFAULT_WINDOW_MS = 600_000;
/** Longest dedup window that the history covers, ms. */
const MAX_WINDOW_MS = 3_600_000;
/**
 * Margin before the start of the known history, ms. A departure within it also
 * makes the history incomplete, because the control stream and the instance list
 * may arrive at different times.
 */
const DEPARTURE_MARGIN_MS = 60_000;
/** Minimum and maximum backoff between queries to the entries, ms. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 60_000;

const querySchema = z.object({pool: z.string()});

const answerSchema = z.object({
  /**
   * True if all requests with an idempotency key that this entry may have sent
   * to the pool went to agent processes that are still alive.
   */
  isComplete: z.boolean(),
  /** Upstreams of these processes. */
  upstreams: z.array(z.string()),
  /** Version of the instance list up to which departures were observed. */
  listVersion: z.number(),
});

const pingSchema = z.object({epoch: z.string()});

/** What the history needs from the instance list. */
export interface InstanceListHistory {
  /** Version of the list that was read last; 0 if none. */
  getVersion(): number;
  /** Time at which an entry was last seen to leave the list; null if never. */
  getLastDeparture(): MonotonicMs | null;
}

/** Answers queries of agents about requests with idempotency keys. */
export interface DedupHistory {
  start(): void;
  stop(): void;
  rpcMethods: RpcMethods;
}

/** Creates the query handler of an entry. */
export function createDedupHistory(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  list: InstanceListHistory,
  forwards: KeyedForwards,
  callPeer: CallPeer,
): DedupHistory {
  const {clock} = context;
  const startedAt = clock.now();
  /** Time at which this entry saw the creation of a pool. */
  const poolCreationTimes = new Map<string, MonotonicMs>();
  let unsubscribe = () => {};

  function recordPoolCreations(
    state: ControlState,
    previous: ControlState,
  ): void {
    // With an incomplete state, an old pool would look like a new one.
    if (!previous.isComplete || state.records === previous.records) return;
    for (const [key, record] of state.records) {
      if (!key.startsWith('pool/') || previous.records.has(key)) continue;
      if (record.revision !== 1) continue;
      poolCreationTimes.set(key.slice('pool/'.length), clock.now());
    }
  }

  /**
   * Returns the time since which this entry knows all requests with idempotency
   * keys that it sent to the pool, or null if its history does not cover the
   * dedup window.
   */
  function getKnownSince(pool: string): MonotonicMs | null {
    const body = getRecordBody(control.getState(), 'pool', pool);
    const windowMs = body?.dedupWindowMs ?? DEFAULT_WINDOW_MS;
    if (windowMs > MAX_WINDOW_MS) return null;
    const windowStart = getDeadline(clock.now(), -windowMs);
    if (startedAt <= windowStart) return windowStart;
    return poolCreationTimes.get(pool) ?? null;
  }

  function hasDepartures(since: MonotonicMs): boolean {
    const departure = list.getLastDeparture();
    if (departure === null) return false;
    return departure >= getDeadline(since, -DEPARTURE_MARGIN_MS);
  }

  async function isAlive(target: KeyedForwardTarget): Promise<boolean> {
    const agent = membership.getAgent(target.upstream);
    if (!agent || target.agentEpoch === null) return false;
    const answer = await callPeer(
      agent.instance.peerAddress,
      'member.ping',
      {},
      PING_TIMEOUT_MS,
    );
    const ping = pingSchema.safeParse(answer.ok ? answer.value : null);
    return ping.success && ping.data.epoch === target.agentEpoch;
  }

  async function getHistory(pool: string) {
    const listVersion = list.getVersion();
    const incomplete = {isComplete: false, upstreams: [], listVersion};
    if (!control.getState().isComplete) return incomplete;
    const since = getKnownSince(pool);
    if (since === null || hasDepartures(since)) return incomplete;
    const forwarded = forwards.getSince(pool, since);
    if (!forwarded) return incomplete;
    const alive = await Promise.all(forwarded.map(isAlive));
    if (!alive.every(Boolean)) return incomplete;
    const upstreams = [...new Set(forwarded.map(({upstream}) => upstream))];
    return {isComplete: true, upstreams, listVersion};
  }

  return {
    start: () => {
      unsubscribe = control.subscribe(recordPoolCreations);
    },
    stop: () => unsubscribe(),
    rpcMethods: {
      'dedup.history': defineMethod(querySchema, ({pool}) => getHistory(pool)),
    },
  };
}

/**
 * Queries all listed entries; resolves with the upstreams that received
 * requests with idempotency keys, or null if some requests may be unknown.
 */
export type QueryHistory = (pool: string) => Promise<Set<string> | null>;

/**
 * Creates the history query of an agent; repeated queries are limited by an
 * exponential backoff.
 */
export function createHistoryQuery(
  context: Context,
  getListed: () => readonly Instance[],
  list: Pick<InstanceListHistory, 'getVersion'>,
  callPeer: CallPeer,
): QueryHistory {
  const {clock} = context;
  let backoffMs = MIN_RETRY_MS;
  let nextQueryAt = clock.now();

  async function queryEntry(entry: Instance, pool: string) {
    const answer = await callPeer(
      entry.peerAddress,
      'dedup.history',
      {pool},
      HISTORY_TIMEOUT_MS,
    );
    const parsed = answerSchema.safeParse(answer.ok ? answer.value : null);
    return parsed.success ? parsed.data : null;
  }

  return async pool => {
    if (clock.now() < nextQueryAt) return null;
    nextQueryAt = getDeadline(clock.now(), backoffMs);
    backoffMs = Math.min(backoffMs * 2, MAX_RETRY_MS);
    const version = list.getVersion();
    const entries = getListed().filter(({role}) => role === 'entry');
    if (version === 0 || entries.length === 0) return null;
    const answers = await Promise.all(
      entries.map(entry => queryEntry(entry, pool)),
    );
    const upstreams = new Set<string>();
    for (const answer of answers) {
      // An entry with an older list may not know of a departure yet.
      if (!answer?.isComplete || answer.listVersion < version) return null;
      for (const upstream of answer.upstreams) upstreams.add(upstream);
    }
    // Entries that joined in the meantime were not asked.
    return list.getVersion() === version ? upstreams : null;
  };
}
