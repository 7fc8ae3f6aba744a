import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';
import type {InstanceListPort} from '@vanillacross/platform';
import {setMaxListeners} from 'node:events';

import type {Context, Component} from './types.js';

/** Follows the platform's lagging list of instances. */
export interface InstanceDirectory extends Component {
  /** Listed instances, recently removed ones, and unresolved seeds. */
  getInstances(): readonly Instance[];
  /** Entries that are not leaving. */
  getEntries(): readonly Instance[];
  /** True if the newest list contains the instance. */
  isListed(id: string): boolean;
  /** Version of the list that was read last; 0 if none. */
  getVersion(): number;
  /** Instances of the newest list only, also leaving ones. */
  getListed(): readonly Instance[];
  /** When an entry was last seen to leave the list; null if never. */
  getLastDeparture(): MonotonicMs | null;
  /** Polls the list soon, at most once a second. */
  pollNow(): void;
  /** Calls back after each change; returns a function that unsubscribes. */
  subscribe(listener: () => void): () => void;
}

export interface InstanceDirectoryOptions {
  /** Instances known from the settings, see `createSeedInstance`. */
  seeds: readonly Instance[];
  /** Interval between polls of the list, ms. */
  pollMs?: number;
  /** Only instances of this role are needed. */
  role?: Instance['role'];
}

const POLL_MS = 1_000;
const MAX_BACKOFF_MS = 5_000;
/** How long an instance that left the list is kept, ms. */
export const REMOVED_RETENTION_MS = 30_000;
const SEED_PREFIX = 'seed:';

/** An entry of which only the RPC address is known from the settings. */
export function createSeedInstance(peerAddress: string): Instance {
  return {
    id: `${SEED_PREFIX}${peerAddress}`,
    role: 'entry',
    domain: '',
    address: '',
    peerAddress,
    state: 'live',
  };
}

/** True until the instance behind a seed address is known. */
export function isSeed(instance: Instance): boolean {
  return instance.id.startsWith(SEED_PREFIX);
}

/** Creates the follower of the instance list. */
export function createInstanceDirectory(
  context: Context,
  listPort: InstanceListPort,
  options: InstanceDirectoryOptions,
): InstanceDirectory {
  const {clock, metrics} = context;
  const logger = context.logger.part('instances');
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const listeners = new Set<() => void>();
  const listed = new Map<string, Instance>();
  const removed = new Map<string, {instance: Instance; until: MonotonicMs}>();
  let version = 0;
  /** When an answer with a lower version counts as a restarted list. */
  let behindUntil: MonotonicMs | null = null;
  let isUp = true;
  let known: Instance[] = [...options.seeds];
  let loop: Promise<void> | undefined;
  let lastDeparture: MonotonicMs | null = null;
  let woken = new AbortController();

  const refresh = () => {
    const byAddress = new Map<string, Instance>();
    for (const seed of options.seeds) byAddress.set(seed.peerAddress, seed);
    for (const {instance} of removed.values()) {
      byAddress.set(instance.peerAddress, instance);
    }
    // A listed instance replaces an older one at the same address.
    for (const instance of listed.values()) {
      byAddress.set(instance.peerAddress, instance);
    }
    known = [...byAddress.values()];
    for (const listener of listeners) listener();
  };

  const noteDeparture = (instance: Instance) => {
    if (instance.role === 'entry') lastDeparture = clock.now();
  };

  const remove = (id: string) => {
    const instance = listed.get(id);
    if (!instance) return;
    listed.delete(id);
    noteDeparture(instance);
    const until = getDeadline(clock.now(), REMOVED_RETENTION_MS);
    removed.set(id, {instance, until});
  };

  const dropExpired = (): boolean => {
    const before = removed.size;
    for (const [id, {until}] of removed) {
      if (until <= clock.now()) removed.delete(id);
    }
    return removed.size !== before;
  };

  /**
   * An answer that lags behind an earlier one must not undo it; a list whose
   * versions started again is read from its beginning after a while.
   */
  const noteOlderList = (): boolean => {
    behindUntil ??= getDeadline(clock.now(), REMOVED_RETENTION_MS);
    if (behindUntil > clock.now()) return true;
    metrics.count('vc_instance_list_restarts_total');
    version = 0;
    behindUntil = null;
    return true;
  };

  const poll = async (): Promise<boolean> => {
    const changes = await listPort.getChanges(version, options.role);
    if (!changes.ok) {
      if (isUp) {
        const {error} = changes;
        logger.warn('the instance list does not answer', {
          detail: 'detail' in error ? error.detail : error.tag,
        });
        metrics.count('vc_instance_list_outages_total');
      }
      isUp = false;
      return false;
    }
    isUp = true;
    const {full, instances, removed: gone} = changes.value;
    const isChanged = instances.length > 0 || gone.length > 0;
    if (changes.value.version < version && !full) return noteOlderList();
    behindUntil = null;
    version = changes.value.version;
    if (full) {
      const present = new Set(instances.map(instance => instance.id));
      for (const id of [...listed.keys()]) {
        if (!present.has(id)) remove(id);
      }
    }
    for (const id of gone) remove(id);
    for (const instance of instances) {
      removed.delete(instance.id);
      const old = listed.get(instance.id);
      if (old && old.peerAddress !== instance.peerAddress) noteDeparture(old);
      listed.set(instance.id, instance);
    }
    if (dropExpired() || isChanged || full) refresh();
    return true;
  };

  const run = async () => {
    const pollMs = options.pollMs ?? POLL_MS;
    let waitMs = pollMs;
    while (!stopped.signal.aborted) {
      woken = new AbortController();
      const polledAt = clock.now();
      const isAnswered = await poll();
      waitMs = isAnswered ? pollMs : Math.min(waitMs * 2, MAX_BACKOFF_MS);
      await clock.waitUntil(getDeadline(clock.now(), waitMs), woken.signal);
      await clock.waitUntil(getDeadline(polledAt, POLL_MS), stopped.signal);
    }
  };

  return {
    name: 'instance directory',
    start: () => {
      loop = run();
    },
    stop: async () => {
      stopped.abort();
      woken.abort();
      await loop;
    },
    getInstances: () => known,
    getEntries: () =>
      known.filter(
        instance => instance.role === 'entry' && instance.state === 'live',
      ),
    getVersion: () => version,
    getListed: () => [...listed.values()],
    getLastDeparture: () => lastDeparture,
    pollNow: () => woken.abort(),
    isListed: id => listed.has(id),
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
