import {requestJson} from '@vanillacross/common';
import type {ReceivedOrder} from '@vanillacross/standins';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {callEntry} from './callers.js';
import type {Deployment, RunningEntry} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'caller-key';
const WINDOW_MS = 2_000;
/**
 * Time in which a resumed lease holder would send its pending orders and
 * reports, ms.
 */
const SETTLE_MS = 6_000;
const LEASE_TIMEOUT_MS = 90_000;

interface Lease {
  holder: string;
  fencing: number;
}

async function getLease(
  deployment: Deployment,
  entry: RunningEntry,
): Promise<Lease> {
  const response = await requestJson({
    method: 'GET',
    url: `${entry.url}/operator/v1/status`,
    headers: {authorization: `Bearer ${deployment.operatorToken}`},
    timeoutMs: 10_000,
  });
  assert.ok(response.ok, JSON.stringify(response));
  return (response.value.body as {lease: Lease}).lease;
}

/** Returns the orders of all failure domains, sorted by arrival. */
function getOrders({platform}: Deployment): ReceivedOrder[] {
  return Object.values(platform.ordering)
    .flatMap(ordering => ordering.getAudit())
    .sort((a, b) => a.atMs - b.atMs);
}

function assertOrdersFencedAndRunOnce(orders: readonly ReceivedOrder[]): void {
  let highest = -1;
  for (const order of orders) {
    assert.ok(
      order.fencing >= highest,
      `order ${order.orderId} has fencing number ${order.fencing}, but ${highest} was used before`,
    );
    highest = order.fencing;
  }
  const started = new Map<string, number>();
  for (const {orderId, result} of orders) {
    if (result !== 'executed') continue;
    started.set(orderId, (started.get(orderId) ?? 0) + 1);
  }
  assert.ok([...started.values()].every(count => count === 1));
}

function assertConsistentReports({platform}: Deployment): void {
  const usageByWindow = new Map<number, string>();
  for (const arrival of platform.reports.getAudit()) {
    assert.notEqual(
      arrival.result,
      'conflict',
      'two reports for a window differ',
    );
    const text = JSON.stringify(arrival.figures);
    assert.equal(usageByWindow.get(arrival.window) ?? text, text);
    usageByWindow.set(arrival.window, text);
  }
}

describe('a paused lease holder', {timeout: 240_000}, () => {
  let deployment: Deployment | null = null;
  afterEach(async () => {
    await deployment?.stop();
    deployment = null;
  });

  const start = async (orderingChecksFencing: boolean) => {
    deployment = await startDeployment({
      domains: ['domain-a', 'domain-b', 'domain-c'],
      entries: 3,
      orderingChecksFencing,
      controller: {scaling: true},
      pools: [
        {
          id: 'desk',
          body: {kind: 'plain', minUpstreams: 1, maxUpstreams: 8},
          upstreams: 1,
        },
      ],
      records: [
        ...createAccountRecords('club', KEY),
        createRecord('route', 'seats', {
          pathPrefix: '/seats',
          pool: 'desk',
          access: ['club'],
          repeat: 'idempotent',
        }),
        createRecord('reporting', 'default', {windowMs: WINDOW_MS}),
      ],
    });
    return deployment;
  };

  const setMinUpstreams = (
    running: Deployment,
    entry: RunningEntry,
    minUpstreams: number,
    baseRevision: number,
  ) =>
    running.publish(
      [
        {
          key: 'pool/desk',
          body: {kind: 'plain', minUpstreams, maxUpstreams: 8},
          baseRevision,
        },
      ],
      entry,
    );

  for (const isChecking of [false, true]) {
    const verb = isChecking ? 'checks' : 'ignores';
    // Guards against a lease holder that is paused, loses its lease to a
    // successor and still acts once it is resumed (requirements R7 and R8).
    it(`sends no order and no conflicting report after its successor has acted (platform ${verb} fencing numbers)`, async () => {
      const running = await start(isChecking);
      const {entries} = running;
      await waitUntil(
        'the lease holder sends a report',
        () => running.platform.reports.getReports().size > 0,
        LEASE_TIMEOUT_MS,
      );
      const before = await getLease(running, entries[0]);
      const holder = entries.find(({id}) => id === before.holder);
      const others = entries.filter(({id}) => id !== before.holder);
      assert.ok(holder);

      let isRunning = true;
      const callers = (async () => {
        for (let i = 0; isRunning; i++) {
          const id = `seat-${i}`;
          const path = `/seats/${id}`;
          await callEntry({baseUrl: others[0].url, id, path, apiKey: KEY});
          await sleep(20);
        }
      })();
      // Raises the minimum, so that the holder has pending orders when it is
      // paused.
      await setMinUpstreams(running, others[0], 3, 1);
      await waitUntil(
        'the lease holder sends an order',
        () => getOrders(running).length > 0,
        LEASE_TIMEOUT_MS,
      );
      holder.process.pause();
      await setMinUpstreams(running, others[0], 6, 2);
      await waitUntil(
        'a successor sends an order',
        () => getOrders(running).some(o => o.fencing > before.fencing),
        LEASE_TIMEOUT_MS,
      );
      holder.process.resume();
      await sleep(SETTLE_MS);
      isRunning = false;
      await callers;

      assertOrdersFencedAndRunOnce(getOrders(running));
      assertConsistentReports(running);
      const after = await getLease(running, holder);
      assert.ok(after.fencing > before.fencing);
      assert.notEqual(after.holder, holder.id);
    });
  }
});
