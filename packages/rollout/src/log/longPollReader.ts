import type {StoreHealth} from './storeHealth.js';

/**
 * Sends long-poll reads, which the store holds until there are records. A read
 * that is in flight when an outage begins may never be answered, so it is
 * aborted as soon as the store is reachable again. While the store is
 * unreachable, reads are sent without a wait.
 */
export class LongPollReader {
  private current: AbortController | null = null;

  constructor(
    private readonly health: StoreHealth,
    private readonly stopSignal: AbortSignal,
  ) {
    health.onReconnect(() => this.abort());
  }

  /** Aborts the read in flight, if any, so that it is sent again. */
  abort(): void {
    this.current?.abort();
  }

  /** Returns the outcome of a read; null if it was aborted. */
  async send<Outcome>(
    waitMs: number,
    read: (waitMs: number, signal: AbortSignal) => Promise<Outcome>,
  ): Promise<Outcome | null> {
    const controller = new AbortController();
    this.current = controller;
    const signal = AbortSignal.any([controller.signal, this.stopSignal]);
    const outcome = await read(
      this.health.isUnreachable() ? 0 : waitMs,
      signal,
    );
    this.current = null;
    return signal.aborted ? null : outcome;
  }
}
