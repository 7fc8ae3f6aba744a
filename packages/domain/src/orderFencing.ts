import {LEASE_MARGIN_MS, LEASE_MS} from './constants.js';
import type {Order, OrderOutcome} from './messages.js';

/** Number of order outcomes that an agent keeps. */
const MAX_OUTCOMES = 256;

/** State from which an agent decides whether to accept an order; immutable. */
export interface OrderFence {
  agentEpoch: string;
  /** Earliest time at which an order is accepted, on the agent's clock, ms. */
  readyAt: number;
  /** Highest fencing token of an accepted order; -1 if none. */
  highestAccepted: number;
  /** Outcomes of finished orders by order id, oldest first. */
  outcomes: ReadonlyMap<string, OrderOutcome>;
}

/** Creates the state of an agent that starts now. */
export function createOrderFence(
  agentEpoch: string,
  nowMs: number,
): OrderFence {
  return {
    agentEpoch,
    // Orders accepted by the agent's previous process have expired by then.
    readyAt: nowMs + LEASE_MS + LEASE_MARGIN_MS,
    highestAccepted: -1,
    outcomes: new Map(),
  };
}

/**
 * Returns the highest fencing token known from accepted orders and from
 * entries.
 */
export function getHighestKnownFencing(
  fence: OrderFence,
  seenFencing: number,
): number {
  return Math.max(fence.highestAccepted, seenFencing);
}

export type OrderDecision =
  {tag: 'accept'} | {tag: 'answer'; outcome: OrderOutcome};

/**
 * Decides whether to accept an order.
 * @param seenFencing Highest fencing token received from an entry; null until
 * one has been received.
 */
export function decideOrder(
  fence: OrderFence,
  order: Order,
  seenFencing: number | null,
  nowMs: number,
): OrderDecision {
  const stored = fence.outcomes.get(order.orderId);
  if (stored) return {tag: 'answer', outcome: stored};
  const highestFencing = getHighestKnownFencing(fence, seenFencing ?? -1);
  const refuse = (
    reason: (OrderOutcome & {tag: 'refused'})['reason'],
  ): OrderDecision => ({
    tag: 'answer',
    outcome: {tag: 'refused', reason, highestFencing},
  });
  if (order.agentEpoch !== fence.agentEpoch) return refuse('other_epoch');
  if (seenFencing === null || nowMs < fence.readyAt) return refuse('not_ready');
  if (order.fencing < highestFencing) return refuse('stale_fencing');
  if (nowMs >= order.validUntilAgentMs) return refuse('expired');
  return {tag: 'accept'};
}

/**
 * Decides whether to execute a rollout step that the log contains. Unlike an
 * order, a step need not wait until the orders of the previous process have
 * expired: versions never decrease, so the result does not depend on which of
 * the two takes effect first.
 */
export function decideRolloutStep(
  fence: OrderFence,
  order: Order,
  seenFencing: number | null,
): OrderDecision {
  const stored = fence.outcomes.get(order.orderId);
  if (stored) return {tag: 'answer', outcome: stored};
  const highestFencing = getHighestKnownFencing(fence, seenFencing ?? -1);
  const refuse = (reason: 'not_ready' | 'stale_fencing'): OrderDecision => ({
    tag: 'answer',
    outcome: {tag: 'refused', reason, highestFencing},
  });
  if (seenFencing === null) return refuse('not_ready');
  if (order.fencing < highestFencing) return refuse('stale_fencing');
  return {tag: 'accept'};
}

/** Records the fencing token of an order that is about to be executed. */
export function withAcceptedOrder(fence: OrderFence, order: Order): OrderFence {
  return {
    ...fence,
    highestAccepted: Math.max(fence.highestAccepted, order.fencing),
  };
}

/**
 * Stores the outcome of an executed order, to be returned if the order is sent
 * again.
 */
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
