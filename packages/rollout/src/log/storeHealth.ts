import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';

/** A failure counts as an outage until reads have succeeded this long, ms. */
const STEADY_MS = 400;
/** Reads that are held through a shorter outage are left alone, ms. */
const MIN_OUTAGE_MS = 500;

/** What this process knows of the store's availability. */
export class StoreHealth {
  /** First and newest failure of the newest outage. */
  private lostAt: MonotonicMs | null = null;
  private failedAt: MonotonicMs | null = null;
  private returnedAt: MonotonicMs | null = null;
  private succeededAt: MonotonicMs | null = null;
  /** A call has succeeded since the newest failure. */
  private hasContact = true;
  private readonly listeners: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Calls back at the first success after an outage. */
  onReconnect(listener: () => void): void {
    this.listeners.push(listener);
  }

  recordSuccess(): void {
    const now = this.clock.now();
    this.succeededAt = now;
    if (this.lostAt === null || this.failedAt === null) return;
    if (this.returnedAt !== null) return;
    if (!this.hasContact) this.noteContact(now - this.lostAt);
    if (now - this.failedAt < STEADY_MS) return;
    this.returnedAt = now;
    const outageMs = Math.round(this.failedAt - this.lostAt);
    this.logger.info('store regained', {outageMs});
  }

  recordFailure(detail: string): void {
    const now = this.clock.now();
    if (this.lostAt === null || this.returnedAt !== null) {
      this.lostAt = now;
      this.logger.warn('store lost', {detail});
    }
    this.failedAt = now;
    this.returnedAt = null;
    this.hasContact = false;
  }

  /** When the newest read succeeded; null before the first. */
  getLastSuccessAt(): MonotonicMs | null {
    return this.succeededAt;
  }

  /** Whether the newest call failed. */
  isUnreachable(): boolean {
    return !this.hasContact;
  }

  /**
   * Whether the store is away, or came back less than `graceMs` ago.
   */
  isUnstable(graceMs: number): boolean {
    if (this.failedAt === null) return false;
    if (this.returnedAt === null) return true;
    return this.clock.now() - this.returnedAt < graceMs;
  }

  private noteContact(outageMs: number): void {
    this.hasContact = true;
    if (outageMs < MIN_OUTAGE_MS) return;
    for (const listener of this.listeners) listener();
  }
}
