import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline, isFirstInOrder} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';

import type {Context} from './types.js';

/**
 * Time until a new entry speaks alone for its agents, which read the instance
 * list every 10 s, ms.
 */
const SETTLING_MS = 20_000;

/** Decides which entry speaks for an agent to the other entries. */
export interface DesignatedEntries {
  /** True for some time after the start: agents may not poll yet. */
  isStarting(): boolean;
  /**
   * Creates a check whether this entry is the first of an agent's entries,
   * apart from some that do not answer.
   */
  createDesignationCheck(
    without: readonly string[],
  ): (agentId: string) => boolean;
}

export function createDesignatedEntries(
  context: Context,
  getPeers: () => readonly Instance[],
): DesignatedEntries {
  const {clock, self} = context;
  const startedAt = clock.now();
  const seenAt = new Map<string, MonotonicMs>();
  let cache = {key: '', byAgent: new Map<string, boolean>()};

  /** Notes new entries; those that are there at first are settled. */
  function noteEntries(ids: readonly string[]): void {
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
    createDesignationCheck: without => {
      const ids = getPeers().map(peer => peer.id);
      noteEntries(ids);
      const settled = getDeadline(clock.now(), -SETTLING_MS);
      const others = ids
        .filter(id => !without.includes(id))
        .filter(id => (seenAt.get(id) ?? settled) <= settled)
        .sort();
      const key = others.join();
      if (cache.key !== key) cache = {key, byAgent: new Map()};
      const {byAgent} = cache;
      return agentId => {
        let isFirst = byAgent.get(agentId);
        if (isFirst === undefined) {
          isFirst = isFirstInOrder(agentId, self.id, others);
          byAgent.set(agentId, isFirst);
        }
        return isFirst;
      };
    },
  };
}
