import type {
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
  PoolId,
  SoftwareVersion,
} from '@vanillacross/common';
import {getDeadline, parseJson, toBranded} from '@vanillacross/common';
import type {ServedVersions} from '@vanillacross/domain';
import {
  getSoleVersion,
  getStreamLifeMs,
  planServedVersions,
  servedVersionsSchema,
} from '@vanillacross/domain';

import type {ConfigurationState} from '../configuration/index.js';
import type {StoreHealth} from '../log/index.js';
import {Confirmation, KeyedTail} from '../log/index.js';
import type {KeyedRecord, SharedLog} from '../model/index.js';
import type {UpstreamDirectory} from '../upstreams/index.js';

/** Long-poll time of reads of the records, ms. */
const LONG_POLL_MS = 400;
/**
 * Age of the newest confirmation up to which this process relies on a record to
 * be the newest, ms.
 */
const MAX_VIEW_AGE_MS = 1_200;
/**
 * Time after reading a new version for which no stream begins at it, ms. By
 * then, no process relies on the record before.
 */
const ACTIVATION_MS = 1_300;
/** Age of the newest confirmation up to which streams begin, ms. */
const MAX_BEGIN_VIEW_AGE_MS = 30_000;
/** Time without a listed upstream after which a version is retired, ms. */
const RETIRE_AFTER_MS = 5_000;
/**
 * Range of the random delay before a process that does not hold the lease
 * writes, ms, so that one write is usually enough.
 */
const WRITE_DELAY_MS = {min: 200, max: 1_200};
const APPEND_TIMEOUT_MS = 700;

export interface ServedVersionsTaskOptions {
  log: SharedLog;
  stream: string;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  health: StoreHealth;
  isLeaseHeld: () => boolean;
  isFirstStart: boolean;
  /** Returns the time of day that the processes agree on, ms. */
  getWallMs: () => number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  random: () => number;
}

/** The record of a pool as this process has read it. */
interface KnownPool {
  served: ServedVersions;
  /** When this process first read that a version is in the record. */
  readAt: Map<SoftwareVersion, MonotonicMs>;
}

/**
 * Keeps a record of the software versions at which streams of each pool may
 * have begun. It is shared through the store, so that a process that starts
 * knows of versions that have left.
 */
export class ServedVersionsTask {
  /** Longest timeout of the routes with streams of each pool, ms. */
  private streamPools: ReadonlyMap<PoolId, number> = new Map();
  private readonly pools = new Map<PoolId, KnownPool>();
  /** Pools whose record this process can't read and leaves as it is. */
  private readonly unreadable = new Set<PoolId>();
  private readonly listedAt = new Map<string, MonotonicMs>();
  /** When this process may write a pool's record. */
  private readonly writeAt = new Map<PoolId, MonotonicMs>();
  private readonly listeners: Array<(pool: PoolId) => void> = [];
  private readonly confirmation: Confirmation;
  private readonly tail: KeyedTail;
  private isStarted = false;
  private isWriting = false;

  constructor(private readonly options: ServedVersionsTaskOptions) {
    this.confirmation = new Confirmation(options.clock);
    options.configuration.onChange(() => this.updateStreamPools());
    this.tail = new KeyedTail({
      ...options,
      waitMs: LONG_POLL_MS,
      pauseMs: 0,
      onRecord: record => this.apply(record),
      onConfirmed: (at, offsetMs) => this.confirmation.record(at, offsetMs),
    });
  }

  /** Registers a callback for changes of the record of a pool. */
  onChange(listener: (pool: PoolId) => void): void {
    this.listeners.push(listener);
  }

  stop(): void {
    this.tail.stop();
  }

  /** Whether all records that streams need have been read. */
  isCaughtUp(): boolean {
    return this.streamPools.size === 0 || this.tail.confirmedAt !== null;
  }

  /**
   * Returns the only software version at which a stream of the pool that a
   * caller takes up now can have begun; null if it is in doubt.
   */
  getSoleVersion(pool: PoolId): SoftwareVersion | null {
    const known = this.pools.get(pool);
    if (!known || this.unreadable.has(pool)) return null;
    if (this.confirmation.getMaxAgeMs() > MAX_VIEW_AGE_MS) return null;
    return this.getRecordedSoleVersion(known, pool);
  }

  /**
   * Whether other processes may be in doubt about the software version of the
   * pool's streams, so that each has to be published.
   */
  mustPublish(pool: PoolId): boolean {
    const known = this.pools.get(pool);
    return !known || this.getRecordedSoleVersion(known, pool) === null;
  }

  /** Whether a stream of the pool may begin at this software version. */
  mayBegin(pool: PoolId, software: SoftwareVersion): boolean {
    const known = this.pools.get(pool);
    const version = known?.served.versions.find(v => v.software === software);
    if (!known || !version || version.retiredAt !== null) return false;
    if (this.confirmation.getMaxAgeMs() > MAX_BEGIN_VIEW_AGE_MS) return false;
    return version.isActive || this.isReadByAll(known, software);
  }

  /** Whether no process can rely any more on a record without this version. */
  private isReadByAll({readAt}: KnownPool, software: SoftwareVersion): boolean {
    const now = this.options.clock.now();
    return now - (readAt.get(software) ?? now) >= ACTIVATION_MS;
  }

