import {
  ManualClock,
  closeServer,
  createRpcHandler,
  listen,
  parseAddress,
  systemClock,
} from '@vanillacross/common';
import type {AgentView, Instance} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import * as http from 'node:http';
import {describe, it} from 'node:test';

import {createAgentLink} from './agentLink.js';
import {createControlFollower} from './controlFollower.js';
import {createInstanceDirectory} from './instanceDirectory.js';
import {createMembership} from './membership.js';
import {
  FakeInstanceList,
  FakeLog,
  FakeNetwork,
  advance,
  createAgentInstance,
  createEntryInstance,
  createTestContext,
} from './controlFakes.test.js';

/**
 * Timeout of a wait, ms; long enough for a loaded machine.
 */
const DEADLINE_MS = 20_000;

describe('agent link over RPC', () => {
  it('delivers changes and the leaving state during a long poll', async () => {
    const log = new FakeLog();
    const putPool = (baseRevision: number, maxConcurrent: number) =>
      log.addRecord({
        type: 'put',
        key: 'pool/p',
        baseRevision,
        schemaVersion: 1,
        body: {kind: 'engine', maxConcurrent},
        operator: 'o',
      });
    putPool(0, 1);
    const self: Instance = createEntryInstance('e1');
    const entry = {...createTestContext(self), clock: systemClock};
    const control = createControlFollower(entry, log);
    const list = new FakeInstanceList();
    const membership = createMembership(entry, control, list, {seeds: []});
    const handle = createRpcHandler('cluster', membership.rpcMethods);
    const server = http.createServer(
      (request, response) => void handle(request, response),
    );
    const address = parseAddress('127.0.0.1:0');
    assert.ok(address);
    self.peerAddress = await listen(server, address);
    await control.start();
    await membership.start();

    const instance = createAgentInstance('u1');
    const agent = {...createTestContext(instance), clock: systemClock};
    const load = {running: 0, limit: 1, waiting: 0, epoch: '', version: 0};
    const link = createAgentLink(agent, {
      getEntries: () => [self],
      getReport: () => ({load: {...load, cold: false}, cells: [], crashes: []}),
      onReportDelivered: () => {},
      instance,
    });
    const waitForLimit = (limit: number) =>
      new Promise<void>((resolve, reject) => {
        const timer = setTimeout(
          () => reject(new Error(`no view with limit ${limit}`)),
          DEADLINE_MS,
        );
        const check = (view: AgentView | null) => {
          if (view?.pool?.maxConcurrent !== limit) return;
          clearTimeout(timer);
          unsubscribe();
          resolve();
        };
        const unsubscribe = link.subscribe(check);
        check(link.getView());
      });
    await link.start();
    await waitForLimit(1);
    putPool(1, 2);
    await waitForLimit(2);
    assert.equal(membership.getCandidates('p').length, 1);
    await link.announceLeaving();
    assert.equal(membership.getCandidates('p').length, 0);
    await link.stop(AbortSignal.timeout(1));
    await membership.stop(AbortSignal.timeout(1));
    await control.stop(AbortSignal.timeout(1));
    await closeServer(server);
  });
});

describe('agent link without reachable entries', () => {
  it('polls the instance list at once when no entry answers', async () => {
    const clock = new ManualClock();
    const network = new FakeNetwork();
    const list = new FakeInstanceList();
    list.set([createEntryInstance('e1')]);
    const instance = createAgentInstance('u1');
    const context = createTestContext(instance, clock);
    const directory = createInstanceDirectory(context, list, {
      seeds: [],
      role: 'entry',
      pollMs: 3_600_000,
    });
    const load = {running: 0, limit: 1, waiting: 0, epoch: '', version: 0};
    const link = createAgentLink(context, {
      getEntries: () => directory.getEntries(),
      getReport: () => ({load: {...load, cold: false}, cells: [], crashes: []}),
      onReportDelivered: () => {},
      onEntriesUnreachable: () => directory.pollNow(),
      instance,
      callPeer: network.callPeer,
    });
    await directory.start();
    await link.start();
    await advance(clock, 2_000);
    const e2 = createEntryInstance('e2');
    list.set([e2], ['e1']);
    await advance(clock, 10_000);
    assert.ok(network.calls.includes(`control.pull ${e2.peerAddress}`));
    const stops = [link, directory].map(part =>
      part.stop(AbortSignal.timeout(1)),
    );
    await advance(clock, 20_000);
    await Promise.all(stops);
  });
});
