import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';

/**
 * An outage ends at the first success that comes at least this long after the
 * last failure, ms.
 */
const RECOVERY_MS = 400;
/** Minimum duration of an outage for which listeners are notified, ms. */
const MIN_OUTAGE_MS = 500;

/** Tracks the availability of the store as seen by this process. */
export class StoreHealth {
  /** Time of the first failure of the latest outage; null before the first. */
  private outageStartedAt: MonotonicMs | null = null;
  /** Time of the last failure of the latest outage; null before the first. */
  private lastFailureAt: MonotonicMs | null = null;
  /**
   * Time at which the latest outage ended; null while an outage lasts and before
   * the first.
   */
  private outageEndedAt: MonotonicMs | null = null;
  private lastSuccessAt: MonotonicMs | null = null;
  /** Whether a call has succeeded since the last failure. */
  private isReachable = true;
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Registers a listener. It is called at the first success after a failure if
   * the outage began at least `MIN_OUTAGE_MS` earlier.
   */
  onReconnect(listener: () => void): void {
    this.listeners.push(listener);
  }

  recordSuccess(): void {
    const now = this.clock.now();
    this.lastSuccessAt = now;
    if (this.outageStartedAt === null || this.lastFailureAt === null) return;
    if (this.outageEndedAt !== null) return;
    if (!this.isReachable) this.handleReconnect(now - this.outageStartedAt);
    if (now - this.lastFailureAt < RECOVERY_MS) return;
    this.outageEndedAt = now;
    const outageMs = Math.round(this.lastFailureAt - this.outageStartedAt);
    this.logger.info('store is available again', {outageMs});
  }

  recordFailure(detail: string): void {
    const now = this.clock.now();
    if (this.outageStartedAt === null || this.outageEndedAt !== null) {
      this.outageStartedAt = now;
      this.logger.warn('store is unavailable', {detail});
    }
    this.lastFailureAt = now;
    this.outageEndedAt = null;
    this.isReachable = false;
  }

  /** Time of the last successful call; null before the first. */
  getLastSuccessAt(): MonotonicMs | null {
    return this.lastSuccessAt;
  }

  /** Whether the last call failed. */
  isUnreachable(): boolean {
    return !this.isReachable;
  }

  /** Whether an outage is ongoing or ended less than `graceMs` ago. */
  isUnstable(graceMs: number): boolean {
    if (this.lastFailureAt === null) return false;
    if (this.outageEndedAt === null) return true;
    return this.clock.now() - this.outageEndedAt < graceMs;
  }

  private handleReconnect(outageMs: number): void {
    this.isReachable = true;
    if (outageMs < MIN_OUTAGE_MS) return;
    for (const listener of this.listeners) listener();
  }
}
