import type {Epoch} from '@vanillacross/common';
import {
  ManualClock,
  Metrics,
  toBranded,
  createLogger,
  fail,
  ok,
} from '@vanillacross/common';
import type {Instance, MissedEnd, UsageCells} from '@vanillacross/domain';
import {addUsage, emptyControlState} from '@vanillacross/domain';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {AgentReportBuffer} from './agentReportBuffer.js';
import type {Context, ControlFollower, Membership} from './types.js';
import type {UsageCollection, UsageCollector} from './usageCollection.js';
import {createUsageCollection} from './usageCollection.js';

const WINDOW = 3;
const load = {running: 0, limit: 1, waiting: 0, epoch: '', version: 0};
const idleLoad = {...load, cold: false};

interface Entry {
  epoch: string;
  cells: UsageCells;
  missed: MissedEnd[];
  usage: UsageCollection;
  collector: UsageCollector;
}

interface Agent {
  epoch: string;
  usage: AgentReportBuffer;
  /**
   * Epochs of entries that sent requests which this agent has not reported yet.
   */
  pending: Set<string>;
  /** Epochs of entries that have the reported cells. */
  copies: Set<string>;
  hasMissedEnds: boolean;
}

/** Entries and agents in one process; killed ones restart without state. */
class FakeCluster {
  requestCount = 0;
  bytes = 0;
  readonly entries: Entry[];
  readonly agents: Agent[];
  /** Indexes of entries that do not answer. */
  readonly down = new Set<number>();
  private epochCount = 0;
  private readonly killed: Agent[] = [];

  constructor(entries: number, agents: number) {
    this.entries = [];
    this.agents = [];
    for (let i = 0; i < entries; i++) this.entries.push(this.createEntry(i));
    for (let i = 0; i < agents; i++) this.agents.push(this.createAgent());
  }

  private createAgent(): Agent {
    const epoch = `a${++this.epochCount}`;
    const usage = new AgentReportBuffer(epoch, () => assert.fail('dropped'));
    return {
      epoch,
      usage,
      pending: new Set(),
      copies: new Set(),
      hasMissedEnds: false,
    };
  }

  private createEntry(index: number): Entry {
    const epoch = `e${++this.epochCount}`;
    const cells: UsageCells = new Map();
    const missed: MissedEnd[] = [];
    const getPeers = () =>
      this.entries.flatMap((_, i) =>
        i === index ? [] : [{id: `${i}`, peerAddress: `${i}`}],
      ) as unknown as Instance[];
    const usage = createUsageCollection(
      {
        self: {id: `${index}`} as Instance,
        epoch: toBranded<Epoch>(epoch),
        clock: new ManualClock(),
        logger: createLogger('usage', 'silent'),
        metrics: new Metrics(),
        clusterSecret: 's',
      } satisfies Context,
      {getState: () => emptyControlState} as ControlFollower,
      {getPeers} as unknown as Membership,
      address => ({
        call: async (name, params) => {
          const target = Number(address);
          if (this.down.has(target)) return fail({tag: 'unknown', detail: ''});
          const method = this.entries[target].usage.rpcMethods[name];
          const parsed = method.params.parse(params) as never;
          const text = JSON.stringify(await method.perform(parsed));
          this.bytes += JSON.stringify(params).length + text.length;
          return ok(JSON.parse(text) as unknown);
        },
      }),
      {
        getUsageCells: () => [...cells.values()],
        getMissedEnds: () => missed,
      },
    );
    const collector = usage.createCollector();
    return {epoch, cells, missed, usage, collector};
  }

  request(entryIndex: number, agentIndex: number, isEndMissed = false): void {
    const entry = this.entries[entryIndex];
    const agent = this.agents[agentIndex];
    const id = {window: WINDOW, entryEpoch: entry.epoch, account: 'c'};
    this.requestCount++;
    agent.usage.addUsage({...id, promptTokens: 2, generatedTokens: 3});
    agent.pending.add(entry.epoch);
    if (isEndMissed) {
      agent.hasMissedEnds = true;
      entry.missed.push({window: WINDOW, agentEpoch: agent.epoch});
      return;
    }
    const figures = {requests: 1, promptTokens: 2, generatedTokens: 3};
    addUsage(entry.cells, {...id, agentEpoch: agent.epoch}, figures);
  }

  handOver(agentIndex: number): void {
    const agent = this.agents[agentIndex];
    for (const {epoch, usage} of this.entries) {
      const report = agent.usage.getReport(idleLoad, epoch);
      usage.addAgentCells(report.cells);
      agent.usage.confirmReport(report, epoch);
    }
    agent.pending.clear();
    agent.copies = new Set(this.entries.map(({epoch}) => epoch));
  }

  killAgent(index: number): void {
    const agent = this.agents[index];
    const live = this.entries.map(({epoch}) => epoch);
    const hasOnlyCopy = [...agent.pending].some(epoch => !live.includes(epoch));
    // Reports first if only this agent still has some usage, since that usage
    // would be lost otherwise.
    if (agent.hasMissedEnds || hasOnlyCopy) this.handOver(index);
    if (agent.copies.size + agent.pending.size > 0) this.killed.push(agent);
    this.agents[index] = this.createAgent();
  }

