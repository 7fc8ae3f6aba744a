import {
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
import {createMembership} from './membership.js';
import {
  FakeList,
  FakeLog,
  createAgentInstance,
  createEntryInstance,
  createTestContext,
} from './testFakes.js';

/** Wide enough for a busy machine; a pass takes far less. */
const DEADLINE_MS = 20_000;

describe('agent link over RPC', () => {
  it('prevents changes and leaving from getting stuck on a held poll', async () => {
    const log = new FakeLog();
    const putPool = (baseRevision: number, maxConcurrent: number) =>
      log.add({
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
    const list = new FakeList();
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
      entries: () => [self],
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
