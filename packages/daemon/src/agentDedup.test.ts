import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {describe, it} from 'node:test';

import type {MonotonicMs, Result, RpcFailure} from '@vanillacross/common';
import {ManualClock, Metrics} from '@vanillacross/common';
import type {AgentView} from '@vanillacross/domain';
import {getKeyHolders, poolSchema} from '@vanillacross/domain';
import fc from 'fast-check';

import type {IdempotencyDecision, RunPermit} from './agentDedup.js';
import {AgentDedup} from './agentDedup.js';
import {DEFAULT_AGENT_LIMITS} from './agentLimits.js';

const SEED = 20_261_204;
const KEY = 'k1';
const POOL_CREATED_AT = 1;
const IDS = ['u1', 'u2', 'u3', 'u4'];
/** Agents that join after others have left. */
const SPARE_IDS = ['u5', 'u6'];
const FAR_DEADLINE = 1e9 as MonotonicMs;

interface Message {
  deliver(): void;
  drop(): void;
}

interface Process {
  id: string;
  dedup: AgentDedup;
  members: readonly string[];
  isAlive: boolean;
  stop: AbortController;
}

/**
 * Agents of one pool, connected by a network on which the test delivers or
 * drops each message.
 */
class Simulation {
  readonly clock = new ManualClock();
  readonly processes = new Map<string, Process>();
  readonly openRuns: RunPermit[] = [];
  readonly decisions: Array<IdempotencyDecision['tag']> = [];
  messages: Message[] = [];
  members: string[] = [...IDS];
  /** Number of executions that may have had an effect. */
  runCount = 0;
  private epochCount = 0;

  constructor() {
    for (const id of IDS) this.startProcess(id, 0);
  }

  startProcess(id: string, offset: number): void {
    const process: Process = {
      id,
      members: [...this.members],
      isAlive: true,
      stop: new AbortController(),
      dedup: new AgentDedup({
        upstream: id,
        epoch: `${id}-${++this.epochCount}`,
        clock: this.clock,
        limits: DEFAULT_AGENT_LIMITS,
        metrics: new Metrics(),
        secret: '',
        getView: () => this.getView(process, offset),
        callPeer: (peer, method, params) =>
          this.send(process, peer, method, params),
      }),
    };
    this.processes.set(id, process);
    // The manual clock registers a listener for each wait.
    setMaxListeners(0, process.stop.signal);
    void process.dedup.run(process.stop.signal);
  }

  crash(id: string): void {
    const process = this.processes.get(id);
    if (!process) return;
    process.isAlive = false;
    process.stop.abort();
    this.processes.delete(id);
  }

  request(id: string): void {
    const process = this.processes.get(id);
    if (!process) return;
    void process.dedup.begin(KEY, 'f1', FAR_DEADLINE).then(decision => {
      if (!process.isAlive) return;
      this.decisions.push(decision.tag);
      if (decision.tag !== 'run') return;
      this.runCount += 1;
      this.openRuns.push({
        finish: outcome => {
          if (process.isAlive) decision.permit.finish(outcome);
        },
      });
    });
  }

  settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
  }

  async deliverAll(): Promise<void> {
    for (let i = 0; i < 200; i++) {
      const batch = this.messages.splice(0);
      for (const message of batch) message.deliver();
      await this.settle();
      this.clock.advance(50);
      await this.settle();
    }
  }

  private getView(process: Process, offset: number): AgentView {
    return {
      offset,
      fencing: -1,
      pool: poolSchema.parse({kind: 'plain'}),
      poolCreatedAt: POOL_CREATED_AT,
      upstream: null,
      isDomainIn: true,
      windowMs: 1_000,
      members: process.members.map(id => ({
        id: `agent-${id}`,
        role: 'agent',
        domain: 'd1',
        address: '127.0.0.1:1',
        peerAddress: '127.0.0.1:1',
        state: 'live',
        upstream: {id, pool: 'p1'},
      })),
    };
  }

  private send(
    from: Process,
    peer: string,
    method: string,
    params: unknown,
  ): Promise<Result<unknown, RpcFailure>> {
    return new Promise(resolve => {
      const fail = () =>
        resolve({ok: false, error: {tag: 'unknown', detail: 'lost'}});
      const deliver = () => {
        const target = this.processes.get(peer);
        if (!target) return fail();
        const {perform} = target.dedup.rpcMethods[method];
        const copy = JSON.parse(JSON.stringify(params)) as never;
        const value = perform(copy) as unknown;
        const text = JSON.stringify(value ?? null);
        this.messages.push({
          deliver: () => {
            if (from.isAlive) resolve({ok: true, value: JSON.parse(text)});
          },
          drop: fail,
        });
      };
      this.messages.push({deliver, drop: fail});
    });
  }
}

/**
 * Regression cases, each a list of `event index`, that led to two executions
 * with one key.
 */
const KNOWN_CASES = [
  'request 0,deliver 0,deliver 0,deliver 0,deliver 106,deliver 939,leave 0,' +
    'leave 0,restart 0,request 45',
  'join 0,restart 701,request 52,deliver 671,deliver 111,leave 327,leave 0,' +
    'leave 169,restart 331,request 21',
  'leave 762,request 0,deliver 444,request 1,leave 109,deliver 466,request 9,' +
    'restart 0,request 0',
].map(text =>
  text.split(',').map(part => {
    const [type, i] = part.split(' ');
    return {type, i: Number(i)};
  }),
);

const anyIndex = fc.nat(1_000);
const WEIGHTS = {
  deliver: 10,
  request: 3,
  drop: 1,
  timeout: 2,
  advance: 2,
  finish: 2,
  restart: 1,
  leave: 1,
  join: 1,
  updateView: 3,
};
const event = fc.oneof(
  ...Object.entries(WEIGHTS).map(([type, weight]) => ({
    weight,
    arbitrary: fc.record({type: fc.constant(type), i: anyIndex}),
  })),
);

function pick<Item>(items: readonly Item[], i: number): Item | undefined {
  return items.length === 0 ? undefined : items[i % items.length];
}

const eventHandlers: Record<string, (sim: Simulation, i: number) => void> = {
  deliver: (sim, i) => {
    const message = pick(sim.messages, i);
    sim.messages = sim.messages.filter(other => other !== message);
    message?.deliver();
  },
  drop: (sim, i) => {
    const message = pick(sim.messages, i);
    sim.messages = sim.messages.filter(other => other !== message);
    message?.drop();
  },
  // The sender times out, but the message is still delivered later.
  timeout: (sim, i) => pick(sim.messages, i)?.drop(),
  request: (sim, i) => sim.request(pick([...sim.processes.keys()], i) ?? ''),
  advance: (sim, i) => sim.clock.advance(i),
  finish: (sim, i) => {
    const run = sim.openRuns.shift();
    if (!run) return;
    const kind = i % 3;
    // With proof that nothing ran, another execution is harmless.
    if (kind === 0) sim.runCount -= 1;
    const answer = {status: 200, headers: {}, body: ''};
    const outcomes = [
      {tag: 'not_run'},
      {tag: 'unknown'},
      {tag: 'done', answer},
    ] as const;
    run.finish(outcomes[kind]);
  },
  restart: (sim, i) => {
    const id = pick([...sim.processes.keys()], i);
    if (id === undefined) return;
    sim.crash(id);
    sim.startProcess(id, POOL_CREATED_AT + 1);
  },
  leave: (sim, i) => {
    const id = pick([...sim.processes.keys()], i);
    if (id === undefined || sim.members.length <= 2) return;
    sim.crash(id);
    sim.members = sim.members.filter(member => member !== id);
  },
  join: sim => {
    const id = SPARE_IDS.find(spare => !sim.members.includes(spare));
    if (id === undefined) return;
    sim.members.push(id);
    sim.startProcess(id, POOL_CREATED_AT + 1);
  },
  // One process learns of the current members.
  updateView: (sim, i) => {
    const process = pick([...sim.processes.values()], i);
    if (process) process.members = [...sim.members];
  },
};