  /** Kills an entry unless usage would be lost at both entry and agent. */
  killEntry(index: number): void {
    const {epoch} = this.entries[index];
    const isNeeded = ({pending, copies}: Agent) =>
      pending.has(epoch) || (copies.size === 1 && copies.has(epoch));
    if (this.killed.some(isNeeded)) return;
    for (const {copies} of this.killed) copies.delete(epoch);
    this.entries[index] = this.createEntry(index);
  }

  async collect(index: number): Promise<number> {
    const {collector} = this.entries[index];
    await collector.collect(WINDOW);
    const figures = collector.windows.getTotals(WINDOW)['c'];
    assert.equal(figures?.generatedTokens ?? 0, 3 * (figures?.requests ?? 0));
    return figures?.requests ?? 0;
  }
}

describe('usage collection', () => {
  it('recovers the usage of a killed entry from agents', async () => {
    const cluster = new FakeCluster(3, 2);
    for (const agent of [0, 1, 1]) cluster.request(0, agent);
    cluster.request(1, 0);
    cluster.handOver(0);
    cluster.handOver(1);
    cluster.killEntry(0);
    assert.equal(await cluster.collect(2), 4);
    assert.equal(await cluster.collect(2), 4);
  });

  it('keeps the usage of a killed agent', async () => {
    const cluster = new FakeCluster(3, 2);
    cluster.request(0, 0);
    cluster.request(1, 0);
    cluster.killAgent(0);
    cluster.request(1, 0);
    assert.equal(await cluster.collect(2), 3);
  });

  it('takes the usage of a response from the agent report if the entry missed its end', async () => {
    const cluster = new FakeCluster(3, 1);
    cluster.request(0, 0);
    cluster.request(0, 0, true);
    assert.equal(await cluster.collect(1), 1);
    cluster.handOver(0);
    assert.equal(await cluster.collect(1), 2);
  });

  it('does not count usage twice when an entry answers late', async () => {
    const cluster = new FakeCluster(3, 2);
    cluster.request(0, 0);
    cluster.request(0, 1);
    cluster.handOver(0);
    cluster.down.add(0);
    assert.equal(await cluster.collect(1), 1);
    cluster.down.clear();
    assert.equal(await cluster.collect(1), 2);
    cluster.down.add(0);
    cluster.handOver(1);
    assert.equal(await cluster.collect(1), 2);
  });

  it('neither loses nor double-counts usage although processes are killed and reports are repeated', async () => {
    const index = fc.nat({max: 2});
    const step = fc.oneof(
      {weight: 6, arbitrary: fc.tuple(fc.constant('request'), index, index)},
      {weight: 1, arbitrary: fc.tuple(fc.constant('missed'), index, index)},
      {weight: 2, arbitrary: fc.tuple(fc.constant('handOver'), index)},
      {weight: 1, arbitrary: fc.tuple(fc.constant('killEntry'), index)},
      {weight: 1, arbitrary: fc.tuple(fc.constant('killAgent'), index)},
      {weight: 2, arbitrary: fc.tuple(fc.constant('collect'), index)},
      {weight: 1, arbitrary: fc.tuple(fc.constant('cut'), index)},
    );
    const property = fc.asyncProperty(
      fc.array(step, {minLength: 5, maxLength: 40}),
      async steps => {
        const cluster = new FakeCluster(3, 3);
        for (const [name, a, b = 0] of steps) {
          if (name === 'request') cluster.request(a, b);
          if (name === 'missed') cluster.request(a, b, true);
          if (name === 'handOver') cluster.handOver(a);
          if (name === 'killEntry') cluster.killEntry(a);
          if (name === 'killAgent') cluster.killAgent(a);
          if (name === 'cut') {
            if (!cluster.down.delete(a)) cluster.down.add(a);
          }
          if (name === 'collect') {
            assert.ok((await cluster.collect(a)) <= cluster.requestCount);
          }
        }
        cluster.down.clear();
        for (const agent of cluster.agents.keys()) cluster.handOver(agent);
        for (const entry of cluster.entries.keys()) {
          assert.equal(await cluster.collect(entry), cluster.requestCount);
        }
      },
    );
    await fc.assert(property, {seed: 20_261_204, numRuns: 1_000});
  });

  it('does not transfer unchanged cells again', async () => {
    const cluster = new FakeCluster(3, 600);
    for (let i = 0; i < 1_800; i++) cluster.request(i % 3, i % 600);
    for (const agent of cluster.agents.keys()) cluster.handOver(agent);
    cluster.killEntry(0);
    await cluster.collect(1);
    const first = cluster.bytes;
    cluster.bytes = 0;
    await cluster.collect(1);
    assert.ok(cluster.bytes < first / 4, `${cluster.bytes} of ${first} bytes`);
  });
});
