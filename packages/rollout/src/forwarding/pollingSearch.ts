import {decideCapacityWait} from '@vanillacross/domain';

import type {Upstream} from '../upstreams/index.js';
import type {PlaceSearch, PlaceSeeker} from './placeSearch.js';
import {chooseForRequest, getPlaceAt} from './upstreamForRequest.js';

/** Looks for an upstream at short intervals, in no order among requests. */
export class PollingSearch implements PlaceSearch {
  private cancelTimer: () => void = () => undefined;

  constructor(private readonly seeker: PlaceSeeker) {}

  find(): void {
    const {context, request, tried} = this.seeker;
    const usable = context.directory.getUsable(request.pool.id);
    const upstream = chooseForRequest(context, request, usable, tried);
    if (!upstream) return this.waitForCapacity(usable);
    this.seeker.send(upstream);
  }

  recordStart(): () => void {
    this.leave();
    return () => undefined;
  }

  mayHedge(): boolean {
    return true;
  }

  stop(): void {
    this.leave();
    this.cancelTimer();
  }

  private leave(): void {
    const {context, request} = this.seeker;
    context.waiting.leave(request.pool.id, this);
  }

  private waitForCapacity(usable: readonly Upstream[]): void {
    const {seeker} = this;
    if (!seeker.mayWait()) return;
    const {context, request, startedAt} = seeker;
    const {waiting, clock} = context;
    const pool = request.pool.id;
    waiting.join(pool, this);
    const countBefore = () => waiting.countBefore(pool, this);
    const decision = decideCapacityWait({
      now: clock.now(),
      arrivedAt: startedAt,
      deadline: request.deadline,
      upstreamCount: usable.length,
      placeAt: getPlaceAt(usable, countBefore, clock.now()),
    });
    if (decision.tag === 'refuse') {
      const reason = this.getNoPlaceReason(usable);
      return seeker.refuse(reason, decision.retryAfterMs);
    }
    this.cancelTimer();
    this.cancelTimer = clock.callAt(decision.until, () => {
      if (seeker.hasOpenAttempt()) return;
      seeker.tried.clear();
      seeker.sendNext();
    });
  }

  private getNoPlaceReason(usable: readonly Upstream[]): string {
    const isLimited =
      usable.length > 0 && usable.every(({notices}) => notices.limit !== null);
    return isLimited ? 'over the request limits' : this.seeker.getLastReason();
  }
}
