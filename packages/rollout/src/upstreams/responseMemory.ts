import type {Metrics} from '@vanillacross/common';

/**
 * Size up to which responses in progress are held in memory together, bytes. The
 * process has as much again for requests, and its heap.
 */
const MAX_TOTAL_BYTES = 48 * 1024 * 1024;
/** Maximum size of one response, bytes. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** The memory that one response in progress takes. */
export interface HeldResponse {
  /** Counts bytes that were received. May give up this response or others. */
  add(bytes: number): void;
  /** Counts it no longer, as it is complete or was given up. */
  release(): void;
}

interface Holder {
  bytes: number;
  giveUp: () => void;
}

/**
 * Bounds the memory of all responses in progress, so that upstreams that send
 * bytes without end do not take the memory of other requests. Over the bound, the
 * largest response is given up: those of sound upstreams are small.
 */
export class ResponseMemory {
  private readonly holders = new Set<Holder>();
  private totalBytes = 0;

  constructor(private readonly metrics: Metrics) {}

  /** Number of bytes that are held now. */
  get bytes(): number {
    return this.totalBytes;
  }

  /**
   * Counts the memory of a response in progress.
   *
   * @param giveUp Ends the response; called once at most, and not after its
   *     release.
   */
  hold(giveUp: () => void): HeldResponse {
    const holder: Holder = {bytes: 0, giveUp};
    this.holders.add(holder);
    return {
      add: bytes => this.add(holder, bytes),
      release: () => this.remove(holder),
    };
  }

  private add(holder: Holder, bytes: number): void {
    if (!this.holders.has(holder)) return;
    holder.bytes += bytes;
    this.totalBytes += bytes;
    if (holder.bytes > MAX_RESPONSE_BYTES) this.end(holder, 'too_large');
    while (this.totalBytes > MAX_TOTAL_BYTES) {
      this.end(this.getLargest(), 'no_memory');
    }
  }

  private getLargest(): Holder {
    return [...this.holders].reduce((largest, holder) =>
      holder.bytes > largest.bytes ? holder : largest,
    );
  }

  private end(holder: Holder, reason: 'too_large' | 'no_memory'): void {
    this.metrics.count('vc_responses_given_up', {reason});
    this.remove(holder);
    holder.giveUp();
  }

  private remove(holder: Holder): void {
    if (this.holders.delete(holder)) this.totalBytes -= holder.bytes;
  }
}
