import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';
import {getEntriesOfAgent} from '@vanillacross/domain';
import PQueue from 'p-queue';

import type {EntryMembership} from './membership.js';
import type {LaggingAgent, OffsetStatus} from './offsetStatus.js';
import {
  MAX_LISTED_LAGGING_AGENTS,
  MAX_STATUS_WAIT_MS,
  hasReachedOffset,
  offsetStatusSchema,
} from './offsetStatus.js';
import type {CallPeer} from './peerCalls.js';
import type {Context} from './types.js';

/** Longest wait at the peer plus time for the RPC itself, ms. */
const STATUS_TIMEOUT_MS = MAX_STATUS_WAIT_MS + 1_500;
/** Concurrent status calls; a call that waits at the peer costs little. */
const STATUS_CONCURRENCY = 512;
/**
 * How long a status that reached its offset is cached, ms. Bounded because
 * another process may later take over the address.
 */
const REACHED_CACHE_TTL_MS = 30_000;

/**
 * Response to `GET in-force`: whether all live entries and agents have applied
 * the log up to an offset.
 */
export interface InForceStatus {
  offset: number;
  isInForce: boolean;
  entries: {
    total: number;
    behind: Array<{id: string; offset: number | null}>;
  };
  agents: {
    total: number;
    behindCount: number;
    /** At most `MAX_LISTED_LAGGING_AGENTS`, sorted by id. */
    behind: LaggingAgent[];
  };
}

/** Status of an entry that has reached `offset` with all its agents. */
interface CachedStatus {
  status: OffsetStatus;
  offset: number;
  until: MonotonicMs;
}

interface EntryResponse {
  id: string;
  status: OffsetStatus | null;
}

/**
 * Creates the query that tells which entries and agents have not yet applied
 * the log up to an offset.
 */
