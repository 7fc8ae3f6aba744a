import type {Clock, MonotonicMs, UpstreamId} from '@vanillacross/common';
import type {UpstreamHealth} from '@vanillacross/domain';
import {
  addUpstreamFailure,
  healthyUpstream,
  isUpstreamEjected,
} from '@vanillacross/domain';

import type {Pool, ReportedLoad, UpstreamEntry} from '../model/index.js';
import {ConnectionPool} from './connectionPool.js';

/** Idle connections are closed after this, before upstreams drop them, ms. */
const IDLE_CONNECTION_MS = 10_000;
/** Age at which a reported load says nothing any more, ms. */
const LOAD_AGE_MS = 500;
/** Window over which requests to a cold upstream are counted, ms. */
const COLD_WINDOW_MS = 1_000;
/** Time for which an upstream counts as cold beyond what it states, ms. */
const COLD_MARGIN_MS = 500;

/** Weight of the newest pause between events in the pace. */
const PACE_WEIGHT = 0.1;
/** Age at which a pace says nothing any more, ms. */
const PACE_AGE_MS = 3_000;

/** One upstream as this process knows it; lives as long as its incarnation. */
export class Upstream {
  readonly id: UpstreamId;
  readonly agent = new ConnectionPool({
    keepAlive: true,
    maxFreeSockets: 16,
    timeout: IDLE_CONNECTION_MS,
  });
  inFlight = 0;
  /** Order of versions under way, by model, until which it refuses work. */
  readonly loadingUntil = new Map<string, MonotonicMs>();
  private health: UpstreamHealth = healthyUpstream;
  private coldUntil: MonotonicMs;
  private load: {value: ReportedLoad; at: MonotonicMs} | null = null;
  private readonly seenVersions = new Map<string, number>();
  private pace: {ms: number; at: MonotonicMs} | null = null;
  private recentStarts: MonotonicMs[] = [];
  /** When the entry was removed; null while it is listed. */
  removedAt: MonotonicMs | null = null;

  constructor(
    public entry: UpstreamEntry,
    private readonly clock: Clock,
    coldMs: number,
  ) {
    this.id = entry.id;
    this.coldUntil = clock.now();
    if (coldMs > 0) this.markCold(coldMs);
  }

  /** Takes a newer entry of the same incarnation. */
  update(entry: UpstreamEntry): void {
    if (entry.coldLeftMs > 0) this.markCold(entry.coldLeftMs);
    this.entry = entry;
  }

  /** The version of a model that it serves, 0 if unknown. */
  getVersion(model: string): number {
    const listed = this.entry.versions.get(model) ?? 0;
    return Math.max(listed, this.seenVersions.get(model) ?? 0);
  }

  recordVersion(model: string, version: number): void {
    if (version > this.getVersion(model)) this.seenVersions.set(model, version);
  }

  recordLoad(value: ReportedLoad): void {
    this.load = {value, at: this.clock.now()};
  }

  /** Records the pause between two events of a stream. */
  recordEventInterval(pauseMs: number): void {
    const before = this.getEventIntervalMs();
    const ms =
      before === null ? pauseMs : before + (pauseMs - before) * PACE_WEIGHT;
    this.pace = {ms, at: this.clock.now()};
  }

  /** Usual pause between events, ms; null if unknown. */
  getEventIntervalMs(): number | null {
    if (!this.pace) return null;
    return this.clock.now() - this.pace.at > PACE_AGE_MS ? null : this.pace.ms;
  }

  /** Requests that it works on or queues, as far as known. */
  getOccupancy(): number {
    if (!this.load || this.clock.now() - this.load.at > LOAD_AGE_MS) {
      return this.inFlight;
    }
    const {running, waiting} = this.load.value;
    return Math.max(this.inFlight, running + waiting);
  }

  markCold(leftMs: number): void {
    const until = this.clock.now() + leftMs + COLD_MARGIN_MS;
    if (until > this.coldUntil) this.coldUntil = until as MonotonicMs;
  }

  isCold(): boolean {
    return this.clock.now() < this.coldUntil;
  }

  /**
   * Whether a cold upstream may get one more request now.
   *
   * @param share Requests per second of this process; may be less than one.
   */
  hasColdCapacity(pool: Pool, share: number): boolean {
    if (pool.coldPerSecond === 0 || !this.isCold()) return true;
    const windowMs = COLD_WINDOW_MS * Math.max(1, 1 / share);
    const since = this.clock.now() - windowMs;
    this.recentStarts = this.recentStarts.filter(at => at > since);
    return this.recentStarts.length < Math.max(1, Math.floor(share));
  }

  recordStart(): void {
    this.inFlight++;
    if (this.isCold()) this.recentStarts.push(this.clock.now());
  }

  recordEnd(): void {
    this.inFlight--;
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

  /** Keeps a model's work away until a deadline, unless it is kept longer. */
  markModelLoading(model: string, until: MonotonicMs): void {
    const before = this.loadingUntil.get(model) ?? 0;
    if (until > before) this.loadingUntil.set(model, until);
  }

  isLoading(model: string): boolean {
    const until = this.loadingUntil.get(model);
    return until !== undefined && this.clock.now() < until;
  }

  close(): void {
    this.agent.destroy();
  }
}
