import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LEASE_MARGIN_MS, LEASE_MS} from './constants.js';
import type {OrderFence} from './orderFencing.js';
import {
  createOrderFence,
  decideOrder,
  withAcceptedOrder,
  withOrderOutcome,
} from './orderFencing.js';
import type {Order} from './messages.js';

const READY_MS = LEASE_MS + LEASE_MARGIN_MS;
const order: Order = {
  orderId: 'o1',
  fencing: 7,
  agentEpoch: 'a1',
  validUntilAgentMs: READY_MS + 5_000,
  action: {type: 'activate', model: 'm', version: 2},
};
const fence = createOrderFence('a1', 0);

function decide(
  changed: Partial<Order>,
  seenFencing: number | null = 7,
  nowMs = READY_MS,
  from: OrderFence = fence,
): string {
  const decision = decideOrder(
    from,
    {...order, ...changed},
    seenFencing,
    nowMs,
  );
  if (decision.tag === 'accept') return 'accept';
  const {outcome} = decision;
  return outcome.tag === 'refused' ? outcome.reason : outcome.tag;
}

describe('fencing of orders', () => {
  it('accepts only orders of the current controller', () => {
    // Guards against orders of two controllers that both consider themselves
    // the leader, before and after a restart of the agent.
    const newer = withAcceptedOrder(fence, {...order, fencing: 9});
    const cases: Array<[string, string, string]> = [
      ['current token', decide({}), 'accept'],
      ['token newer than the reported one', decide({fencing: 8}), 'accept'],
      ['token older than the reported one', decide({}, 8), 'stale_fencing'],
      [
        'token older than that of an accepted order',
        decide({}, 7, READY_MS, newer),
        'stale_fencing',
      ],
      ['expired', decide({}, 7, READY_MS + 5_000), 'expired'],
      [
        'addressed to an earlier process',
        decide({agentEpoch: 'a0'}),
        'other_epoch',
      ],
      ['agent that has just started', decide({}, 7, READY_MS - 1), 'not_ready'],
      ['no token reported yet', decide({}, null), 'not_ready'],
    ];
    for (const [name, actual, expected] of cases) {
      assert.equal(actual, expected, name);
    }
  });

  it('returns the stored outcome for a known order id', () => {
    // Guards against executing an order twice after the first response was
    // lost.
    const done = withOrderOutcome(fence, 'o1', {tag: 'done'});
    assert.equal(decide({}, 9, READY_MS + 9_000, done), 'done');
  });

  it('keeps a limited number of the newest outcomes', () => {
    // Guards against memory that grows with the number of orders.
    let many = fence;
    for (let i = 0; i < 1_000; i++) {
      many = withOrderOutcome(many, `o${i}`, {tag: 'done'});
    }
    assert.equal(many.outcomes.size, 256);
    assert.ok(many.outcomes.has('o999'));
  });
});