async function runEvents(
  events: ReadonlyArray<{type: string; i: number}>,
  skippedTypes: readonly string[],
): Promise<Simulation> {
  const sim = new Simulation();
  await sim.settle();
  for (const {type, i} of events) {
    if (skippedTypes.includes(type)) continue;
    eventHandlers[type](sim, i);
    await sim.settle();
    assert.ok(sim.runCount <= 1, `${sim.runCount} executions of one key`);
  }
  return sim;
}

function stopAll(sim: Simulation): void {
  for (const id of [...sim.processes.keys()]) sim.crash(id);
  for (const message of sim.messages) message.drop();
}

describe('deduplication across the agents of a pool', () => {
  it('executes the request with a key at most once despite crashes and repeated claims', async () => {
    // Guards against executing a request twice, for example a charge, after
    // lost or reordered messages and agent restarts.
    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {maxLength: 80, size: 'max'}),
        async events => {
          const sim = await runEvents(events, ['leave', 'join', 'updateView']);
          await sim.deliverAll();
          assert.ok(sim.runCount <= 1, `${sim.runCount} executions of one key`);
          stopAll(sim);
        },
      ),
      {seed: SEED, numRuns: 150},
    );
  });

  it('executes the request with a key at most once while members leave and join', async () => {
    // Guards against duplicate execution when membership changes make an agent
    // a holder of a key before it has learned about that key.
    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {maxLength: 80, size: 'max'}),
        async events => {
          const sim = await runEvents(events, []);
          await sim.deliverAll();
          assert.ok(sim.runCount <= 1, `${sim.runCount} executions of one key`);
          stopAll(sim);
        },
      ),
      {seed: SEED, numRuns: 150, examples: KNOWN_CASES.map(c => [c])},
    );
  });

  it('executes the request with a key once and replays its response if nothing fails', async () => {
    // Guards against a protocol that is safe only because it never runs
    // anything.
    const sim = new Simulation();
    await sim.deliverAll();
    const [firstHolder, secondHolder] = getKeyHolders(KEY, IDS);
    sim.request(firstHolder);
    sim.request(firstHolder);
    sim.request(secondHolder);
    await sim.deliverAll();
    assert.deepEqual(sim.decisions, ['run']);
    sim.openRuns[0].finish({
      tag: 'done',
      answer: {status: 200, headers: {}, body: ''},
    });
    await sim.deliverAll();
    assert.deepEqual(sim.decisions, ['run', 'replay', 'replay']);
    stopAll(sim);
  });

  it('answers "unknown" at the second holder after the first crashed', async () => {
    // Guards against a second execution of a claimed key whose outcome is
    // unknown.
    const sim = new Simulation();
    await sim.deliverAll();
    const [firstHolder, secondHolder] = getKeyHolders(KEY, IDS);
    sim.request(firstHolder);
    await sim.deliverAll();
    sim.crash(firstHolder);
    sim.request(secondHolder);
    await sim.deliverAll();
    assert.deepEqual(sim.decisions, ['run', 'unknown']);
    stopAll(sim);
  });

  it('executes requests with new keys after a holder was replaced', async () => {
    // Guards against an agent that does not learn all of its keys although its
    // peers could supply them.
    const sim = new Simulation();
    await sim.deliverAll();
    const [firstHolder] = getKeyHolders(KEY, IDS);
    sim.crash(firstHolder);
    sim.startProcess(firstHolder, POOL_CREATED_AT + 1);
    await sim.deliverAll();
    sim.request(firstHolder);
    await sim.deliverAll();
    assert.deepEqual(sim.decisions, ['run']);
    stopAll(sim);
  });
});
