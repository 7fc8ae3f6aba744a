import type {AccountId, Clock, Logger, Metrics} from '@vanillacross/common';
import type {MonotonicMs} from '@vanillacross/common';
import type {AccountWork, SendWindow, WaitRefusal} from '@vanillacross/domain';
import {
  MIN_RETRY_AFTER_MS,
  addPeak,
  addServiceTime,
  adaptSendWindow,
  addStart,
  advanceRate,
  createSendWindow,
  createServiceRate,
  emptyPeakWindow,
  endWork,
  getBackgroundSlots,
  getPeak,
  getWorkMs,
  noWork,
  orderCallers,
  orderScoringCalls,
  startWork,
} from '@vanillacross/domain';

import type {Pool} from '../model/index.js';
import type {Upstream, UpstreamDirectory} from '../upstreams/index.js';
import type {
  Lane,
  MemberPlace,
  PreviewedRequest,
  QueueMember,
  QueuePreview,
} from './queuePlaces.js';
import {getPlaces} from './queuePlaces.js';

export type {
  PreviewedRequest,
  QueueMember,
  QueuePreview,
  StartResult,
} from './queuePlaces.js';

/** Number of accounts without running attempts above which they are dropped. */
const MAX_ACCOUNTS = 1_000;

export interface PoolQueueOptions {
  directory: UpstreamDirectory;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * What an attempt is for. A `hedge` is sent beside an open attempt and is useful
 * only if it runs at once.
 */
export type AttemptKind = 'caller' | 'scoring' | 'hedge';

const slotRules: Readonly<
  Record<AttemptKind, (queue: PoolQueue, upstream: Upstream) => boolean>
> = {
  caller: (queue, upstream) => queue.hasCallerRoom(upstream),
  scoring: (queue, upstream) => queue.hasScoringSlot(upstream),
  hedge: (queue, upstream) =>
    queue.hasCallerRoom(upstream) &&
    upstream.getOccupancy() < upstream.entry.slots,
};

/** The waiting requests of one pool and the demand of its callers. */
export class PoolQueue {
  private readonly callers: Lane;
  private readonly scoring: Lane;
  private readonly work = new Map<AccountId | null, AccountWork>();
  private readonly callersInFlight = new Map<Upstream, number>();
  private callerPeak = emptyPeakWindow;
  private readonly windows = new WeakMap<Upstream, SendWindow>();

  constructor(
    public pool: Pool,
    private readonly options: PoolQueueOptions,
  ) {
    this.callers = this.createLane(false);
    this.scoring = this.createLane(true);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.callers.members.size + this.scoring.members.size;
  }

  /** Starts a request, lets it wait or refuses it. */
  join(member: QueueMember): void {
    const lane = this.getLane(member);
    this.advance(lane);
    lane.members.set(member, this.now);
    this.dispatch();
    if (lane.members.has(member)) this.refuseLate(lane, member);
  }

  leave(member: QueueMember): void {
    const lane = this.getLane(member);
    if (!lane.members.has(member)) return;
    this.advance(lane);
    lane.members.delete(member);
  }

  /** Starts waiting requests, in order, while there is room. */
  dispatch(): void {
    for (const lane of [this.callers, this.scoring]) {
      for (const member of this.getOrder(lane)) {
        if (!lane.members.has(member)) continue;
        if (member.tryStart() === 'no_room') break;
      }
    }
  }

  /** Refuses the requests that must not wait or can't be answered in time. */
  recheck(): void {
    for (const lane of [this.callers, this.scoring]) {
      for (const member of [...lane.members.keys()]) {
        const reason = member.getEndReason();
        if (reason === null) continue;
        this.refuse(lane, member, 'withdrawn', reason, MIN_RETRY_AFTER_MS);
      }
      this.refuseLate(lane);
    }
  }

