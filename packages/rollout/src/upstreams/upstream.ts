import type {Clock, MonotonicMs, UpstreamId} from '@vanillacross/common';
import type {UpstreamHealth} from '@vanillacross/domain';
import {
  addUpstreamFailure,
  getExpectedPace,
  healthyUpstream,
  isUpstreamEjected,
} from '@vanillacross/domain';

import type {Pool, ReportedLoad, UpstreamEntry} from '../model/index.js';
import {ConnectionPool, MAX_REST_MS} from './connectionPool.js';
import {IncarnationNotices} from './incarnationNotices.js';
import {SentPrompts} from './sentPrompts.js';

/** Age at which a reported load is ignored, ms. */
const MAX_LOAD_AGE_MS = 500;
/** Rate-limit window for requests to a cold upstream, ms. */
const COLD_WINDOW_MS = 1_000;
/** Margin that is added to the cold time an upstream reports, ms. */
const COLD_MARGIN_MS = 500;

/** Smoothing factor of the moving average of service times. */
const SERVICE_TIME_SMOOTHING = 0.3;
/** Age at which a service time is ignored, ms. */
const MAX_SERVICE_TIME_AGE_MS = 2_000;
/** Smoothing factor of the moving average of event intervals. */
const EVENT_INTERVAL_SMOOTHING = 0.1;
/** Age at which an event interval is ignored, ms. */
const MAX_EVENT_INTERVAL_AGE_MS = 3_000;

/** How connections to an upstream are kept. */
export interface ConnectionOptions {
  /** Time after which idle connections are closed, ms. */
  idleTimeoutMs?: number;
  /** Returns the path of the requests that keep idle connections open. */
  getRefreshPath?: () => string | null;
}

/** This process's view of one incarnation of an upstream. */
export class Upstream {
  readonly id: UpstreamId;
  readonly agent: ConnectionPool;
  readonly prompts: SentPrompts;
  inFlight = 0;
  /** Time until which it refuses work while it loads a version, by model. */
  readonly loadingUntil = new Map<string, MonotonicMs>();
  private health: UpstreamHealth = healthyUpstream;
  private coldUntil: MonotonicMs;
  private load: {value: ReportedLoad; at: MonotonicMs} | null = null;
  private readonly seenVersions = new Map<string, number>();
  private eventInterval: {ms: number; at: MonotonicMs} | null = null;
  private serviceTime: {ms: number; at: MonotonicMs} | null = null;
  private recentStarts: MonotonicMs[] = [];
  private readonly endListeners: Array<() => void> = [];
  /** When this process read the newest entry. */
  listedAt: MonotonicMs;
  /** When the entry was removed; null while it is listed. */
  removedAt: MonotonicMs | null = null;

  constructor(
    public entry: UpstreamEntry,
    private readonly clock: Clock,
    coldMs: number,
    readonly notices: IncarnationNotices = new IncarnationNotices(clock),
    connections: ConnectionOptions = {},
  ) {
    this.id = entry.id;
    // By default, this process closes idle connections before upstreams do.
    const {idleTimeoutMs = MAX_REST_MS, getRefreshPath} = connections;
    this.agent = new ConnectionPool(
      clock,
      {
        keepAlive: true,
        maxFreeSockets: 16,
        timeout: idleTimeoutMs,
        // A refresh takes the connection that would be closed first.
        scheduling: getRefreshPath ? 'fifo' : 'lifo',
      },
      getRefreshPath,
    );
    this.prompts = new SentPrompts(clock);
    this.listedAt = clock.now();
    this.coldUntil = clock.now();
    if (coldMs > 0) this.markCold(coldMs);
  }

  /** Applies a newer entry of the same incarnation. */
  update(entry: UpstreamEntry): void {
    if (entry.coldLeftMs > 0) this.markCold(entry.coldLeftMs);
    this.entry = entry;
    this.listedAt = this.clock.now();
    for (const model of entry.versions.keys()) this.forgetOldPrompts(model);
  }

  /** Returns the version of a model that it serves, 0 if unknown. */
  getVersion(model: string): number {
    const listed = this.entry.versions.get(model) ?? 0;
    return Math.max(listed, this.seenVersions.get(model) ?? 0);
  }

  recordVersion(model: string, version: number): void {
    if (version > this.getVersion(model)) this.seenVersions.set(model, version);
    this.forgetOldPrompts(model);
  }

  /** A load of a version discards everything cached for the model. */
  private forgetOldPrompts(model: string): void {
    this.prompts.forgetOtherVersions(model, this.getVersion(model));
  }

  recordLoad(value: ReportedLoad): void {
    this.load = {value, at: this.clock.now()};
  }

  /** Records the time between two events of a stream, ms. */
  recordEventInterval(intervalMs: number): void {
    const previous = this.getEventIntervalMs();
    const ms =
      previous === null
        ? intervalMs
        : previous + (intervalMs - previous) * EVENT_INTERVAL_SMOOTHING;
    this.eventInterval = {ms, at: this.clock.now()};
  }

