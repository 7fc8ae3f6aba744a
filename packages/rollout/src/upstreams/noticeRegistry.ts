import type {
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
  PoolId,
  UpstreamId,
} from '@vanillacross/common';
import {
  getRequestRate,
  getSendShare,
  getSenders,
  isLimitNews,
} from '@vanillacross/domain';

import {IncarnationNotices} from './incarnationNotices.js';

/** One incarnation of an upstream, whether it is listed or not. */
export interface Incarnation {
  id: UpstreamId;
  bornAt: number;
  pool: PoolId;
}

/** Tells the other processes what this one has learned. */
export interface NoticePublisher {
  publishLimit(incarnation: Incarnation, perSecond: number | null): void;
  publishLeaving(incarnation: Incarnation): void;
  /** Tells that this process has requests for a pool. */
  publishDemand(pool: PoolId): void;
}

export interface NoticeRegistryOptions {
  /** Name of this process in the demand of a pool. */
  process: string;
  publisher: NoticePublisher;
  /** Returns until when the other processes' records are known. */
  getViewAt: () => MonotonicMs | null;
  getProcessCount: () => number;
  /** Whether the lease holder sends calls to the upstreams of a pool. */
  hasControlCalls: (pool: PoolId) => boolean;
  isListed: (incarnation: Incarnation) => boolean;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Time for which a process has demand after its last request, ms. */
const DEMAND_MS = 12_000;
/** Interval at which demand is published, ms. */
const DEMAND_INTERVAL_MS = 4_000;
/** Age at which the demand of another process is dropped, ms. */
const MAX_DEMAND_AGE_MS = 15_000;
/** Age of the view above which other processes may have acted on a newer one. */
const MAX_VIEW_AGE_MS = 3_500;
/** Time after a limit is learned within which shares must be agreed, ms. */
const AGREEMENT_MS = 3_000;
/** Time for which notices of an unlisted incarnation are kept, ms. */
const RETENTION_MS = 120_000;

/** Maximum number of leaving upstreams to remember; the oldest are dropped. */
const MAX_LEAVING = 10_000;

function getKey({id, bornAt}: Incarnation): string {
  return `${id}/${bornAt}`;
}

/** The processes that have requests for a pool. */
interface Demand {
  /** When each of them last published its demand. */
  publishedAt: Map<string, MonotonicMs>;
  /** Their names; another array once they change. */
  processes: readonly string[];
}

interface KnownIncarnation extends Incarnation {
  notices: IncarnationNotices;
  /** The limit that all processes know, and when it was last published. */
  published: {perSecond: number | null; at: MonotonicMs} | null;
  limitLearnedAt: MonotonicMs | null;
  isLeavingPublished: boolean;
  /** The senders, and what they were computed from. */
  senders: {
    of: readonly string[];
    processes: readonly string[];
    limit: number;
  } | null;
  listedAt: MonotonicMs;
}

/**
 * What each incarnation of an upstream has stated about itself, and the part of
 * its request limit that this process may use. It outlives the upstream's
 * entry, which may expire and come back.
 */
export class NoticeRegistry {
  private readonly incarnations = new Map<string, KnownIncarnation>();
  /** Latest start of each upstream that has stated that it is leaving. */
  private readonly leavingBornAt = new Map<UpstreamId, number>();
  private readonly demand = new Map<PoolId, Demand>();
  private readonly ownDemandAt = new Map<PoolId, MonotonicMs>();
  private readonly demandPublishedAt = new Map<PoolId, MonotonicMs>();

  constructor(private readonly options: NoticeRegistryOptions) {}

  get(incarnation: Incarnation): IncarnationNotices {
    return this.getKnown(incarnation).notices;
  }

  /**
   * Whether an upstream is leaving: this start of it has stated so, or a later one
   * whose entry a late one of an earlier start has replaced.
   */
  isLeaving({id, bornAt}: Incarnation): boolean {
    const leavingBornAt = this.leavingBornAt.get(id);
    return leavingBornAt !== undefined && bornAt <= leavingBornAt;
  }

  /** Notes that this process has a request for a pool. */
  recordDemand(pool: PoolId): void {
    this.ownDemandAt.set(pool, this.options.clock.now());
  }