  /** Refuses all waiting requests. */
  refuseAll(reason: string): void {
    for (const lane of [this.callers, this.scoring]) {
      for (const member of [...lane.members.keys()]) {
        this.refuse(lane, member, 'stopping', reason, MIN_RETRY_AFTER_MS);
      }
    }
  }

  /** Notes an attempt; returns a function that notes its end. */
  recordStart(
    member: QueueMember,
    upstream: Upstream,
  ): (isServed: boolean) => void {
    const lane = this.getLane(member);
    this.recordLeaving(lane, member);
    const startedAt = this.now;
    const {account, isBackground} = member;
    if (!isBackground) this.addCaller(account, upstream);
    let hasEnded = false;
    return isServed => {
      if (hasEnded) return;
      hasEnded = true;
      if (!isBackground) this.endCaller(account, upstream, startedAt);
      if (!isServed) return;
      lane.rate = addServiceTime(lane.rate, this.now - startedAt);
      if (!isBackground) this.adaptWindow(upstream, startedAt);
    };
  }

  /** Whether a request may be sent to an upstream. */
  hasSlot(upstream: Upstream, kind: AttemptKind): boolean {
    return slotRules[kind](this, upstream);
  }

  /** Whether callers may have another request at an upstream. */
  hasCallerRoom(upstream: Upstream): boolean {
    // An engine's slots are held by samples for long, and it takes calls beside
    // them; holding callers back until a sample ends would only delay them.
    if (this.pool.models.length > 0) return true;
    const count = this.callersInFlight.get(upstream) ?? 0;
    return count < Math.floor(this.getWindow(upstream).size);
  }

  /** Whether scoring calls may have another slot of an upstream. */
  hasScoringSlot(upstream: Upstream): boolean {
    return upstream.getOccupancy() < this.getSlots(upstream, true);
  }

  private get now(): MonotonicMs {
    return this.options.clock.now();
  }

  private createLane(isBackground: boolean): Lane {
    const rate = createServiceRate(this.now);
    return {isBackground, members: new Map(), rate, lastReturnAt: 0};
  }

  private getLane({isBackground}: QueueMember): Lane {
    return isBackground ? this.scoring : this.callers;
  }

  private getOrder({isBackground, members, rate}: Lane): QueueMember[] {
    if (isBackground) return orderScoringCalls(members.keys());
    const {now} = this;
    const getAccountWork = (account: AccountId | null) =>
      getWorkMs(this.work.get(account) ?? noWork, rate.serviceMs, now);
    return orderCallers(members.keys(), getAccountWork, rate.serviceMs);
  }

  private getSlots({entry}: Upstream, isBackground: boolean): number {
    const slots = Math.max(1, entry.slots);
    if (!isBackground) return slots;
    return getBackgroundSlots(slots, getPeak(this.callerPeak, this.now));
  }

  private getUsable(): Upstream[] {
    return this.options.directory.getUsable(this.pool.id);
  }

  private getLaneSlots({isBackground}: Lane): number {
    return this.getUsable().reduce(
      (sum, upstream) => sum + this.getSlots(upstream, isBackground),
      0,
    );
  }

  /** Advances the measured rate to the present. */
  private advance(lane: Lane): void {
    const slots = lane.members.size > 0 ? this.getLaneSlots(lane) : 0;
    lane.rate = advanceRate(lane.rate, slots, this.now);
  }

  private recordLeaving(lane: Lane, member: QueueMember): void {
    const since = lane.members.get(member);
    if (since === undefined) return;
    const waitedMs = this.now - since;
    this.options.metrics.observe('vc_queue_ms', waitedMs);
    // A request that starts at once tells nothing about the rate at which
    // waiting requests start.
    const isContended = waitedMs > 0 || lane.members.size > 1;
    this.leave(member);
    if (isContended) lane.rate = addStart(lane.rate);
  }

