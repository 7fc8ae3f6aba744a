import {LEASE_MARGIN_MS, LEASE_MS} from './constants.js';
import type {Order, OrderOutcome} from './messages.js';

/** Orders whose outcome an agent remembers. */
const MAX_OUTCOMES = 256;

/** What an agent knows for accepting orders; immutable. */
export interface OrderFence {
  agentEpoch: string;
  /** Earliest time for the first order on the agent's clock, ms. */
  readyAt: number;
  /** Highest fencing number of an accepted order; -1 before the first. */
  highestAccepted: number;
  /** Outcomes of finished orders by id, oldest first. */
  outcomes: ReadonlyMap<string, OrderOutcome>;
}

/** A fence of an agent that starts now. */
export function createOrderFence(
  agentEpoch: string,
  nowMs: number,
): OrderFence {
  return {
    agentEpoch,
    // Orders that the agent's predecessor accepted have expired by then.
    readyAt: nowMs + LEASE_MS + LEASE_MARGIN_MS,
    highestAccepted: -1,
    outcomes: new Map(),
  };
}

/** Highest fencing number from orders and from entries. */
export function getHighestKnownFencing(
  fence: OrderFence,
  heard: number,
): number {
  return Math.max(fence.highestAccepted, heard);
}

export type OrderDecision =
  {tag: 'accept'} | {tag: 'answer'; outcome: OrderOutcome};

/**
 * Decides on an order. `heard` is the highest fencing number that an entry
 * named, null before the first.
 */
export function decideOrder(
  fence: OrderFence,
  order: Order,
  heard: number | null,
  nowMs: number,
): OrderDecision {
  const stored = fence.outcomes.get(order.orderId);
  if (stored) return {tag: 'answer', outcome: stored};
  const highestFencing = getHighestKnownFencing(fence, heard ?? -1);
  const refuse = (
    reason: (OrderOutcome & {tag: 'refused'})['reason'],
  ): OrderDecision => ({
    tag: 'answer',
    outcome: {tag: 'refused', reason, highestFencing},
  });
  if (order.agentEpoch !== fence.agentEpoch) return refuse('other_epoch');
  if (heard === null || nowMs < fence.readyAt) return refuse('not_ready');
  if (order.fencing < highestFencing) return refuse('stale_fencing');
  if (nowMs >= order.validUntilAgentMs) return refuse('expired');
  return {tag: 'accept'};
}

/**
 * Decides on a step of a rollout that the log declared. It does not wait for
 * the predecessor's orders to expire, because a version never goes back: the
 * outcome is the same in whichever order the two take effect.
 */
export function decideRolloutStep(
  fence: OrderFence,
  order: Order,
  heard: number | null,
): OrderDecision {
  const stored = fence.outcomes.get(order.orderId);
  if (stored) return {tag: 'answer', outcome: stored};
  const highestFencing = getHighestKnownFencing(fence, heard ?? -1);
  const refuse = (reason: 'not_ready' | 'stale_fencing'): OrderDecision => ({
    tag: 'answer',
    outcome: {tag: 'refused', reason, highestFencing},
  });
  if (heard === null) return refuse('not_ready');
  if (order.fencing < highestFencing) return refuse('stale_fencing');
  return {tag: 'accept'};
}

/** Raises the fence to an order that is about to be executed. */
export function withAcceptedOrder(fence: OrderFence, order: Order): OrderFence {
  return {
    ...fence,
    highestAccepted: Math.max(fence.highestAccepted, order.fencing),
  };
}

/** Stores the outcome of an executed order for repeats of its id. */
export function withOrderOutcome(
  fence: OrderFence,
  orderId: string,
  outcome: OrderOutcome,
): OrderFence {
  const outcomes = new Map(fence.outcomes).set(orderId, outcome);
  for (const oldest of outcomes.keys()) {
    if (outcomes.size <= MAX_OUTCOMES) break;
    outcomes.delete(oldest);
  }
  return {...fence, outcomes};
}