  /** Applies the limit that another process was told; null ends it. */
  applyLimit(incarnation: Incarnation, perSecond: number | null): void {
    const known = this.getKnown(incarnation);
    known.published = {perSecond, at: this.options.clock.now()};
    const before = known.notices.limit;
    known.notices.applyLimit(perSecond);
    this.handleLimitChange(known, before, 'another process');
  }

  applyLeaving(incarnation: Incarnation): void {
    const known = this.getKnown(incarnation);
    known.isLeavingPublished = true;
    known.notices.markLeaving();
  }

  applyDemand(pool: PoolId, process: string): void {
    const demand = this.demand.get(pool) ?? {
      publishedAt: new Map<string, MonotonicMs>(),
      processes: [],
    };
    this.demand.set(pool, demand);
    const isNew = !demand.publishedAt.has(process);
    demand.publishedAt.set(process, this.options.clock.now());
    if (isNew) demand.processes = [...demand.publishedAt.keys()];
  }

  /** Number of incarnations with a request limit in force. */
  get limitedCount(): number {
    return this.count(({limit}) => limit !== null);
  }

  /** Number of incarnations that have stated that they are leaving. */
  get leavingCount(): number {
    return this.count(({isLeaving}) => isLeaving);
  }

  /** Publishes demand, recomputes the shares and drops what is out of date. */
  update(): void {
    for (const [pool, limited] of this.getLimitedByPool()) {
      this.publishDemand(pool);
      this.updateShares(pool, limited);
    }
    this.dropUnlisted();
  }

  private count(matches: (notices: IncarnationNotices) => boolean): number {
    const all = [...this.incarnations.values()];
    return all.filter(({notices}) => matches(notices)).length;
  }

  private getKnown(incarnation: Incarnation): KnownIncarnation {
    const {id, bornAt, pool} = incarnation;
    const key = getKey(incarnation);
    const existing = this.incarnations.get(key);
    if (existing) return existing;
    const known: KnownIncarnation = {
      id,
      bornAt,
      pool,
      published: null,
      limitLearnedAt: null,
      isLeavingPublished: false,
      senders: null,
      listedAt: this.options.clock.now(),
      notices: new IncarnationNotices(this.options.clock, {
        onLimit: (perSecond, before) => {
          this.handleLimitChange(known, before, 'response');
          this.publishLimit(known, perSecond);
        },
        onLeaving: () => this.handleLeaving(known),
      }),
    };
    this.incarnations.set(key, known);
    return known;
  }

  private handleLimitChange(
    known: KnownIncarnation,
    before: number | null,
    source: string,
  ): void {
    const {clock, logger, metrics} = this.options;
    const perSecond = known.notices.limit;
    if (perSecond === before) return;
    if (before === null) {
      known.limitLearnedAt = clock.now();
      metrics.count('vc_upstream_limits');
      // Until shares are agreed, all processes get an equal one.
      known.notices.startShare(this.getShare(known, null));
    }
    logger.info('upstream limit changed', {
      upstream: known.id,
      perSecond,
      before,
      source,
    });
  }

  private handleLeaving(known: KnownIncarnation): void {
    const {logger, metrics, publisher} = this.options;
    this.recordLeaving(known);
    metrics.count('vc_upstreams_leaving');
    logger.info('upstream is leaving', {upstream: known.id});
    if (known.isLeavingPublished) return;
    known.isLeavingPublished = true;
    publisher.publishLeaving(known);
  }

  /** Remembers a leaving upstream, also while its entry is away for long. */
  private recordLeaving({id, bornAt}: Incarnation): void {
    const before = this.leavingBornAt.get(id) ?? -Infinity;
    this.leavingBornAt.delete(id);
    this.leavingBornAt.set(id, Math.max(before, bornAt));
    for (const oldest of this.leavingBornAt.keys()) {
      if (this.leavingBornAt.size <= MAX_LEAVING) return;
      this.leavingBornAt.delete(oldest);
    }
  }

  private publishLimit(
    known: KnownIncarnation,
    perSecond: number | null,
  ): void {
    const {clock, publisher} = this.options;
    const now = clock.now();
    if (!isLimitNews(known.published, perSecond, now)) return;
    known.published = {perSecond, at: now};
    publisher.publishLimit(known, perSecond);
  }

