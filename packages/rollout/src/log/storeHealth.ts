import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';

/** A failure counts as an outage until reads have succeeded this long, ms. */
const STEADY_MS = 400;

/** What this process knows of the store's availability. */
export class StoreHealth {
  private failedAt: MonotonicMs | null = null;
  private returnedAt: MonotonicMs | null = null;
  private succeededAt: MonotonicMs | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  noteSuccess(): void {
    const now = this.clock.now();
    this.succeededAt = now;
    if (this.failedAt === null || this.returnedAt !== null) return;
    if (now - this.failedAt < STEADY_MS) return;
    this.returnedAt = now;
    this.logger.info('store regained', {outageMs: now - this.failedAt});
  }

  noteFailure(detail: string): void {
    const now = this.clock.now();
    if (this.failedAt === null || this.returnedAt !== null) {
      this.logger.warn('store lost', {detail});
    }
    this.failedAt = now;
    this.returnedAt = null;
  }

  /** When the newest read succeeded; null before the first. */
  getSucceededAt(): MonotonicMs | null {
    return this.succeededAt;
  }

  /**
   * Whether the store is away, or came back less than `graceMs` ago.
   */
  isUnsettled(graceMs: number): boolean {
    if (this.failedAt === null) return false;
    if (this.returnedAt === null) return true;
    return this.clock.now() - this.returnedAt < graceMs;
  }
}
