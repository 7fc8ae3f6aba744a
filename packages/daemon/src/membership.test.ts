import {ManualClock} from '@vanillacross/common';
import type {Load} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {PullReport} from './agentLink.js';
import {createAgentLink} from './agentLink.js';
import {createControlFollower} from './controlFollower.js';
import {createSeedInstance} from './instanceDirectory.js';
import {createMembership} from './membership.js';
import {
  FakeInstanceList,
  FakeLog,
  FakeNetwork,
  advance,
  createAgentInstance,
  createEntryInstance,
  createTestContext,
  flushAsyncWork,
} from './controlFakes.test.js';
import type {Component} from './types.js';

const load: Load = {
  running: 0,
  limit: 4,
  waiting: 0,
  epoch: '',
  version: 0,
  cold: false,
};
const emptyReport: PullReport = {load, cells: [], crashes: []};

function createRecord(key: string, baseRevision: number, body: unknown) {
  const operator = 'o';
  const type = 'put' as const;
  return {type, key, baseRevision, schemaVersion: 1, body, operator};
}

describe('membership and agent link', () => {
  let clock = new ManualClock();
  let log = new FakeLog();
  let list = new FakeInstanceList();
  let network = new FakeNetwork();
  let parts: Component[] = [];
  beforeEach(() => {
    clock = new ManualClock();
    log = new FakeLog();
    list = new FakeInstanceList();
    network = new FakeNetwork();
    parts = [];
    for (const domain of ['d0', 'd1', 'd2']) {
      log.addRecord(createRecord(`domain/${domain}`, 0, {region: 'r'}));
    }
    log.addRecord(createRecord('pool/p', 0, {kind: 'plain'}));
  });
  afterEach(async () => {
    const stops = parts.map(part => part.stop(AbortSignal.timeout(1)));
    await flushAsyncWork();
    clock.advance(20_000);
    await Promise.all(stops);
  });

  async function startEntry(id: string, domain = 'd0', seeds: string[] = []) {
    const context = createTestContext(createEntryInstance(id, domain), clock);
    const {callPeer} = network;
    const control = createControlFollower(context, log, {callPeer});
    const membership = createMembership(context, control, list, {
      seeds: seeds.map(createSeedInstance),
      callPeer,
    });
    network.methods.set(context.self.peerAddress, membership.rpcMethods);
    parts.push(control, membership);
    await control.start();
    await membership.start();
    await flushAsyncWork();
    return {control, membership, self: context.self};
  }

  async function startAgent(
    upstream: string,
    domain: string,
    entries: string[],
    reports: PullReport[] = [],
  ) {
    const instance = createAgentInstance(upstream, domain);
    const link = createAgentLink(createTestContext(instance, clock), {
      getEntries: () => entries.map(id => createEntryInstance(id)),
      getReport: () => reports[0] ?? emptyReport,
      onReportDelivered: report => {
        const index = reports.indexOf(report);
        if (index >= 0) reports.splice(index, 1);
      },
      instance,
      callPeer: network.callPeer,
    });
    network.methods.set(instance.peerAddress, link.rpcMethods);
    parts.push(link);
    await link.start();
    await flushAsyncWork();
    return {link, instance};
  }

  const getIds = (agents: readonly {instance: {id: string}}[]) =>
    agents.map(agent => agent.instance.id);

  it('answers a held poll as soon as the view changes', async () => {
    await startEntry('e1');
    const {link} = await startAgent('u1', 'd0', ['e1']);
    await advance(clock, 300);
    assert.equal(link.getView()?.pool?.maxConcurrent, 16);
    const polls = network.calls.length;
    await advance(clock, 2_000);
    const pulls = network.calls.slice(polls).filter(c => c.includes('pull'));
    assert.ok(pulls.length <= 1, `${pulls.length} polls instead of a held one`);
    log.addRecord(createRecord('pool/p', 1, {kind: 'plain', maxConcurrent: 3}));
    await flushAsyncWork();
    assert.equal(link.getView()?.pool?.maxConcurrent, 3);
    assert.equal(link.getView()?.offset, 4);
  });

  it('reports an agent with an unchanged view as current', async () => {
    const {membership} = await startEntry('e1');
    const {link} = await startAgent('u1', 'd0', ['e1']);
    await advance(clock, 300);
    log.addRecord(createRecord('account/a', 0, {}));
    await flushAsyncWork();
    assert.equal(membership.getEntryStatus().agents[0].offset, 4);
    await advance(clock, 11_000);
    assert.equal(link.getView()?.offset, 4);
  });

  it('does not apply an older view from a lagging entry', async () => {
    await startEntry('e1');
    const {link} = await startAgent('u1', 'd0', ['e1', 'e2']);
    log.addRecord(createRecord('pool/p', 1, {kind: 'plain', maxConcurrent: 3}));
    await advance(clock, 500);
    const lagging = new FakeLog();
    lagging.records = log.records.slice(0, 4);
    const current = log;
    log = lagging;
    await startEntry('e2');
    log = current;
    await advance(clock, 12_000);
    assert.equal(link.getView()?.pool?.maxConcurrent, 3);
    assert.equal(link.getView()?.offset, 4);
  });

  it('gives no work to a leaving agent that is still listed as live', async () => {
    const {membership} = await startEntry('e1');
    const {link, instance} = await startAgent('u1', 'd0', ['e1']);
    list.set([instance]);
    await advance(clock, 2_000);
    assert.deepEqual(getIds(membership.getCandidates('p')), ['agent-u1']);
    const leaving = link.announceLeaving();
    await flushAsyncWork();
    await advance(clock, 100);
    await leaving;
    assert.deepEqual(membership.getCandidates('p'), []);
    list.set([instance]);
    await advance(clock, 3_000);
    assert.deepEqual(membership.getCandidates('p'), []);
    assert.equal(membership.getPoolMembers('p').length, 1);
  });

  const exclusions: Array<[string, () => void]> = [
    [
      'a draining upstream',
      () =>
        log.addRecord(
          createRecord('upstream/u1', 0, {
            pool: 'p',
            domain: 'd0',
            state: 'draining',
          }),
        ),
    ],
    [
      'an agent in a failure domain that is out of service',
      () =>
        log.addRecord(
          createRecord('domain/d0', 1, {region: 'r', state: 'out'}),
        ),
    ],
    [
      'an agent that is listed as leaving',
      () => list.set([{...createAgentInstance('u1'), state: 'leaving'}]),
    ],
  ];
  for (const [name, exclude] of exclusions) {
    it(`gives no new work to ${name}`, async () => {
      const {membership} = await startEntry('e1');
      await startAgent('u1', 'd0', ['e1']);
      await startAgent('u2', 'd1', ['e1']);
      await advance(clock, 1_000);
      assert.equal(membership.getCandidates('p').length, 2);
      exclude();
      await advance(clock, 1_500);
      assert.deepEqual(getIds(membership.getCandidates('p')), ['agent-u2']);
    });
  }

  it('keeps agents that poll but are not listed, until they stop polling', async () => {
    const {membership} = await startEntry('e1');
    const {link, instance} = await startAgent('u1', 'd0', ['e1']);
    list.set([instance]);
    await advance(clock, 2_000);
    list.set([], [instance.id]);
    await advance(clock, 60_000, 1_000);
    assert.deepEqual(getIds(membership.getCandidates('p')), ['agent-u1']);
    parts = parts.filter(part => part !== link);
    const stopping = link.stop(AbortSignal.timeout(1));
    await advance(clock, 45_000, 1_000);
    await stopping;
    assert.equal(membership.getAgent('u1'), null);
  });

  it('removes an instance when another one is listed at its address', async () => {
    const {membership} = await startEntry('e1');
    const old = createAgentInstance('old');
    list.set([old]);
    await advance(clock, 1_500);
    assert.equal(membership.getPoolMembers('p').length, 1);
    const next = {...createAgentInstance('new'), address: old.address};
    list.set([next], []);
    await advance(clock, 1_500);
    const ids = getIds(membership.getPoolMembers('p'));
    assert.deepEqual(ids, ['agent-new']);
  });

  it('ejects a failing agent for a time that grows until it responds', async () => {
    const {membership} = await startEntry('e1');
    await startAgent('u1', 'd0', ['e1']);
    await advance(clock, 200);
    const isUsable = () => membership.getCandidates('p').length === 1;
    for (let i = 0; i < 3; i++) membership.recordFailure('u1');
    assert.equal(isUsable(), false);
    await advance(clock, 1_100);
    assert.equal(isUsable(), true);
    membership.recordFailure('u1');
    await advance(clock, 1_100);
    assert.equal(isUsable(), false, 'the second ejection is longer');
    await advance(clock, 1_000);
    membership.recordLoad('u1', load);
    membership.recordFailure('u1');
    assert.equal(isUsable(), true);
  });

  it('keeps reports until an unreachable entry can be reached again', async () => {
    const {membership} = await startEntry('e1');
    const crashes = [{upstream: 'u1', epoch: 'x', fingerprints: ['f']}];
    const reports = [{...emptyReport, crashes}];
    const reportedUpstreams: string[] = [];
    membership.onReport((_cells, list) =>
      reportedUpstreams.push(...list.map(crash => crash.upstream)),
    );
    network.unreachable.add('e1:90');
    await startAgent('u1', 'd0', ['e1'], reports);
    await advance(clock, 1_000);
    assert.equal(reports.length, 1);
    network.unreachable.clear();
    await advance(clock, 6_000);
    assert.ok(reportedUpstreams.includes('u1'));
    log.addRecord(createRecord('pool/p', 1, {kind: 'plain', maxConcurrent: 3}));
    await flushAsyncWork();
    assert.equal(reports.length, 0);
  });

  describe('authority', () => {
    const cases: Array<[string, string[], boolean, boolean]> = [
      ['lost if no failure domain is reachable', [], false, false],
      [
        'lost if only one of three failure domains is reachable',
        ['d1'],
        false,
        false,
      ],
      [
        'kept if two of three failure domains are reachable',
        ['d1', 'd2'],
        false,
        true,
      ],
      ['kept if only the log is reachable', [], true, true],
    ];
    for (const [name, domains, isLogUp, expected] of cases) {
      it(`is ${name}`, async () => {
        list.set([
          createEntryInstance('e2', 'd1'),
          createEntryInstance('e3', 'd2'),
        ]);
        const {membership} = await startEntry('e1');
        const peers = [
          ['e2', 'd1'],
          ['e3', 'd2'],
        ];
        for (const [id, domain] of peers) {
          await startEntry(id, domain);
          if (!domains.includes(domain)) network.unreachable.add(`${id}:90`);
        }
        // Calls from the peers must fail as well.
        if (domains.length < 2) network.unreachable.add('e1:90');
        await advance(clock, 1_000);
        log.isDown = !isLogUp;
        log.wake();
        await advance(clock, 8_000);
        if (isLogUp) log.addRecord(createRecord('account/a', 0, {}));
        await flushAsyncWork();
        assert.equal(membership.hasAuthority(), expected);
      });
    }

    it('is lost when only half of the failure domains are reachable', async () => {
      log.addRecord(createRecord('domain/d3', 0, {region: 'r'}));
      const {membership} = await startEntry('e1');
      await startAgent('u1', 'd0', ['e1']);
      await startAgent('u2', 'd1', ['e1']);
      log.isDown = true;
      log.wake();
      await advance(clock, 8_000);
      assert.equal(membership.getReachableDomains().length, 2);
      assert.equal(membership.hasAuthority(), false);
      await startAgent('u3', 'd2', ['e1']);
      assert.equal(membership.hasAuthority(), true);
    });
  });

  it('follows an instance list that restarted with a lower version', async () => {
    const {membership} = await startEntry('e1');
    list.set([createAgentInstance('u1')]);
    list.set([createAgentInstance('u2')]);
    await advance(clock, 2_500);
    assert.equal(membership.getPoolMembers('p').length, 2);
    list.restart([createAgentInstance('u3')]);
    await advance(clock, 70_000, 1_000);
    const ids = getIds(membership.getPoolMembers('p'));
    assert.deepEqual(ids, ['agent-u3']);
  });

  it('lists a seed only once after its instance is known', async () => {
    const {membership} = await startEntry('e1', 'd0', ['e1:90', 'e2:90']);
    await startEntry('e2', 'd1');
    await advance(clock, 2_500);
    assert.deepEqual(
      membership.getPeers().map(peer => peer.id),
      ['e2'],
    );
    assert.ok(membership.getReachableDomains().includes('d1'));
  });
});