export function createInForceQuery(
  context: Context,
  membership: EntryMembership,
  callPeer: CallPeer,
): (offset: number) => Promise<InForceStatus> {
  const {clock, metrics} = context;
  const queue = new PQueue({concurrency: STATUS_CONCURRENCY});
  /**
   * Statuses that reached their offset. The key joins the address and the id of
   * the entry and the ids in `without`.
   */
  const cache = new Map<string, CachedStatus>();
  /** Calls in flight, shared by concurrent queries. */
  const inFlight = new Map<string, Promise<OffsetStatus | null>>();
  let unresponsive: string[] = [];

  async function requestStatus(
    peer: Instance,
    offset: number,
    without: readonly string[],
    key: string,
  ): Promise<OffsetStatus | null> {
    metrics.count('vc_status_questions_total');
    const response = await callPeer(
      peer.peerAddress,
      'control.status',
      {offset, waitMs: MAX_STATUS_WAIT_MS, without},
      STATUS_TIMEOUT_MS,
    );
    const parsed = offsetStatusSchema.safeParse(
      response.ok ? response.value : null,
    );
    if (!parsed.success) return null;
    const status = parsed.data;
    if (hasReachedOffset(status, offset)) {
      // Offsets never decrease, so the status stays true.
      const until = getDeadline(clock.now(), REACHED_CACHE_TTL_MS);
      cache.set(key, {status, offset, until});
    }
    return status;
  }

  async function queryEntry(
    peer: Instance,
    offset: number,
    without: readonly string[],
  ): Promise<EntryResponse> {
    const key = [peer.peerAddress, peer.id, ...without].join();
    const cached = cache.get(key);
    if (cached && cached.offset >= offset && clock.now() < cached.until) {
      return {id: peer.id, status: cached.status};
    }
    const callKey = `${offset} ${key}`;
    const sharedRequest =
      inFlight.get(callKey) ??
      queue
        .add(() => requestStatus(peer, offset, without, key))
        .then(status => status ?? null)
        .finally(() => inFlight.delete(callKey));
    inFlight.set(callKey, sharedRequest);
    return {id: peer.id, status: await sharedRequest};
  }

  async function queryAllEntries(offset: number, without: readonly string[]) {
    const own = membership.getOffsetStatus({
      offset,
      waitMs: MAX_STATUS_WAIT_MS,
      without: [...without],
      unheard: [],
    });
    const responses = await Promise.all(
      membership.getPeers().map(peer => queryEntry(peer, offset, without)),
    );
    const status = await own;
    return [{id: status.id, status}, ...responses];
  }

  function getUnresponsive(responses: readonly EntryResponse[]): string[] {
    return responses
      .filter(response => response.status === null)
      .map(response => response.id)
      .sort();
  }

  /**
   * An agent that has lost contact to the entry that reports for it may still
   * poll others, so those are queried too.
   */
  async function findAgentsAtOffset(
    offset: number,
    unheard: readonly string[],
  ): Promise<Set<string>> {
    const agents = new Map(
      membership.getAgents().map(({instance}) => [instance.id, instance]),
    );
    const entries = [context.self, ...membership.getPeers()];
    const queries = new Map<Instance, string[]>();
    for (const id of unheard) {
      const domain = agents.get(id)?.domain ?? '';
      for (const entry of getEntriesOfAgent(id, domain, entries)) {
        queries.set(entry, [...(queries.get(entry) ?? []), id]);
      }
    }
    const responses = await Promise.all(
      [...queries].map(async ([entry, ids]) => {
        const query = {offset, waitMs: 0, without: [], unheard: ids};
        if (entry === context.self) {
          return (await membership.getOffsetStatus(query)).reached;
        }
        const response = await callPeer(
          entry.peerAddress,
          'control.status',
          query,
          STATUS_TIMEOUT_MS,
        );
        const parsed = offsetStatusSchema.safeParse(
          response.ok ? response.value : null,
        );
        return parsed.data?.reached ?? [];
      }),
    );
    return new Set(responses.flat());
  }

  function pruneCache(): void {
    for (const [key, {until}] of cache) {
      if (until <= clock.now()) cache.delete(key);
    }
  }

  return async offset => {
    pruneCache();
    const before = unresponsive;
    let responses: EntryResponse[] = await queryAllEntries(offset, before);
    unresponsive = getUnresponsive(responses);
    if (unresponsive.join() !== before.join()) {
      // Other entries report for the agents of unresponsive entries.
      responses = await queryAllEntries(offset, unresponsive);
    }
    const statuses = responses.flatMap(({status}) => status ?? []);
    const behindEntries = responses
      .map(({id, status}) => ({
        id: status?.id ?? id,
        offset: status?.isComplete ? status.highest : null,
      }))
      .filter(entry => entry.offset === null || entry.offset < offset);
    const reportedCount = statuses.reduce(
      (total, {agents}) => total + agents,
      0,
    );
    const expected = membership
      .getAgents()
      .filter(agent => !agent.isLeaving).length;
    // Agents that no entry reported, since the instance lists differ.
    const unreportedCount = Math.max(0, expected - reportedCount);
    const laggingAgents = statuses.flatMap(({behind}) => behind);
    const reached = await findAgentsAtOffset(
      offset,
      laggingAgents
        .filter(agent => agent.offset === null)
        .slice(0, MAX_LISTED_LAGGING_AGENTS)
        .map(({id}) => id),
    );
    const behindCount = statuses.reduce(
      (total, {agentsBehind}) => total + agentsBehind,
      unreportedCount - reached.size,
    );
    return {
      offset,
      isInForce: behindEntries.length === 0 && behindCount === 0,
      entries: {total: responses.length, behind: behindEntries},
      agents: {
        total: Math.max(reportedCount, expected),
        behindCount,
        behind: laggingAgents
          .filter(({id}) => !reached.has(id))
          .sort((a, b) => (a.id < b.id ? -1 : 1))
          .slice(0, MAX_LISTED_LAGGING_AGENTS),
      },
    };
  };
}
