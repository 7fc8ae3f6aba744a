import type {Clock} from '@vanillacross/common';
import {getRendezvousOrder} from '@vanillacross/common';
import type {AgentInstance, Load, WeightSources} from '@vanillacross/domain';

/** Maximum number of addresses in one response. */
const MAX_ADDRESSES = 4;
/** How often an address may be assigned within `ASSIGNMENT_WINDOW_MS`. */
const MAX_ASSIGNMENTS = 4;
const ASSIGNMENT_WINDOW_MS = 1_000;
/**
 * Maximum number of agents per failure domain that may fetch from the store.
 */
const STORE_FETCHERS_PER_DOMAIN = 2;

/**
 * An agent in any pool that serves the model, as known to this entry; it may or
 * may not have the version yet.
 */
export interface ModelAgent {
  instance: AgentInstance;
  load: Load | null;
  /** True if the agent polled recently and is not leaving. */
  isReachable: boolean;
}

/** Whether other agents can fetch a version from this agent's engine. */
function hasVersion(load: Load | null, version: number): boolean {
  return load?.staged === version || load?.version === version;
}

/** Whether an agent's engine needs a version that it does not have yet. */
export function isVersionMissing(load: Load | null, version: number): boolean {
  return !hasVersion(load, version) && (load?.version ?? 0) < version;
}

/** Selects the sources from which agents fetch a weight version. */
export class WeightSourceSelector {
  /** Times of recent assignments by address. */
  private readonly assignments = new Map<string, number[]>();

  constructor(private readonly clock: Clock) {}

  /**
   * Selects up to `MAX_ADDRESSES` sources for one agent. Prefers the least
   * assigned, then those in the agent's failure domain. Empty if all known
   * sources have reached `MAX_ASSIGNMENTS`.
   */
  choose(
    agent: AgentInstance,
    version: number,
    agents: readonly ModelAgent[],
  ): WeightSources {
    const candidates = agents
      .filter(
        ({instance, load, isReachable}) =>
          isReachable && instance.id !== agent.id && hasVersion(load, version),
      )
      .map(({instance}) => ({
        address: instance.address,
        isLocal: instance.domain === agent.domain,
        count: this.getRecent(instance.address).length,
      }))
      .filter(({count}) => count < MAX_ASSIGNMENTS)
      .sort(
        (a, b) => a.count - b.count || Number(b.isLocal) - Number(a.isLocal),
      );
    // Assigns only half of the sources, rounded up. While there are few
    // sources, this leaves some for other agents.
    const addressCount = Math.min(
      MAX_ADDRESSES,
      Math.ceil(candidates.length / 2),
    );
    const addresses = candidates
      .slice(0, addressCount)
      .map(({address}) => address);
    for (const address of addresses) this.recordAssignment(address);
    const mayUseStore = isStoreFetcher(agent, version, agents);
    return {version, addresses, mayUseStore};
  }

  private getRecent(address: string): number[] {
    const since = this.clock.now() - ASSIGNMENT_WINDOW_MS;
    const times = this.assignments.get(address) ?? [];
    return times.filter(time => time > since);
  }

  private recordAssignment(address: string): void {
    const times = [...this.getRecent(address), this.clock.now()];
    this.assignments.set(address, times);
    for (const known of this.assignments.keys()) {
      if (this.getRecent(known).length === 0) this.assignments.delete(known);
    }
  }
}

/**
 * Whether an agent may fetch from the store. Only a few agents per failure
 * domain may, since the throughput of the store does not allow more concurrent
 * fetches; the others fetch from agents.
 */
function isStoreFetcher(
  agent: AgentInstance,
  version: number,
  agents: readonly ModelAgent[],
): boolean {
  const ids = agents
    .filter(({instance}) => instance.domain === agent.domain)
    .filter(({instance}) => instance.state === 'live')
    .map(({instance}) => instance.upstream.id);
  return getRendezvousOrder(`weights/${version}`, ids)
    .slice(0, STORE_FETCHERS_PER_DOMAIN)
    .includes(agent.upstream.id);
}
