import type {MonotonicMs} from '@vanillacross/common';
import type {
  OrderedRequest,
  ServiceRate,
  WaitPlace,
  WaitRefusal,
} from '@vanillacross/domain';
import {
  decideQueueWait,
  getReturnTime,
  getStartIntervalMs,
} from '@vanillacross/domain';

import type {Upstream} from '../upstreams/index.js';
import {getPlaceAt} from './upstreamForRequest.js';

/**
 * Result of an attempt to start a waiting request. It `left` the queue, or there
 * is `no_room` for any request of its kind, or there may be room only at
 * upstreams that it has just tried.
 */
export type StartResult = 'left' | 'no_room' | 'excluded';

/** A request that waits for a slot. */
export interface QueueMember extends OrderedRequest {
  id: string;
  /** Whether it is a scoring call. */
  isBackground: boolean;
  /** Starts it if there is room. */
  tryStart(): StartResult;
  /** Returns why it must not wait any longer, or null. */
  getEndReason(): string | null;
  /** Ends it without running it, now or later. */
  refuse(reason: string, retryAfterMs: number): void;
}

/** A request whose place is asked for without its joining the queue. */
export type PreviewedRequest = OrderedRequest &
  Pick<QueueMember, 'isBackground'>;

/** What a request would meet in the queue. */
export interface QueuePreview {
  /** Number of requests that would get slots before it. */
  before: number;
  /** Null if it would start or wait. */
  refusal: {reason: string; retryAfterMs: number} | null;
}

/** The waiting requests of one kind, and how fast they get slots. */
export interface Lane {
  isBackground: boolean;
  /** When each request began to wait. */
  members: Map<QueueMember, MonotonicMs>;
  rate: ServiceRate;
  /** When the caller refused last is to return. */
  lastReturnAt: number;
}

/** Where a member stands. */
export interface MemberPlace {
  member: QueueMember;
  before: number;
  /** Null if it may wait. */
  refusal: {cause: WaitRefusal; reason: string; returnAt: number} | null;
}

const refusalTexts: Readonly<Record<WaitRefusal, string>> = {
  no_upstream: 'no upstream is listed',
  deadline: 'the expected wait exceeds the time left',
  full: 'too many requests wait',
};

interface PlaceInput {
  lane: Lane;
  /** The members in the order in which they get slots. */
  ordered: readonly QueueMember[];
  /** The member that has just begun to wait, if any. */
  entering: QueueMember | null;
  /** Slots of the pool for this lane. */
  slots: number;
  usable: readonly Upstream[];
  now: MonotonicMs;
}

/**
 * Returns the places of the members of a lane in their order, and which of them
 * are to be refused; changes nothing.
 */
export function getPlaces({
  lane,
  ordered,
  entering,
  slots,
  usable,
  now,
}: PlaceInput): MemberPlace[] {
  const intervalMs = getStartIntervalMs(lane.rate, slots);
  const hasLimits = getPlaceAt(usable, () => 0, now) !== null;
  const getPlace = (member: QueueMember, before: number): WaitPlace => ({
    now,
    deadline: member.deadline,
    isWaiting: member !== entering,
    before,
    intervalMs,
    serviceMs: lane.rate.serviceMs,
    permitAt: hasLimits
      ? (getPlaceAt(usable, () => before, now) as MonotonicMs)
      : null,
  });
  let before = 0;
  let left = ordered.length;
  let {lastReturnAt} = lane;
  return ordered.map(member => {
    const decision = decideQueueWait(getPlace(member, before));
    if (decision.tag === 'wait') {
      return {member, before: before++, refusal: null};
    }
    const {reason: cause} = decision;
    left--;
    lastReturnAt = getReturnTime(getPlace(member, left), lastReturnAt);
    const isLimited = hasLimits && cause === 'deadline';
    const reason = isLimited ? 'over the request limits' : refusalTexts[cause];
    return {member, before, refusal: {cause, reason, returnAt: lastReturnAt}};
  });
}
