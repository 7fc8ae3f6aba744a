import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline, isFirstInRendezvousOrder} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';

import type {Context} from './types.js';

/**
 * Time after its first appearance before a new entry can be designated, ms; until
 * then, other entries report its agents. Agents read the instance list every
 * 10 s, so it takes time until all of them poll the new entry.
 */
const SETTLING_MS = 20_000;

/**
 * Selects, for each agent, the one entry that reports the agent's state to the
 * other entries: the first in the agent's rendezvous order.
 */
export interface DesignatedEntries {
  /** True shortly after the start, when some agents may not poll this entry. */
  isStarting(): boolean;
  /**
   * Creates a predicate that is true if this entry is the designated entry of an
   * agent when the given unresponsive entries are disregarded.
   */
  createDesignationCheck(
    unresponsiveIds: readonly string[],
  ): (agentId: string) => boolean;
}

export function createDesignatedEntries(
  context: Context,
  getPeers: () => readonly Instance[],
): DesignatedEntries {
  const {clock, self} = context;
  const startedAt = clock.now();
  /**
   * When each current entry was first seen; earlier for those present at the
   * first call.
   */
  const seenAt = new Map<string, MonotonicMs>();
  let cache = {key: '', byAgent: new Map<string, boolean>()};

  /** Tracks entries; those present at the first call count as settled. */
  function trackEntries(ids: readonly string[]): void {
    const isFirst = seenAt.size === 0;
    const settledAt = getDeadline(clock.now(), -SETTLING_MS);
    for (const id of ids) {
      if (!seenAt.has(id)) seenAt.set(id, isFirst ? settledAt : clock.now());
    }
    const known = new Set(ids);
    for (const id of seenAt.keys()) if (!known.has(id)) seenAt.delete(id);
  }

  return {
    isStarting: () => clock.now() - startedAt < SETTLING_MS,
    createDesignationCheck: unresponsiveIds => {
      const ids = getPeers().map(peer => peer.id);
      trackEntries(ids);
      const settledAt = getDeadline(clock.now(), -SETTLING_MS);
      const others = ids
        .filter(id => !unresponsiveIds.includes(id))
        .filter(id => (seenAt.get(id) ?? settledAt) <= settledAt)
        .sort();
      const key = others.join();
      if (cache.key !== key) cache = {key, byAgent: new Map()};
      const {byAgent} = cache;
      return agentId => {
        let isFirst = byAgent.get(agentId);
        if (isFirst === undefined) {
          isFirst = isFirstInRendezvousOrder(agentId, self.id, others);
          byAgent.set(agentId, isFirst);
        }
        return isFirst;
      };
    },
  };
}
