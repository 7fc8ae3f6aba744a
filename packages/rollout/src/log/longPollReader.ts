import type {StoreHealth} from './storeHealth.js';

/**
 * Sends reads that the store holds until there are records. A read that was
 * under way when the store fell silent may never be answered; it is given up
 * as soon as any call succeeds again. While the store is away, reads are not
 * held at all.
 */
export class LongPollReader {
  private current: AbortController | null = null;

  constructor(
    private readonly health: StoreHealth,
    private readonly stopping: AbortSignal,
  ) {
    health.onReconnect(() => this.current?.abort());
  }

  /** The outcome of a read; null if it was given up. */
  async send<Outcome>(
    waitMs: number,
    read: (waitMs: number, signal: AbortSignal) => Promise<Outcome>,
  ): Promise<Outcome | null> {
    const interruption = new AbortController();
    this.current = interruption;
    const signal = AbortSignal.any([interruption.signal, this.stopping]);
    const outcome = await read(
      this.health.isUnreachable() ? 0 : waitMs,
      signal,
    );
    this.current = null;
    return signal.aborted ? null : outcome;
  }
}
