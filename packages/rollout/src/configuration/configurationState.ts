import type {Clock, Logger, MonotonicMs, PoolId} from '@vanillacross/common';

import {Confirmation} from '../log/index.js';
import type {Configuration, Pool} from '../model/index.js';
import {RouteTable} from './routes.js';

/**
 * Margin for a request's time in transit before its key is checked, ms. It is
 * subtracted from the time within which a revoked key must be refused.
 */
const IN_FLIGHT_MARGIN_MS = 600;

/** A model version that a trainer has announced. */
export interface AnnouncedVersion {
  version: number;
  /** When this process received the announcement. */
  announcedAt: MonotonicMs;
}

/**
 * The configuration that this process applies, and the time at which it was
 * last confirmed to be the newest.
 */
export class ConfigurationState {
  private current: RouteTable | null = null;
  private readonly confirmation: Confirmation;
  private readonly announcedVersions = new Map<string, AnnouncedVersion>();
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly revocationMs: number,
  ) {
    this.confirmation = new Confirmation(clock);
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns null until the first configuration arrives. */
  getRoutes(): RouteTable | null {
    return this.current;
  }

  getPool(id: PoolId): Pool | undefined {
    return this.current?.configuration.pools.get(id);
  }

  /** Returns the newest announced version of each model. */
  getAnnouncedVersions(): ReadonlyMap<string, AnnouncedVersion> {
    return this.announcedVersions;
  }

  /** Applies a configuration if it is newer than the current one. */
  apply(configuration: Configuration): void {
    const before = this.current?.configuration.version ?? -1;
    if (configuration.version <= before) return;
    this.current = new RouteTable(configuration);
    this.logger.info('configuration applied', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
    this.notify();
  }

  /** Records a model version that a trainer has announced, if it is newer. */
  applyAnnouncedVersion(model: string, version: number): void {
    const before = this.announcedVersions.get(model)?.version ?? 0;
    if (version <= before) return;
    this.announcedVersions.set(model, {version, announcedAt: this.clock.now()});
    this.logger.info('model version announced', {model, version, before});
    this.notify();
  }

  /**
   * Records that the configuration was the newest one at a point in time.
   *
   * @param at The time of the confirmation.
   * @param clockOffsetMs Offset of the wall clock from the monotonic clock at
   * that time, ms.
   */
  confirm(at: MonotonicMs, clockOffsetMs: number): void {
    this.confirmation.record(at, clockOffsetMs);
  }

  /** Returns the age of the newest confirmation, ms; infinite without one. */
  getAgeMs(): number {
    return this.confirmation.getAgeMs();
  }

  /**
   * Whether keys may be accepted. After a suspension, the true age of the
   * confirmation is unknown, and a new one is required.
   */
  areKeysFresh(): boolean {
    if (this.confirmation.getSuspensionMs() > 0) return false;
    return this.getAgeMs() < this.revocationMs - IN_FLIGHT_MARGIN_MS;
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
