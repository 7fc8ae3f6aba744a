import type {PoolId} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';

import type {Pool} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {
  AttemptKind,
  PoolQueueOptions,
  PreviewedRequest,
  QueueMember,
  QueuePreview,
} from './poolQueue.js';
import {PoolQueue} from './poolQueue.js';

/**
 * Interval at which a pool with waiting requests is looked at, ms. It covers
 * slots that other processes have freed and request limits that allow more.
 */
const WAKE_INTERVAL_MS = 50;

const STOPPING_REASON = 'the process stops';

/**
 * The requests of this process that wait for a slot, by pool. They are woken when
 * an exchange of the pool ends, when the list of upstreams changes and by a timer.
 */
export class AdmissionQueue {
  /** One entry per pool that has had a request. */
  private readonly pools = new Map<PoolId, PoolQueue>();
  private readonly woken = new Set<PoolQueue>();
  private cancelTimer: (() => void) | null = null;
  private isStopping = false;

  constructor(private readonly options: PoolQueueOptions) {
    const {directory} = options;
    directory.onExchangeEnd(pool => this.wake(this.pools.get(pool)));
    directory.onChange(() => this.recheck());
  }

  /** Starts a request, lets it wait or refuses it. */
  join(pool: Pool, member: QueueMember): void {
    const queue = this.getQueue(pool);
    queue.join(member);
    if (queue.size === 0) return;
    if (this.isStopping) queue.refuseAll(STOPPING_REASON);
    else this.startTimer();
  }

  leave(pool: PoolId, member: QueueMember): void {
    this.pools.get(pool)?.leave(member);
  }

  hasWaiting(pool: PoolId): boolean {
    return this.count(pool) > 0;
  }

  /** Notes an attempt; returns a function that notes its end. */
  recordStart(
    pool: Pool,
    member: QueueMember,
    upstream: Upstream,
  ): (isServed: boolean) => void {
    return this.getQueue(pool).recordStart(member, upstream);
  }

  /** Whether a request may be sent to an upstream. */
  hasSlot(pool: Pool, upstream: Upstream, kind: AttemptKind): boolean {
    return this.getQueue(pool).hasSlot(upstream, kind);
  }

  /**
   * Looks at all waiting requests again, after a change of the upstreams, routes
   * or keys.
   */
  recheck(): void {
    for (const queue of this.pools.values()) {
      if (queue.size === 0) continue;
      queue.recheck();
      this.wake(queue);
    }
  }

  /**
   * Refuses all waiting requests. Requests that come later start at once or are
   * refused, so that their callers can go to another process.
   */
  stop(): void {
    this.isStopping = true;
    this.cancelTimer?.();
    this.cancelTimer = null;
    for (const queue of this.pools.values()) queue.refuseAll(STOPPING_REASON);
  }

  /** Returns how many requests wait for a pool. */
  count(pool: PoolId): number {
    return this.pools.get(pool)?.size ?? 0;
  }

  /** Returns what would become of a request that joined; changes nothing. */
  preview(pool: Pool, request: PreviewedRequest): QueuePreview {
    const preview = this.peek(pool).preview(request);
    if (!this.isStopping) return preview;
    const retryAfterMs = MIN_RETRY_AFTER_MS;
    return {...preview, refusal: {reason: STOPPING_REASON, retryAfterMs}};
  }

  /** Returns the same as `hasSlot`; changes nothing. */
  wouldHaveSlot(pool: Pool, upstream: Upstream, kind: AttemptKind): boolean {
    return this.peek(pool).hasSlot(upstream, kind);
  }

  /** Returns the queue of a pool, or one that it would begin with. */
  private peek(pool: Pool): PoolQueue {
    return this.pools.get(pool.id) ?? new PoolQueue(pool, this.options);
  }

  private getQueue(pool: Pool): PoolQueue {
    let queue = this.pools.get(pool.id);
    if (!queue) {
      const created = new PoolQueue(pool, this.options);
      queue = created;
      this.pools.set(pool.id, created);
      const labels = {pool: pool.id};
      const {metrics} = this.options;
      metrics.gauge('vc_queue_length', () => created.size, labels);
    }
    queue.pool = pool;
    return queue;
  }

  /**
   * Starts waiting requests once the present event has been handled: the end of
   * an exchange is reported before its response is used.
   */
  private wake(queue: PoolQueue | undefined): void {
    if (!queue || queue.size === 0 || this.woken.has(queue)) return;
    this.woken.add(queue);
    queueMicrotask(() => {
      this.woken.delete(queue);
      queue.dispatch();
    });
  }

  private startTimer(): void {
    if (this.cancelTimer) return;
    const {clock} = this.options;
    const at = getDeadline(clock.now(), WAKE_INTERVAL_MS);
    this.cancelTimer = clock.callAt(at, () => {
      this.cancelTimer = null;
      this.recheck();
      const isWaiting = [...this.pools.values()].some(({size}) => size > 0);
      if (isWaiting) this.startTimer();
    });
  }
}
