import type {
  Clock,
  DomainId,
  Logger,
  MonotonicMs,
  PoolId,
  UpstreamId,
} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';

import type {StoreHealth} from '../log/index.js';
import type {
  KeyedRecord,
  Pool,
  RecordDialect,
  SchedulingPolicy,
  UpstreamEntry,
} from '../model/index.js';
import type {NoticeRegistry} from './noticeRegistry.js';
import type {ConnectionOptions} from './upstream.js';
import {Upstream} from './upstream.js';

/**
 * Time after a store outage for which entries that expired during the outage
 * are kept, so that they can be listed again, ms. An entry that is still
 * missing afterwards is removed.
 */
const RELIST_GRACE_MS = 2_200;
/** Time within which an upstream that lives has renewed its entry, ms. */
const RENEWAL_MS = 4_000;
/** Cold time that is used until the configuration is known, ms. */
const DEFAULT_COLD_MS = 3_000;
/**
 * Idle timeout of connections to engines with concentrated placement, ms. The
 * engines of a model are used again within a few versions; a sample whose
 * connection the engine has closed meanwhile can be sent again.
 */
const ENGINE_IDLE_TIMEOUT_MS = 30_000;
/** Assumed maximum skew between wall clocks of upstreams and processes, ms. */
const MAX_CLOCK_SKEW_MS = 6_000;

export interface UpstreamDirectoryOptions {
  dialect: RecordDialect;
  clock: Clock;
  logger: Logger;
  health: StoreHealth;
  notices: NoticeRegistry;
  getPool: (pool: PoolId) => Pool | undefined;
  /** Whether the whole deployment is starting for the first time. */
  isStarting: () => boolean;
  policy: SchedulingPolicy;
}

/** Why an upstream may not receive any requests. */
export type Exclusion = 'unlisted' | 'draining' | 'leaving' | 'evacuated';

/** Whether two entries describe the same start of an upstream. */
function isSameStart(a: UpstreamEntry, b: UpstreamEntry): boolean {
  return a.bornAt === b.bornAt && a.address === b.address;
}

/** The upstreams in the instance list. */
export class UpstreamDirectory {
  private readonly upstreams = new Map<UpstreamId, Upstream>();
  /**
   * Upstreams that are no longer listed and have requests in flight or are cold.
   * If the same start is listed again, these still count.
   */
  private readonly departed = new Map<UpstreamId, Upstream>();
  private readonly evacuated = new Set<DomainId>();
  private readonly listeners: Array<() => void> = [];
  private readonly endListeners: Array<(pool: PoolId) => void> = [];

  constructor(private readonly options: UpstreamDirectoryOptions) {}

  /** Registers a callback for changes of the list. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Registers a callback for the end of each exchange with an upstream. */
  onExchangeEnd(listener: (pool: PoolId) => void): void {
    this.endListeners.push(listener);
  }

  get(id: UpstreamId): Upstream | undefined {
    return this.upstreams.get(id);
  }

  /** Returns all listed upstreams of a pool, usable or not. */
  getListed(pool: PoolId): Upstream[] {
    return [...this.upstreams.values()].filter(u => u.entry.pool === pool);
  }

  /** Returns the upstreams of a pool that may receive requests. */
  getUsable(pool: PoolId): Upstream[] {
    return this.getListed(pool).filter(u => this.isUsable(u));
  }

  /** Notes that this process has a request for a pool. */
  recordDemand(pool: PoolId): void {
    this.options.notices.recordDemand(pool);
  }

  isUsable(upstream: Upstream): boolean {
    return this.getExclusion(upstream) === null;
  }

  /** Returns why an upstream may not receive requests; null if it may. */
  getExclusion(upstream: Upstream): Exclusion | null {
    if (this.upstreams.get(upstream.id) !== upstream) return 'unlisted';
    if (upstream.entry.isDraining) return 'draining';
    if (this.options.notices.isLeaving(upstream.entry)) return 'leaving';
    if (this.evacuated.has(upstream.entry.domain)) return 'evacuated';
    const isListed =
      upstream.removedAt === null || this.isKeptDespiteRemoval(upstream);
    return isListed ? null : 'unlisted';
  }

  /** Applies a record of the instance list. */
  apply(record: KeyedRecord): void {
    const id = toBranded<UpstreamId>(record.key);
    if (record.value === null) return this.remove(id);
    const entry = this.options.dialect.readUpstream(record.key, record.value);
    if (!entry.ok) {
      this.options.logger.warn('treated unreadable upstream entry as removed', {
        upstream: id,
        reason: entry.error,
      });
      return this.remove(id);
    }
    const known = this.upstreams.get(id);
    if (known && this.isOutdated(entry.value, known)) {
      return this.log(known, 'ignored an entry of an earlier start');
    }
    if (known && isSameStart(known.entry, entry.value)) {
      this.updateListed(known, entry.value);
    } else {
      known?.close();
      this.add(entry.value);
    }
    this.notify();
  }

