import type {Clock, Logger, MonotonicMs, PoolId} from '@vanillacross/common';
import {getClockOffset} from '@vanillacross/common';

import type {Configuration, Pool} from '../model/index.js';
import {RouteTable} from './routes.js';

/** Time for which a request may be on its way before it is judged, ms. */
const FLIGHT_MARGIN_MS = 600;
/** Wall and steady clock may drift apart this much between two reads, ms. */
const CLOCK_TOLERANCE_MS = 250;

/** A version of a model that its trainer has named. */
export interface AnnouncedVersion {
  version: number;
  /** When this process learned of it. */
  announcedAt: MonotonicMs;
}

/**
 * The configuration in force at this process, and since when it is known to
 * be the newest.
 */
export class ConfigurationState {
  private current: RouteTable | null = null;
  private confirmedAt: MonotonicMs | null = null;
  private confirmedOffsetMs = 0;
  private readonly weights = new Map<string, AnnouncedVersion>();
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly revocationMs: number,
  ) {}

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Null until the first configuration is known. */
  getRoutes(): RouteTable | null {
    return this.current;
  }

  getPool(id: PoolId): Pool | undefined {
    return this.current?.configuration.pools.get(id);
  }

  /** The newest named version by model. */
  getAnnouncedVersions(): ReadonlyMap<string, AnnouncedVersion> {
    return this.weights;
  }

  /** Takes a configuration unless it is older than the one in force. */
  apply(configuration: Configuration): void {
    const before = this.current?.configuration.version ?? -1;
    if (configuration.version <= before) return;
    this.current = new RouteTable(configuration);
    this.logger.info('configuration in force', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
    this.notify();
  }

  /** Takes the version of a model that its trainer has named. */
  applyAnnouncedVersion(model: string, version: number): void {
    const before = this.weights.get(model)?.version ?? 0;
    if (version <= before) return;
    this.weights.set(model, {version, announcedAt: this.clock.now()});
    this.logger.info('weights named', {model, version, before});
    this.notify();
  }

  /**
   * Records that nothing newer existed at that time, when the wall clock was
   * ahead of the steady clock by `clockOffsetMs`.
   */
  confirm(at: MonotonicMs, clockOffsetMs: number): void {
    if (this.confirmedAt !== null && at <= this.confirmedAt) return;
    this.confirmedAt = at;
    this.confirmedOffsetMs = clockOffsetMs;
  }

  /** Age of the newest confirmation, ms. */
  getAgeMs(): number {
    return this.confirmedAt === null
      ? Infinity
      : this.clock.now() - this.confirmedAt;
  }

  /**
   * Whether keys may be accepted. A suspension stops the steady clock, so a
   * disagreement with the wall clock asks for a new confirmation.
   */
  areKeysFresh(): boolean {
    const driftMs = Math.abs(
      getClockOffset(this.clock) - this.confirmedOffsetMs,
    );
    if (driftMs > CLOCK_TOLERANCE_MS) return false;
    return this.getAgeMs() < this.revocationMs - FLIGHT_MARGIN_MS;
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
