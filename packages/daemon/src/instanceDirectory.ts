import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';
import type {InstanceListPort} from '@vanillacross/platform';
import {setMaxListeners} from 'node:events';

import type {Context, Component} from './types.js';

/** Polls the instance list of the platform; the list may be outdated. */
export interface InstanceDirectory extends Component {
  /** Listed instances, recently removed ones and unresolved seeds. */
  getInstances(): readonly Instance[];
  /** Entries that are not leaving. */
  getEntries(): readonly Instance[];
  /** Whether the newest list contains the instance. */
  isListed(id: string): boolean;
  /** Version of the list that was last read; 0 if none has been read. */
  getVersion(): number;
  /** Instances of the newest list only, including leaving ones. */
  getListed(): readonly Instance[];
  /**
   * When an entry last left the list or changed its peer address; null if
   * never.
   */
  getLastDeparture(): MonotonicMs | null;
  /** Triggers a poll, limited to one per second. */
  pollNow(): void;
  /** Registers a change listener; returns an unsubscribe function. */
  subscribe(listener: () => void): () => void;
}

export interface InstanceDirectoryOptions {
  /** Instances from the settings, see `createSeedInstance`. */
  seeds: readonly Instance[];
  /** Interval between polls of the list, ms. */
  pollMs?: number;
  /** Restricts the list to instances of this role. */
  role?: Instance['role'];
}

/** Default interval and minimum interval between polls, ms. */
const POLL_INTERVAL_MS = 1_000;
/** Maximum interval between polls while the list cannot be read, ms. */
const MAX_BACKOFF_MS = 5_000;
/** How long an instance is kept after its removal from the list, ms. */
export const REMOVED_RETENTION_MS = 30_000;
const SEED_PREFIX = 'seed:';

/**
 * Creates a placeholder for an entry of which only the peer address is known.
 */
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

/** Whether an instance is the placeholder of an unresolved seed address. */
export function isSeed(instance: Instance): boolean {
  return instance.id.startsWith(SEED_PREFIX);
}

export function createInstanceDirectory(
  context: Context,
  listPort: InstanceListPort,
  options: InstanceDirectoryOptions,
): InstanceDirectory {
  const {clock, metrics} = context;
  const logger = context.logger.child('instances');
  const stopController = new AbortController();
  setMaxListeners(0, stopController.signal);
  const listeners = new Set<() => void>();
  const listed = new Map<string, Instance>();
  const removed = new Map<string, {instance: Instance; until: MonotonicMs}>();
  let version = 0;
  /**
   * Time from which a lower list version is taken to mean that the list has
   * restarted; null if the version is not lower.
   */
  let restartAt: MonotonicMs | null = null;
  let isReachable = true;
  let known: Instance[] = [...options.seeds];
  let loop: Promise<void> | undefined;
  let lastDeparture: MonotonicMs | null = null;
  let wakeController = new AbortController();

  const refresh = () => {
    const byAddress = new Map<string, Instance>();
    for (const seed of options.seeds) byAddress.set(seed.peerAddress, seed);
    for (const {instance} of removed.values()) {
      byAddress.set(instance.peerAddress, instance);
    }
    // Listed instances replace seeds and removed ones at the same address.
    for (const instance of listed.values()) {
      byAddress.set(instance.peerAddress, instance);
    }
    known = [...byAddress.values()];
    for (const listener of listeners) listener();
  };

  const recordDeparture = (instance: Instance) => {
    if (instance.role === 'entry') lastDeparture = clock.now();
  };

  const remove = (id: string) => {
    const instance = listed.get(id);
    if (!instance) return;
    listed.delete(id);
    recordDeparture(instance);
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
   * Handles a list version lower than one already read. A lagging response must
   * not undo newer changes; if the version stays lower, the list has restarted
   * and is read from its beginning. Returns true, as the poll has succeeded.
   */
  const handleOlderVersion = (): boolean => {
    restartAt ??= getDeadline(clock.now(), REMOVED_RETENTION_MS);
    if (restartAt > clock.now()) return true;
    metrics.count('vc_instance_list_restarts_total');
    version = 0;
    restartAt = null;
    return true;
  };

  const poll = async (): Promise<boolean> => {
    const changes = await listPort.getChanges(version, options.role);
    if (!changes.ok) {
      if (isReachable) {
        const {error} = changes;
        logger.warn('cannot read the instance list', {
          detail: 'detail' in error ? error.detail : error.tag,
        });
        metrics.count('vc_instance_list_outages_total');
      }
      isReachable = false;
      return false;
    }
    isReachable = true;
    const {full, instances, removed: removedIds} = changes.value;
    const isChanged = instances.length > 0 || removedIds.length > 0;
    if (changes.value.version < version && !full) return handleOlderVersion();
    restartAt = null;
    version = changes.value.version;
    if (full) {
      const present = new Set(instances.map(instance => instance.id));
      for (const id of [...listed.keys()]) {
        if (!present.has(id)) remove(id);
      }
    }
    for (const id of removedIds) remove(id);
    for (const instance of instances) {
      removed.delete(instance.id);
      const old = listed.get(instance.id);
      if (old && old.peerAddress !== instance.peerAddress) recordDeparture(old);
      listed.set(instance.id, instance);
    }
    if (dropExpired() || isChanged || full) refresh();
    return true;
  };

  const run = async () => {
    const pollMs = options.pollMs ?? POLL_INTERVAL_MS;
    let waitMs = pollMs;
    while (!stopController.signal.aborted) {
      wakeController = new AbortController();
      const polledAt = clock.now();
      const isSuccessful = await poll();
      waitMs = isSuccessful ? pollMs : Math.min(waitMs * 2, MAX_BACKOFF_MS);
      await clock.waitUntil(
        getDeadline(clock.now(), waitMs),
        wakeController.signal,
      );
      await clock.waitUntil(
        getDeadline(polledAt, POLL_INTERVAL_MS),
        stopController.signal,
      );
    }
  };

  return {
    name: 'instance directory',
    start: () => {
      loop = run();
    },
    stop: async () => {
      stopController.abort();
      wakeController.abort();
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
    pollNow: () => wakeController.abort(),
    isListed: id => listed.has(id),
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