  /** Records how long a request took there, ms. */
  recordServiceTime(serviceMs: number): void {
    const previous = this.getServiceTimeMs() ?? serviceMs;
    const ms = previous + (serviceMs - previous) * SERVICE_TIME_SMOOTHING;
    this.serviceTime = {ms, at: this.clock.now()};
  }

  /** Returns the average time of recent requests, ms; null if unknown. */
  getServiceTimeMs(): number | null {
    if (!this.serviceTime) return null;
    const ageMs = this.clock.now() - this.serviceTime.at;
    return ageMs > MAX_SERVICE_TIME_AGE_MS ? null : this.serviceTime.ms;
  }

  /** Returns the time since the last event of any stream, ms. */
  getLastEventAgeMs(): number {
    if (!this.eventInterval) return Infinity;
    return this.clock.now() - this.eventInterval.at;
  }

  /** Returns the average time between stream events, ms; null if unknown. */
  getEventIntervalMs(): number | null {
    if (!this.eventInterval) return null;
    return this.clock.now() - this.eventInterval.at > MAX_EVENT_INTERVAL_AGE_MS
      ? null
      : this.eventInterval.ms;
  }

  /** Returns the known number of its running and queued requests. */
  getOccupancy(): number {
    if (!this.load || this.clock.now() - this.load.at > MAX_LOAD_AGE_MS) {
      return this.inFlight;
    }
    const {running, waiting} = this.load.value;
    return Math.max(this.inFlight, running + waiting);
  }

  /** Returns the number of requests that wait there; null if unknown. */
  getWaitingCount(): number | null {
    if (!this.load) return null;
    const isOutdated = this.clock.now() - this.load.at > MAX_LOAD_AGE_MS;
    return isOutdated ? null : this.load.value.waiting;
  }

  /** Returns the expected pace of its machine; 1 is the usual one. */
  getPace(): number {
    if (!this.load || this.load.value.pace === null) return 1;
    const ageMs = this.clock.now() - this.load.at;
    return getExpectedPace(this.load.value.pace, ageMs);
  }

  /** Whether a request could be sent without opening a connection. */
  hasIdleConnection(): boolean {
    return Object.values(this.agent.freeSockets).some(
      sockets => sockets !== undefined && sockets.length > 0,
    );
  }

  markCold(leftMs: number): void {
    const until = this.clock.now() + leftMs + COLD_MARGIN_MS;
    if (until > this.coldUntil) this.coldUntil = until as MonotonicMs;
  }

  isCold(): boolean {
    return this.clock.now() < this.coldUntil;
  }

  /**
   * Whether the upstream may receive another request now, given the rate limit
   * that applies while it is cold.
   *
   * @param share Requests/s that this process may send; may be less than one.
   */
  isWithinColdLimit(pool: Pool, share: number): boolean {
    if (pool.coldPerSecond === 0 || !this.isCold()) return true;
    this.recentStarts = this.getRecentStarts(share);
    return this.wouldBeWithinColdLimit(pool, share);
  }

  /**
   * Returns the same as `isWithinColdLimit`, but keeps all recent starts, so that
   * a question about one kind of requests does not change the limit of another.
   */
  wouldBeWithinColdLimit(pool: Pool, share: number): boolean {
    if (pool.coldPerSecond === 0 || !this.isCold()) return true;
    const startCount = this.getRecentStarts(share).length;
    return startCount < Math.max(1, Math.floor(share));
  }

  private getRecentStarts(share: number): MonotonicMs[] {
    const windowMs = COLD_WINDOW_MS * Math.max(1, 1 / share);
    const since = this.clock.now() - windowMs;
    return this.recentStarts.filter(at => at > since);
  }

  recordStart(): void {
    this.inFlight++;
    this.notices.recordStart();
    if (this.isCold()) this.recentStarts.push(this.clock.now());
  }

  recordEnd(): void {
    this.inFlight--;
    for (const listener of this.endListeners) listener();
  }

  /** Registers a callback for the end of each exchange. */
  onExchangeEnd(listener: () => void): void {
    this.endListeners.push(listener);
  }

  recordFailure(): void {
    this.health = addUpstreamFailure(
      this.health,
      this.clock.now(),
      Math.random,
    );
  }

  recordSuccess(): void {
    this.health = healthyUpstream;
  }

  isEjected(): boolean {
    return isUpstreamEjected(this.health, this.clock.now(), this.inFlight);
  }

  /** Marks a model as loading until a time, unless it is marked for longer. */
  markModelLoading(model: string, until: MonotonicMs): void {
    const previous = this.loadingUntil.get(model) ?? 0;
    if (until > previous) this.loadingUntil.set(model, until);
  }

  isLoading(model: string): boolean {
    const until = this.loadingUntil.get(model);
    return until !== undefined && this.clock.now() < until;
  }

  /**
   * Closes its connections once their requests have ended. An upstream that has
   * left the instance list may still finish what it runs.
   */
  close(): void {
    this.agent.retire();
  }

  /** Uses it again after its entry has returned. */
  reopen(entry: UpstreamEntry): void {
    this.agent.resume();
    this.update(entry);
    this.removedAt = null;
  }
}