  private updateListed(upstream: Upstream, entry: UpstreamEntry): void {
    const wasDraining = upstream.entry.isDraining;
    upstream.update(entry);
    upstream.removedAt = null;
    if (entry.isDraining && !wasDraining) this.log(upstream, 'draining');
  }

  private add(entry: UpstreamEntry): void {
    const {id} = entry;
    const departed = this.departed.get(id);
    this.departed.delete(id);
    if (departed && isSameStart(departed.entry, entry)) {
      departed.reopen(entry);
      this.upstreams.set(id, departed);
      return this.log(departed, 'listed again');
    }
    const added = new Upstream(
      entry,
      this.options.clock,
      this.getInitialColdMs(entry),
      this.options.notices.get(entry),
      this.getConnectionOptions(entry),
    );
    added.onExchangeEnd(() => {
      for (const listener of this.endListeners) listener(entry.pool);
    });
    this.upstreams.set(id, added);
    this.log(added, 'listed');
  }

  /** Takes a failure domain out of service or back in. */
  setEvacuated(domain: DomainId, isEvacuated: boolean): void {
    if (this.evacuated.has(domain) === isEvacuated) return;
    this.options.logger.info('failure domain evacuation changed', {
      domain,
      isEvacuated,
    });
    if (isEvacuated) this.evacuated.add(domain);
    else this.evacuated.delete(domain);
    if (!isEvacuated) this.markDomainCold(domain);
    this.notify();
  }

  /** Drops removed entries whose grace period has ended. */
  sweep(): void {
    for (const upstream of this.upstreams.values()) {
      if (upstream.removedAt === null || this.isKeptDespiteRemoval(upstream)) {
        continue;
      }
      this.upstreams.delete(upstream.id);
      this.departed.set(upstream.id, upstream);
      upstream.close();
      this.log(upstream, 'gone');
      this.notify();
    }
    for (const [id, upstream] of this.departed) {
      const isActive = upstream.inFlight > 0 || upstream.isCold();
      if (!isActive) this.departed.delete(id);
    }
  }

  private isKeptDespiteRemoval(upstream: Upstream): boolean {
    return (
      upstream.removedAt !== null &&
      this.options.health.isUnstable(RELIST_GRACE_MS)
    );
  }

  /**
   * Whether an entry that arrives late describes an earlier start of an upstream.
   * Once the newer entry is no longer renewed, the other one counts, as the clock
   * of the upstream may have been set back.
   */
  private isOutdated(entry: UpstreamEntry, known: Upstream): boolean {
    if (entry.bornAt >= known.entry.bornAt) return false;
    const ageMs = this.options.clock.now() - known.listedAt;
    return known.removedAt === null && ageMs < RENEWAL_MS;
  }

  /** Marks a domain's upstreams as cold, as they may be after an evacuation. */
  private markDomainCold(domain: DomainId): void {
    for (const upstream of this.upstreams.values()) {
      if (upstream.entry.domain !== domain) continue;
      upstream.markCold(this.getColdMs(upstream.entry.pool));
    }
  }

  /**
   * Returns the initial cold time of an upstream that is new to this process,
   * ms. An upstream that has run for long is as cold as it reports, so that a
   * restart of this process does not make it cold. One that may have started
   * recently, allowing for clock skew, counts as cold whatever it reports,
   * except at the first start of the deployment.
   */
  private getInitialColdMs(entry: UpstreamEntry): number {
    const {isStarting, clock} = this.options;
    if (isStarting()) return entry.coldLeftMs;
    const coldMs = this.getColdMs(entry.pool);
    const ageMs = clock.wallNow() - entry.bornAt;
    const isWarm = entry.bornAt > 0 && ageMs > coldMs + MAX_CLOCK_SKEW_MS;
    if (isWarm) return entry.coldLeftMs;
    return Math.max(entry.coldLeftMs, coldMs);
  }

  private getColdMs(pool: PoolId): number {
    return this.options.getPool(pool)?.coldMs ?? DEFAULT_COLD_MS;
  }

  private getConnectionOptions({
    pool,
    versions,
  }: UpstreamEntry): ConnectionOptions {
    const isEngine = versions.size > 0;
    const {policy, getPool} = this.options;
    if (!isEngine || policy.placement === 'spread') return {};
    return {
      idleTimeoutMs: ENGINE_IDLE_TIMEOUT_MS,
      // The configuration may be read after the list.
      getRefreshPath: () => getPool(pool)?.healthPath ?? null,
    };
  }

  private remove(id: UpstreamId): void {
    const upstream = this.upstreams.get(id);
    if (!upstream || upstream.removedAt !== null) return;
    upstream.removedAt = this.options.clock.now() as MonotonicMs;
    this.sweep();
  }

  private log(upstream: Upstream, state: string): void {
    const {id, pool, domain, software, address, bornAt} = upstream.entry;
    this.options.logger.info('upstream changed', {
      upstream: id,
      state,
      pool,
      domain,
      software,
      address,
      bornAt,
      inFlight: upstream.inFlight,
    });
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
