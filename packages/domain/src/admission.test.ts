import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import type {AdmissionItem} from './admission.js';
import {FairAdmissionQueue, MAX_QUEUED_PER_ACCOUNT} from './admission.js';

const SEED = 20_261_204;

function createItem(changes: Partial<AdmissionItem>): AdmissionItem {
  return {
    id: 'i',
    pool: 'p',
    account: 'a',
    weight: 1,
    maxConcurrent: 64,
    cost: 1,
    priority: 5,
    deadline: Infinity,
    ...changes,
  };
}

function offerMany(
  admission: FairAdmissionQueue,
  count: number,
  changes: Partial<AdmissionItem>,
): void {
  for (let i = 0; i < count; i++) {
    const id = `${changes.account}-${i}`;
    const offered = admission.offer(createItem({...changes, id}), 0);
    assert.ok(offered.ok);
  }
}

describe('admission', () => {
  it('serves backlogged accounts in proportion to their weights', () => {
    const accounts = fc.array(
      fc.record({
        weight: fc.integer({min: 1, max: 8}),
        cost: fc.integer({min: 1, max: 50}),
      }),
      {minLength: 2, maxLength: 6},
    );
    const property = fc.property(
      accounts,
      fc.integer({min: 1, max: 6}),
      (specs, capacity) => {
        const admission = new FairAdmissionQueue();
        const served = specs.map(() => 0);
        specs.forEach((spec, index) =>
          offerMany(admission, 500, {...spec, account: String(index)}),
        );
        for (let now = 1; now <= 200; now++) {
          const started = admission.start('p', capacity, now);
          assert.equal(
            started.length,
            capacity,
            'fewer requests started than there was capacity for',
          );
          for (const item of started) {
            served[Number(item.account)] += item.cost;
            admission.finish(item.id, now);
          }
          if (served.some((cost, i) => cost >= 450 * specs[i].cost)) break;
        }
        // Start-time fair queueing bounds the difference of normalized service
        // by one request of each account.
        specs.forEach((a, i) =>
          specs.forEach((b, j) => {
            const gap = served[i] / a.weight - served[j] / b.weight;
            const bound = a.cost / a.weight + b.cost / b.weight;
            assert.ok(
              gap <= bound + 1e-6,
              `difference ${gap} exceeds ${bound}`,
            );
          }),
        );
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 60});
  });

  it("starts a small account's request before the rest of a burst", () => {
    const admission = new FairAdmissionQueue();
    offerMany(admission, 300, {account: 'large'});
    admission.start('p', 10, 1);
    offerMany(admission, 1, {account: 'small'});
    const [next] = admission.start('p', 1, 2);
    assert.equal(next.account, 'small');
  });

  it('gives an account no extra service for the time in which it was idle', () => {
    const admission = new FairAdmissionQueue();
    offerMany(admission, 200, {account: 'a', maxConcurrent: 200});
    for (let i = 0; i < 100; i++) admission.start('p', 1, i);
    offerMany(admission, 100, {account: 'late', maxConcurrent: 200});
    const next = admission.start('p', 10, 100).map(item => item.account);
    const lateStarts = next.filter(account => account === 'late').length;
    assert.ok(lateStarts >= 4 && lateStarts <= 6, `${lateStarts} of 10`);
  });

  it("starts an account's requests in order of priority", () => {
    const admission = new FairAdmissionQueue();
    for (const priority of [1, 9, 5, 9]) {
      const id = `${priority}-${admission.getQueued('p')}`;
      admission.offer(createItem({id, priority}), 0);
    }
    const started = admission.start('p', 4, 1).map(item => item.id);
    assert.deepEqual(started, ['9-1', '9-3', '5-2', '1-0']);
  });

  it('keeps each account within its limit and uses the remaining capacity', () => {
    const admission = new FairAdmissionQueue();
    offerMany(admission, 10, {account: 'a', maxConcurrent: 2});
    offerMany(admission, 10, {account: 'b'});
    const started = admission.start('p', 12, 1);
    assert.equal(admission.getRunning('a'), 2);
    assert.equal(started.length, 12);
    admission.finish(started.find(item => item.account === 'a')!.id, 2);
    assert.equal(admission.start('p', 5, 2).length, 1);
  });

  it('refuses requests that cannot start before their deadline', () => {
    const admission = new FairAdmissionQueue();
    offerMany(admission, 100, {account: 'a'});
    // One start every 10 ms.
    for (let i = 1; i <= 20; i++) {
      const [item] = admission.start('p', 1, i * 10);
      admission.finish(item.id, i * 10);
    }
    const late = admission.offer(createItem({id: 'x', deadline: 500}), 200);
    assert.ok(!late.ok);
    assert.equal(late.error.tag, 'queue_deadline');
    assert.ok(late.error.retryAfterMs > 0);
    const small = createItem({id: 'y', account: 'b', deadline: 500});
    assert.ok(
      admission.offer(small, 200).ok,
      'a request of an account with an empty queue was refused',
    );
  });

  it('expires and cancels queued requests and bounds the queue', () => {
    const admission = new FairAdmissionQueue();
    const early = createItem({id: 'early', deadline: 10});
    const late = createItem({id: 'late'});
    admission.offer(early, 0);
    admission.offer(late, 0);
    assert.deepEqual(admission.expire(10), [early]);
    assert.equal(admission.cancel(late), true);
    assert.equal(admission.cancel(late), false);
    assert.deepEqual(admission.start('p', 5, 11), []);
    offerMany(admission, MAX_QUEUED_PER_ACCOUNT, {account: 'a'});
    const over = admission.offer(createItem({id: 'over'}), 11);
    assert.ok(!over.ok && over.error.tag === 'account_limit');
  });
});
