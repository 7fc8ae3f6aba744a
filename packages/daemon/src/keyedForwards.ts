import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

/** Longest dedup window that is tracked, ms. */
const MAX_WINDOW_MS = 3_600_000;
/**
 * Maximum number of agent processes that are tracked; beyond it the oldest idle
 * ones are evicted.
 */
const MAX_TARGETS = 65_536;

/** An agent process that received requests with idempotency keys. */
export interface KeyedForwardTarget {
  pool: string;
  upstream: string;
  /** Null if it is unknown which process received the request. */
  agentEpoch: string | null;
}

/** Records how a forwarded request ended. */
export type EndForward = (
  /** `not_run` only with proof that nothing ran. */
  end: 'not_run' | 'may_have_run',
  agentEpoch: string | null,
) => void;

interface TrackedTarget extends KeyedForwardTarget {
  running: number;
  /** Time at which the last request that may have run ended; null if none. */
  lastAt: MonotonicMs | null;
}

/**
 * Tracks the agent processes to which this entry sent requests with idempotency
 * keys.
 */
export class KeyedForwards {
  private readonly tracked = new Map<string, TrackedTarget>();
  /**
   * Time of the last eviction for lack of space; null if there was none. All
   * requests to evicted processes ended before it.
   */
  private evictedAt: MonotonicMs | null = null;

  constructor(private readonly clock: Clock) {}

  /** Records a request before its first byte is sent. */
  begin(pool: string, upstream: string): EndForward {
    const unidentified = this.touch({pool, upstream, agentEpoch: null});
    unidentified.running += 1;
    return (end, agentEpoch) => {
      unidentified.running -= 1;
      if (end === 'not_run') return;
      this.touch({pool, upstream, agentEpoch}).lastAt = this.clock.now();
    };
  }

  /**
   * Returns the agent processes of a pool that received requests since a time,
   * or null if some may have been evicted.
   */
  getSince(pool: string, since: MonotonicMs): KeyedForwardTarget[] | null {
    this.prune();
    if (this.evictedAt !== null && this.evictedAt >= since) return null;
    return [...this.tracked.values()].filter(item => {
      if (item.pool !== pool) return false;
      return item.running > 0 || (item.lastAt !== null && item.lastAt >= since);
    });
  }

  private touch(target: KeyedForwardTarget): TrackedTarget {
    const {pool, upstream, agentEpoch} = target;
    const key = JSON.stringify([pool, upstream, agentEpoch]);
    const known = this.tracked.get(key);
    // Moves the entry to the end, so that iteration is in order of use.
    this.tracked.delete(key);
    if (this.tracked.size >= MAX_TARGETS) this.evictOldest();
    const item = known ?? {
      pool,
      upstream,
      agentEpoch,
      running: 0,
      lastAt: null,
    };
    this.tracked.set(key, item);
    return item;
  }

  private evictOldest(): void {
    this.prune();
    for (const [key, {running, lastAt}] of this.tracked) {
      if (this.tracked.size < MAX_TARGETS) return;
      if (running > 0) continue;
      this.tracked.delete(key);
      if (lastAt !== null) this.evictedAt = this.clock.now();
    }
  }

  private prune(): void {
    const oldest = getDeadline(this.clock.now(), -MAX_WINDOW_MS);
    for (const [key, {running, lastAt}] of this.tracked) {
      if (running > 0) continue;
      if (lastAt === null || lastAt < oldest) this.tracked.delete(key);
    }
  }
}
