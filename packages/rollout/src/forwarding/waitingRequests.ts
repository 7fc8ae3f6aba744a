import type {PoolId} from '@vanillacross/common';

/** The requests of this process that wait for a place, in order of arrival. */
export class WaitingRequests {
  private readonly byPool = new Map<PoolId, Set<object>>();

  /** Adds a request unless it waits already. */
  join(pool: PoolId, request: object): void {
    const waiting = this.byPool.get(pool) ?? new Set<object>();
    this.byPool.set(pool, waiting);
    waiting.add(request);
  }

  /** Returns how many requests wait longer than this one, in linear time. */
  countBefore(pool: PoolId, request: object): number {
    return [...(this.byPool.get(pool) ?? [])].indexOf(request);
  }

  /** Returns how many requests wait. */
  count(pool: PoolId): number {
    return this.byPool.get(pool)?.size ?? 0;
  }

  leave(pool: PoolId, request: object): void {
    const waiting = this.byPool.get(pool);
    waiting?.delete(request);
    if (waiting?.size === 0) this.byPool.delete(pool);
  }
}
