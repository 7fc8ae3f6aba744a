import type {Clock} from '@vanillacross/common';
import {getRendezvousOrder} from '@vanillacross/common';
import type {AgentInstance, Load, WeightSources} from '@vanillacross/domain';

/** Addresses in one answer. */
const MAX_ADDRESSES = 4;
/** How often an address is handed out in a second. */
const MAX_HANDOUTS = 4;
const HANDOUT_SPAN_MS = 1_000;
/** Agents of a failure domain that fetch from the store first. */
const STORE_FETCHERS_PER_DOMAIN = 2;

/** An agent of the pools that run the model, as this entry knows it. */
export interface WeightHolder {
  instance: AgentInstance;
  load: Load | null;
  /** True if the agent polled lately and is not leaving. */
  isReachable: boolean;
}

/** True if an agent's engine can hand a version on. */
function hasVersion(load: Load | null, version: number): boolean {
  return load?.staged === version || load?.version === version;
}

/** True if an agent's engine needs a version and does not have it yet. */
export function isVersionMissing(load: Load | null, version: number): boolean {
  return !hasVersion(load, version) && (load?.version ?? 0) < version;
}

/** Chooses where agents fetch a weight version from. */
export class WeightSourceSelector {
  /** Times at which an address was handed out within the span. */
  private readonly handouts = new Map<string, number[]>();

  constructor(private readonly clock: Clock) {}

  /** Sources for one agent; empty if the known ones are handed out enough. */
  choose(
    agent: AgentInstance,
    version: number,
    holders: readonly WeightHolder[],
  ): WeightSources {
    const counted = holders
      .filter(
        ({instance, load, isReachable}) =>
          isReachable && instance.id !== agent.id && hasVersion(load, version),
      )
      .map(({instance}) => ({
        address: instance.address,
        isLocal: instance.domain === agent.domain,
        count: this.getHandouts(instance.address).length,
      }))
      .filter(({count}) => count < MAX_HANDOUTS)
      .sort(
        (a, b) => a.count - b.count || Number(b.isLocal) - Number(a.isLocal),
      );
    // While sources are few, more agents get one each.
    const taken = Math.min(MAX_ADDRESSES, Math.ceil(counted.length / 2));
    const addresses = counted.slice(0, taken).map(({address}) => address);
    for (const address of addresses) this.noteHandout(address);
    const mayUseStore = isStoreFetcher(agent, version, holders);
    return {version, addresses, mayUseStore};
  }

  private getHandouts(address: string): number[] {
    const since = this.clock.now() - HANDOUT_SPAN_MS;
    const times = this.handouts.get(address) ?? [];
    return times.filter(time => time > since);
  }

  private noteHandout(address: string): void {
    const times = [...this.getHandouts(address), this.clock.now()];
    this.handouts.set(address, times);
    for (const known of this.handouts.keys()) {
      if (this.getHandouts(known).length === 0) this.handouts.delete(known);
    }
  }
}

/** The store's rate does not allow more than a few fetches at a time. */
function isStoreFetcher(
  agent: AgentInstance,
  version: number,
  holders: readonly WeightHolder[],
): boolean {
  const ids = holders
    .filter(({instance}) => instance.domain === agent.domain)
    .filter(({instance}) => instance.state === 'live')
    .map(({instance}) => instance.upstream.id);
  return getRendezvousOrder(`weights/${version}`, ids)
    .slice(0, STORE_FETCHERS_PER_DOMAIN)
    .includes(agent.upstream.id);
}
