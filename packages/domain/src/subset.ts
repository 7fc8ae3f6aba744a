import {getRendezvousOrder} from '@vanillacross/common';

import {ENTRIES_PER_AGENT, UPSTREAMS_PER_DOMAIN} from './constants.js';

/** An instance and its failure domain. */
export interface PlacedInstance {
  id: string;
  domain: string;
}

/**
 * Chooses the entries that an agent polls: the first `count` by rendezvous hash
 * of the agent's id. If none of them is in the agent's own failure domain, the
 * last is replaced by an entry of that domain, if there is one.
 */
export function getEntriesOfAgent<Entry extends PlacedInstance>(
  agentId: string,
  agentDomain: string,
  entries: readonly Entry[],
  count = ENTRIES_PER_AGENT,
): Entry[] {
  const byId = new Map(entries.map(entry => [entry.id, entry]));
  const order = getRendezvousOrder(agentId, [...byId.keys()]);
  const ordered = order.map(id => byId.get(id)!);
  const chosen = ordered.slice(0, count);
  if (chosen.some(entry => entry.domain === agentDomain)) return chosen;
  const local = ordered.find(entry => entry.domain === agentDomain);
  return local ? [...chosen.slice(0, -1), local] : chosen;
}

/**
 * Chooses the agents of one pool that an entry sends requests to: the agents
 * that poll this entry, and the first `countPerDomain` of each failure domain
 * by rendezvous hash of the entry's id.
 */
export function getAgentsOfEntry<Agent extends PlacedInstance>(
  entryId: string,
  agents: readonly Agent[],
  isPolling: (agent: Agent) => boolean,
  countPerDomain = UPSTREAMS_PER_DOMAIN,
): Agent[] {
  const byDomain = new Map<string, Map<string, Agent>>();
  for (const agent of agents) {
    const group = byDomain.get(agent.domain) ?? new Map<string, Agent>();
    group.set(agent.id, agent);
    byDomain.set(agent.domain, group);
  }
  const chosen = new Map<string, Agent>();
  for (const group of byDomain.values()) {
    const order = getRendezvousOrder(entryId, [...group.keys()]);
    for (const id of order.slice(0, countPerDomain)) {
      chosen.set(id, group.get(id)!);
    }
  }
  for (const agent of agents) {
    if (isPolling(agent)) chosen.set(agent.id, agent);
  }
  return [...chosen.values()];
}
