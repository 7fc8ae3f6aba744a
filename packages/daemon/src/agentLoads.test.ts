import type {Epoch} from '@vanillacross/common';
import {
  ManualClock,
  Metrics,
  toBranded,
  createLogger,
  fail,
  getDeadline,
  getRendezvousOrder,
  ok,
} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';
import {
  applyControlRecords,
  emptyControlState,
  getEntriesOfAgent,
} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AgentLoads} from './agentLoads.js';
import {createAgentLoads} from './agentLoads.js';
import type {LeaseTask} from './leaseTask.js';
import {flushAsyncWork} from './controlFakes.test.js';
import type {AgentPresence, ControlFollower, Membership} from './types.js';

const AGENTS = 200;
const LOAD = {limit: 20, waiting: 1, version: 7, cold: false};

const state = applyControlRecords(emptyControlState, [
  {
    offset: 0,
    appendId: 'a',
    payload: {
      type: 'put',
      key: 'pool/p',
      baseRevision: 0,
      schemaVersion: 1,
      body: {kind: 'engine', model: 'm'},
      operator: 'o',
    },
  },
]);

function createCluster() {
  const clock = new ManualClock();
  const entries = Array.from({length: 12}, (_, i): Instance => {
    const id = `entry-${i}`;
    const place = {domain: `d${i % 3}`, address: '', peerAddress: id};
    return {id, role: 'entry', state: 'live', ...place};
  });
  const agents = Array.from({length: AGENTS}, (_, i) => ({
    id: `agent-${i}`,
    domain: `d${i % 3}`,
    upstream: {id: `upstream-${i}`, pool: 'p'},
  }));
  const running = new Map(agents.map(({id}, i) => [id, i]));
  const unreachable = new Set<string>();
  const traffic = {bytes: 0, rows: 0, calls: 0};
  const loads = new Map<string, AgentLoads>();
  for (const self of entries) {
    const getMembers = () =>
      agents
        .filter(({id, domain}) =>
          getEntriesOfAgent(id, domain, entries).includes(self),
        )
        .map(instance => ({
          instance,
          isLeaving: false,
          lastSeenAt: clock.now(),
          load: {...LOAD, running: running.get(instance.id), epoch: 'e'},
        })) as unknown as AgentPresence[];
    const membership = {
      getPeers: () => entries.filter(entry => entry !== self),
      getPoolMembers: getMembers,
      getAgent: (upstream: string) =>
        getMembers().find(m => m.instance.upstream.id === upstream) ?? null,
    } as unknown as Membership;
    const context = {
      self,
      epoch: toBranded<Epoch>(self.id),
      clock,
      logger: createLogger('loads', 'silent'),
      metrics: new Metrics(),
      clusterSecret: 's',
    };
    const getTenure = () =>
      self.id === 'entry-0'
        ? {fencing: 1, deadline: getDeadline(clock.now(), 1_000)}
        : null;
    const created = createAgentLoads(
      context,
      {getState: () => state} as ControlFollower,
      membership,
      {getTenure} as LeaseTask,
      address => ({
        call: async (name, params) => {
          const method = loads.get(address)?.rpcMethods[name];
          if (!method || unreachable.has(address)) {
            return fail({tag: 'unknown', detail: 'cut'});
          }
          const parsed = method.params.parse(params) as never;
          const text = JSON.stringify(await method.perform(parsed));
          const answer = JSON.parse(text) as {rows?: unknown[]};
          traffic.bytes += text.length + JSON.stringify(params).length;
          traffic.rows += answer.rows?.length ?? 0;
          traffic.calls++;
          return ok(answer);
        },
      }),
    );
    loads.set(self.id, created);
  }
  const holder = loads.get('entry-0')!;
  const collect = async () => {
    Object.assign(traffic, {bytes: 0, rows: 0, calls: 0});
    clock.advance(5_000);
    await flushAsyncWork();
    return {...traffic};
  };
  const getBusy = () =>
    agents.map(({upstream}) => {
      const load = holder.getLoad(upstream.id)?.load;
      return load ? load.running + load.waiting : null;
    });
  const stop = () => holder.stop(AbortSignal.abort());
  const start = async () => {
    await holder.start();
    await flushAsyncWork();
  };
  const entryIds = entries.map(({id}) => id);
  return {
    agents,
    entryIds,
    collect,
    unreachable,
    getBusy,
    running,
    start,
    stop,
    traffic,
  };
}

describe('agent loads', () => {
  it('lists each agent exactly once', async () => {
    const {agents, entryIds, getBusy, start, stop, traffic, running} =
      createCluster();
    await start();
    const expected = agents.map(({id}) => running.get(id)! + 1);
    assert.deepEqual(getBusy(), expected);
    // Agents whose designated entry is the lease holder report to it directly, so no other
    // entry lists them.
    const listed = agents.filter(
      ({id}) => getRendezvousOrder(id, entryIds)[0] !== 'entry-0',
    );
    assert.equal(traffic.rows, listed.length);
    assert.equal(traffic.calls, 11);
    await stop();
  });

  it('does not resend rows when only the demand changes', async () => {
    const {agents, collect, getBusy, start, stop, running} = createCluster();
    await start();
    for (const {id} of agents) running.set(id, 9);
    const {rows, bytes} = await collect();
    assert.equal(rows, 0);
    assert.ok(bytes < 10 * AGENTS, `${bytes} bytes`);
    assert.deepEqual(new Set(getBusy()), new Set([10]));
    await stop();
  });

  it("gets the loads of an unresponsive entry's agents from other entries", async () => {
    const {collect, unreachable, getBusy, start, stop} = createCluster();
    unreachable.add('entry-3').add('entry-4');
    await start();
    assert.ok(getBusy().includes(null));
    await collect();
    assert.ok(!getBusy().includes(null));
    await stop();
  });
});