  private refuseLate(lane: Lane, entering: QueueMember | null = null): void {
    if (lane.members.size === 0) return;
    this.advance(lane);
    for (const {member, refusal} of this.getPlaces(lane, entering)) {
      if (!refusal) continue;
      const {cause, reason, returnAt} = refusal;
      lane.lastReturnAt = returnAt;
      const retryAfterMs = Math.round(returnAt - this.now);
      this.refuse(lane, member, cause, reason, retryAfterMs);
    }
  }

  private getPlaces(lane: Lane, entering: QueueMember | null): MemberPlace[] {
    return getPlaces({
      lane,
      ordered: this.getOrder(lane),
      entering,
      slots: this.getLaneSlots(lane),
      usable: this.getUsable(),
      now: this.now,
    });
  }

  /** Returns what would become of a request that joined; changes nothing. */
  preview(request: PreviewedRequest): QueuePreview {
    const member: QueueMember = {
      ...request,
      id: '',
      tryStart: () => 'left',
      getEndReason: () => null,
      refuse: () => undefined,
    };
    const lane = this.getLane(member);
    const slots = lane.members.size > 0 ? this.getLaneSlots(lane) : 0;
    const places = this.getPlaces(
      {
        ...lane,
        rate: advanceRate(lane.rate, slots, this.now),
        members: new Map([...lane.members, [member, this.now]]),
      },
      member,
    );
    const place = places.find(other => other.member === member);
    const refusal = place?.refusal ?? null;
    return {
      before: place?.before ?? 0,
      refusal: refusal && {
        reason: refusal.reason,
        retryAfterMs: Math.round(refusal.returnAt - this.now),
      },
    };
  }

  private refuse(
    lane: Lane,
    member: QueueMember,
    cause: WaitRefusal | 'withdrawn' | 'stopping',
    reason: string,
    retryAfterMs: number,
  ): void {
    const since = lane.members.get(member);
    if (since === undefined) return;
    const {id: pool} = this.pool;
    const {logger, metrics} = this.options;
    this.leave(member);
    metrics.count('vc_queue_refusals', {pool, reason: cause});
    logger.info('waiting request refused', {
      request: member.id,
      pool,
      reason,
      isBackground: member.isBackground,
      waitedMs: Math.round(this.now - since),
      waiting: lane.members.size,
      retryAfterMs,
    });
    member.refuse(reason, retryAfterMs);
  }

  private getWindow(upstream: Upstream): SendWindow {
    const slots = Math.max(1, upstream.entry.slots);
    return this.windows.get(upstream) ?? createSendWindow(slots);
  }

  private adaptWindow(upstream: Upstream, startedAt: MonotonicMs): void {
    const feedback = {
      slots: Math.max(1, upstream.entry.slots),
      waiting: upstream.getWaitingCount(),
      startedAt,
      now: this.now,
    };
    const window = adaptSendWindow(this.getWindow(upstream), feedback);
    this.windows.set(upstream, window);
  }

  private addCaller(account: AccountId | null, upstream: Upstream): void {
    const work = this.work.get(account) ?? noWork;
    this.work.set(account, startWork(work, this.now));
    const count = (this.callersInFlight.get(upstream) ?? 0) + 1;
    this.callersInFlight.set(upstream, count);
    this.callerPeak = addPeak(this.callerPeak, count, this.now);
  }

  private endCaller(
    account: AccountId | null,
    upstream: Upstream,
    startedAt: MonotonicMs,
  ): void {
    const work = this.work.get(account) ?? noWork;
    this.work.set(account, endWork(work, startedAt, this.now));
    if (this.work.size > MAX_ACCOUNTS) this.dropIdleAccounts();
    const count = this.callersInFlight.get(upstream) ?? 1;
    this.callerPeak = addPeak(this.callerPeak, count, this.now);
    if (count > 1) this.callersInFlight.set(upstream, count - 1);
    else this.callersInFlight.delete(upstream);
  }

  private dropIdleAccounts(): void {
    for (const [account, {running}] of this.work) {
      if (running === 0) this.work.delete(account);
    }
  }
}