  private getReadByAll(known: KnownPool | undefined): Set<SoftwareVersion> {
    const versions = [...(known?.readAt.keys() ?? [])];
    return new Set(
      versions.filter(software => known && this.isReadByAll(known, software)),
    );
  }

  /** Brings the records of all pools with streams up to date. */
  update(): void {
    const pools = this.streamPools;
    if (pools.size === 0) return;
    if (!this.isStarted) {
      this.isStarted = true;
      this.tail.start();
    }
    if (this.tail.confirmedAt === null || this.isWriting) return;
    for (const [pool, timeoutMs] of pools) this.updatePool(pool, timeoutMs);
  }

  private updateStreamPools(): void {
    const routes = this.options.configuration.getRoutes();
    const pools = new Map<PoolId, number>();
    for (const route of routes?.configuration.routes ?? []) {
      if (route.kind !== 'stream' || !route.isResumable) continue;
      for (const {pool} of route.targets) {
        pools.set(pool, Math.max(route.timeoutMs, pools.get(pool) ?? 0));
      }
    }
    this.streamPools = pools;
  }

  private getStreamLifeMs(pool: PoolId): number {
    return getStreamLifeMs(this.streamPools.get(pool) ?? 0);
  }

  private getRecordedSoleVersion(
    {served}: KnownPool,
    pool: PoolId,
  ): SoftwareVersion | null {
    const wallMs = this.options.getWallMs();
    return getSoleVersion(served, wallMs, this.getStreamLifeMs(pool));
  }

  private updatePool(pool: PoolId, timeoutMs: number): void {
    const {clock, directory, getWallMs, isFirstStart} = this.options;
    if (this.unreadable.has(pool)) return;
    const listed = new Set(
      directory.getListed(pool).map(({entry}) => entry.software),
    );
    for (const software of listed) {
      this.listedAt.set(`${pool}/${software}`, clock.now());
    }
    const known = this.pools.get(pool);
    const planned = planServedVersions(known?.served ?? null, {
      listed,
      unlisted: this.getUnlisted(pool, known),
      readByAll: this.getReadByAll(known),
      wallMs: getWallMs(),
      isFirstStart,
      streamLifeMs: getStreamLifeMs(timeoutMs),
    });
    if (!planned) this.writeAt.delete(pool);
    else if (this.isWriteDue(pool)) void this.write(pool, planned);
  }

  /** Only the holder of the lease retires versions. */
  private getUnlisted(
    pool: PoolId,
    known: KnownPool | undefined,
  ): Set<SoftwareVersion> {
    const {clock, isLeaseHeld} = this.options;
    const unlisted = new Set<SoftwareVersion>();
    if (!known || !isLeaseHeld()) return unlisted;
    for (const {software} of known.served.versions) {
      const key = `${pool}/${software}`;
      const listedAt = this.listedAt.get(key);
      if (listedAt === undefined) this.listedAt.set(key, clock.now());
      else if (clock.now() - listedAt > RETIRE_AFTER_MS) unlisted.add(software);
    }
    return unlisted;
  }

  private isWriteDue(pool: PoolId): boolean {
    const {clock, isLeaseHeld, random} = this.options;
    if (isLeaseHeld()) return true;
    const {min, max} = WRITE_DELAY_MS;
    const at =
      this.writeAt.get(pool) ??
      getDeadline(clock.now(), min + random() * (max - min));
    this.writeAt.set(pool, at);
    return clock.now() >= at;
  }

  /** Writes a record if none was written since this process read the stream. */
  private async write(pool: PoolId, planned: ServedVersions): Promise<void> {
    const {log, stream, logger, metrics} = this.options;
    this.isWriting = true;
    const outcome = await log.appendKeyed({
      stream,
      key: pool,
      value: Buffer.from(JSON.stringify(planned)),
      expectedEnd: this.tail.end,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    this.isWriting = false;
    this.writeAt.delete(pool);
    const result = outcome.ok ? 'stored' : outcome.error.tag;
    metrics.count('vc_served_version_writes', {result});
    logger.info('wrote served software versions', {pool, result, ...planned});
  }

  private apply({key, value, offset}: KeyedRecord): void {
    const pool = toBranded<PoolId>(key);
    const parsed = value && parseJson(value.toString('utf8'));
    const record = servedVersionsSchema.safeParse(
      parsed?.ok ? parsed.value : null,
    );
    if (!record.success) {
      this.unreadable.add(pool);
      this.options.logger.warn('unreadable record of served versions', {
        pool,
        offset,
      });
      return;
    }
    this.unreadable.delete(pool);
    this.setServed(pool, record.data);
  }

  private setServed(pool: PoolId, served: ServedVersions): void {
    const {clock, logger} = this.options;
    const before = this.pools.get(pool)?.readAt;
    const readAt = new Map(
      served.versions
        .filter(({retiredAt}) => retiredAt === null)
        .map(({software}) => [software, before?.get(software) ?? clock.now()]),
    );
    this.pools.set(pool, {served, readAt});
    logger.info('served software versions changed', {
      pool,
      versions: served.versions,
      wallMs: this.options.getWallMs(),
    });
    for (const listener of this.listeners) listener(pool);
  }
}