  private getLimitedByPool(): Map<PoolId, KnownIncarnation[]> {
    const byPool = new Map<PoolId, KnownIncarnation[]>();
    for (const known of this.incarnations.values()) {
      if (known.notices.limit === null) continue;
      const limited = byPool.get(known.pool) ?? [];
      limited.push(known);
      byPool.set(known.pool, limited);
    }
    return byPool;
  }

  private publishDemand(pool: PoolId): void {
    const {clock, publisher} = this.options;
    const now = clock.now();
    const demandAt = this.ownDemandAt.get(pool);
    if (demandAt === undefined || now - demandAt > DEMAND_MS) return;
    const publishedAt = this.demandPublishedAt.get(pool);
    const isDue =
      publishedAt === undefined || now - publishedAt >= DEMAND_INTERVAL_MS;
    if (!isDue) return;
    this.demandPublishedAt.set(pool, now);
    publisher.publishDemand(pool);
  }

  private updateShares(pool: PoolId, limited: KnownIncarnation[]): void {
    const processes = this.getDemandingProcesses(pool);
    for (const known of limited) {
      const senders = this.getSenders(known, processes);
      const before = known.notices.sharePerSecond;
      known.notices.updateShare(this.getShare(known, senders));
      this.logShare(known, before, senders);
    }
  }

  private logShare(
    known: KnownIncarnation,
    before: number,
    senders: readonly string[],
  ): void {
    const {sharePerSecond, limit} = known.notices;
    if (sharePerSecond === before) return;
    this.options.logger.info('share of a request limit changed', {
      upstream: known.id,
      limit,
      sharePerSecond,
      before,
      senders: senders.length,
      isViewCurrent: this.isViewCurrent(),
    });
  }

  private getSenders(
    known: KnownIncarnation,
    processes: readonly string[],
  ): readonly string[] {
    const limit = known.notices.limit ?? 0;
    const {senders} = known;
    if (senders?.processes === processes && senders.limit === limit) {
      return senders.of;
    }
    const hasControl = this.options.hasControlCalls(known.pool);
    const of = getSenders({id: getKey(known), limit}, processes, hasControl);
    known.senders = {of, processes, limit};
    return of;
  }

  private getShare(
    known: KnownIncarnation,
    senders: readonly string[] | null,
  ): number {
    const {process, hasControlCalls, getProcessCount} = this.options;
    const isUnagreed =
      senders === null ||
      (!senders.includes(process) && this.isAgreementPending(known));
    return getSendShare({
      perSecond: getRequestRate(
        known.notices.limit ?? 0,
        hasControlCalls(known.pool),
      ),
      senders: isUnagreed ? null : senders,
      process,
      processCount: getProcessCount(),
      isViewCurrent: this.isViewCurrent(),
    });
  }

  /**
   * Whether this process's demand can't be known to the others yet: the limit is
   * new, or the store is out of reach.
   */
  private isAgreementPending(known: KnownIncarnation): boolean {
    const {process, clock} = this.options;
    if (this.demand.get(known.pool)?.publishedAt.has(process)) return false;
    if (!this.isViewCurrent()) return true;
    const learnedAt = known.limitLearnedAt;
    return learnedAt !== null && clock.now() - learnedAt < AGREEMENT_MS;
  }

  private isViewCurrent(): boolean {
    const {clock, getViewAt} = this.options;
    const viewAt = getViewAt();
    return viewAt !== null && clock.now() - viewAt <= MAX_VIEW_AGE_MS;
  }

  /**
   * Returns the processes with demand as of the last read. While the store is
   * out of reach, none is dropped, because none could have published any.
   */
  private getDemandingProcesses(pool: PoolId): readonly string[] {
    const demand = this.demand.get(pool);
    if (!demand) return [];
    const viewAt = this.options.getViewAt() ?? 0;
    for (const [process, at] of demand.publishedAt) {
      if (viewAt - at > MAX_DEMAND_AGE_MS) demand.publishedAt.delete(process);
    }
    if (demand.processes.length !== demand.publishedAt.size) {
      demand.processes = [...demand.publishedAt.keys()];
    }
    return demand.processes;
  }

  private dropUnlisted(): void {
    const {clock, isListed} = this.options;
    const now = clock.now();
    for (const [key, known] of this.incarnations) {
      if (isListed(known)) known.listedAt = now;
      else if (now - known.listedAt > RETENTION_MS) {
        this.incarnations.delete(key);
      }
    }
  }
}
