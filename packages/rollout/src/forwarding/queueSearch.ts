import type {AccountId, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {Upstream} from '../upstreams/index.js';
import type {PlaceSearch, PlaceSeeker} from './placeSearch.js';
import type {AttemptKind, QueueMember, StartResult} from './poolQueue.js';
import {NOT_PERMITTED_REASON, chooseForRequest} from './upstreamForRequest.js';

/**
 * Time after a failed attempt until the same upstream is tried again, per failed
 * attempt, ms. With a fixed time, a full upstream would use up all attempts of a
 * request within a fraction of its deadline.
 */
const RETRY_INTERVAL_MS = 15;

/** Waits for an upstream in the order of the pool's admission queue. */
export class QueueSearch implements PlaceSearch, QueueMember {
  readonly account: AccountId | null;
  readonly priority: number;
  readonly unfinishedInGroup: number;
  readonly deadline: MonotonicMs;
  readonly isBackground: boolean;
  private searches = 0;
  private triedUntil = 0;

  constructor(private readonly seeker: PlaceSeeker) {
    const {request} = seeker;
    this.account = request.account;
    this.priority = request.queueOrder.priority;
    this.unfinishedInGroup = request.queueOrder.unfinishedInGroup;
    this.deadline = request.deadline;
    this.isBackground = request.isBackground;
  }

  get id(): string {
    return this.seeker.request.id;
  }

  find(): void {
    const {seeker} = this;
    if (seeker.hasOpenAttempt()) return this.sendBeside();
    if (!seeker.mayWait()) return;
    const {context, request, tried} = seeker;
    if (tried.size > 0) {
      const waitMs = RETRY_INTERVAL_MS * ++this.searches;
      this.triedUntil = getDeadline(context.clock.now(), waitMs);
    }
    context.queue.join(request.pool, this);
  }

  tryStart(): StartResult {
    const {seeker} = this;
    if (!seeker.mayContinue()) return 'left';
    const {tried, context} = seeker;
    if (context.clock.now() >= this.triedUntil) tried.clear();
    const upstream = this.choose(this.isBackground ? 'scoring' : 'caller');
    if (!upstream) return tried.size > 0 ? 'excluded' : 'no_room';
    seeker.send(upstream);
    return 'left';
  }

  getEndReason(): string | null {
    const {request} = this.seeker;
    if (!request.isPermitted()) return NOT_PERMITTED_REASON;
    return request.isRouted() ? null : 'the route has changed';
  }

  refuse(reason: string, retryAfterMs: number): void {
    this.seeker.refuse(reason, retryAfterMs);
  }

  recordStart(upstream: Upstream): (isServed: boolean) => void {
    const {context, request} = this.seeker;
    return context.queue.recordStart(request.pool, this, upstream);
  }

  mayHedge(): boolean {
    const {context, request} = this.seeker;
    if (context.queue.hasWaiting(request.pool.id)) return false;
    return this.choose(this.hedgeKind) !== null;
  }

  stop(): void {
    const {context, request} = this.seeker;
    context.queue.leave(request.pool.id, this);
  }

  /** Sends another attempt beside an open one unless a request waits. */
  private sendBeside(): void {
    const {context, request} = this.seeker;
    if (context.queue.hasWaiting(request.pool.id)) return;
    const upstream = this.choose(this.hedgeKind);
    if (upstream) this.seeker.send(upstream);
  }

  private get hedgeKind(): AttemptKind {
    return this.isBackground ? 'scoring' : 'hedge';
  }

  private choose(kind: AttemptKind): Upstream | null {
    const {context, request, tried} = this.seeker;
    const {pool} = request;
    const usable = context.directory.getUsable(pool.id);
    return chooseForRequest(context, request, usable, tried, {
      hasSlot: upstream => context.queue.hasSlot(pool, upstream, kind),
    });
  }
}
