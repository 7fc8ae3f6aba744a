import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

/** Longest dedup window that is remembered, ms. */
const MAX_WINDOW_MS = 3_600_000;
/** Agent processes that are remembered; beyond it the oldest are merged. */
const MAX_FORWARDS = 65_536;

/** Requests with idempotency keys that went to one process of an agent. */
export interface KeyedForward {
  pool: string;
  upstream: string;
  /** Null if the process that got the request is not known. */
  agentEpoch: string | null;
}

/** Tells how a request ended at an agent. */
export type EndForward = (
  /** `not_run` if it is proved that nothing ran. */
  end: 'not_run' | 'may_have_run',
  agentEpoch: string | null,
) => void;

interface Kept extends KeyedForward {
  running: number;
  lastAt: MonotonicMs | null;
}

/** Remembers to which agents this entry sent requests with idempotency keys. */
export class KeyedForwards {
  private readonly kept = new Map<string, Kept>();
  /** Time of the newest request that was forgotten for lack of room. */
  private forgottenAt: MonotonicMs | null = null;

  constructor(private readonly clock: Clock) {}

  /** Notes a request before its first byte is sent. */
  begin(pool: string, upstream: string): EndForward {
    const unknown = this.get({pool, upstream, agentEpoch: null});
    unknown.running += 1;
    return (end, agentEpoch) => {
      unknown.running -= 1;
      if (end === 'not_run') return;
      this.get({pool, upstream, agentEpoch}).lastAt = this.clock.now();
    };
  }

  /** Requests of a pool since a time; null if some were forgotten. */
  getSince(pool: string, since: MonotonicMs): KeyedForward[] | null {
    this.prune();
    if (this.forgottenAt !== null && this.forgottenAt >= since) return null;
    return [...this.kept.values()].filter(kept => {
      if (kept.pool !== pool) return false;
      return kept.running > 0 || (kept.lastAt !== null && kept.lastAt >= since);
    });
  }

  private get(forward: KeyedForward): Kept {
    const {pool, upstream, agentEpoch} = forward;
    const key = JSON.stringify([pool, upstream, agentEpoch]);
    const known = this.kept.get(key);
    // Moved to the end, so that iteration is in order of use.
    this.kept.delete(key);
    if (this.kept.size >= MAX_FORWARDS) this.forgetOldest();
    const kept = known ?? {
      pool,
      upstream,
      agentEpoch,
      running: 0,
      lastAt: null,
    };
    this.kept.set(key, kept);
    return kept;
  }

  private forgetOldest(): void {
    this.prune();
    for (const [key, {running, lastAt}] of this.kept) {
      if (this.kept.size < MAX_FORWARDS) return;
      if (running > 0) continue;
      this.kept.delete(key);
      if (lastAt !== null) this.forgottenAt = this.clock.now();
    }
  }

  private prune(): void {
    const oldest = getDeadline(this.clock.now(), -MAX_WINDOW_MS);
    for (const [key, {running, lastAt}] of this.kept) {
      if (running > 0) continue;
      if (lastAt === null || lastAt < oldest) this.kept.delete(key);
    }
  }
}
