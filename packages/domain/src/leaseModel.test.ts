import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CheckpointCycle, TombstoneDeadlines} from './checkpointPlan.js';
import {
  createCheckpointCycle,
  planCheckpoint,
  reconcileTombstones,
} from './checkpointPlan.js';
import {LEASE_MS} from './constants.js';
import type {ControlPayload, LogRecord, Seal} from './controlRecords.js';
import {replayTruncatedLog} from './controlReplay.js';
import type {ControlState} from './controlState.js';
import {applyControlRecords, emptyControlState} from './controlState.js';
import {getClaimDeadline, getHolderDeadline, isOrderAllowed} from './lease.js';

const SEEDS = 500;
const STEPS = 1_500;
const ORDER_TIMEOUT_MS = 2_000;
const RETENTION_MS = 60_000;
/** Longest time that an append is on its way. */
const MAX_LAG_MS = 30_000;
/** Short, so that tombstones are dropped often. */
const TOMBSTONE_MS = 20_000;

/** Deliberate faults that the check has to find. */
type Fault = 'none' | 'deadline_after_append' | 'unfenced_seal';

interface Process {
  /** Speed of its clock; the lease margin has to cover the drift. */
  rate: number;
  state: ControlState;
  readAt: number;
  fencing: number | null;
  deadline: number;
  isPaused: boolean;
  cycle: CheckpointCycle | null;
  tombstones: TombstoneDeadlines;
}

/** An append on its way; it may land late, and its answer may be lost. */
interface Flight {
  owner: Process;
  payload: ControlPayload;
  sentAt: number;
  /** Earliest time at which the log takes it. */
  landsAt: number;
  appendId: string;
  hasLanded: boolean;
}

/** A small generator of reproducible random numbers (mulberry32). */
function createRandom(seed: number): (below: number) => number {
  let value = seed;
  return below => {
    value = (value + 0x6d2b79f5) | 0;
    let mixed = Math.imul(value ^ (value >>> 15), 1 | value);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) % below;
  };
}

/** One random interleaving of two or three entries. */
class Exploration {
  private time = 0;
  private readonly log: LogRecord[] = [];
  private flights: Flight[] = [];
  private readonly processes: Process[];
  private readonly reports = new Map<number, string>();
  private truth: ControlState = emptyControlState;
  private lastOrder = {fencing: -1, endsAt: 0};
  private readonly random: (below: number) => number;
  readonly seen = {orders: 0, seals: 0, tenures: 0, cycles: 0};

  constructor(
    seed: number,
    private readonly fault: Fault,
  ) {
    this.random = createRandom(seed);
    this.processes = Array.from({length: 2 + (seed % 2)}, (_, index) =>
      this.createProcess(1 + (index - 1) * 0.04),
    );
  }

  private createProcess(rate: number): Process {
    return {
      rate,
      state: emptyControlState,
      readAt: this.time * rate,
      fencing: null,
      deadline: 0,
      isPaused: false,
      cycle: null,
      tombstones: new Map(),
    };
  }

  /** The first violated property, null if there is none. */
  run(): string | null {
    for (let step = 0; step < STEPS; step++) {
      const violation = this.step() ?? this.checkHolders();
      if (violation) return violation;
    }
    return null;
  }

  private step(): string | null {
    const owner = this.processes[this.random(this.processes.length)];
    const choice = this.random(100);
    if (choice < 25) this.time += this.random(2_500);
    else if (choice < 28) owner.isPaused = !owner.isPaused;
    else if (choice < 29) Object.assign(owner, this.createProcess(owner.rate));
    else if (choice < 50) return this.land();
    else if (owner.isPaused) return null;
    else if (choice < 70) return this.read(owner);
    else if (choice < 82) this.sendLeaseRecord(owner);
    else if (choice < 88) return this.order(owner);
    else if (choice < 92) this.sendSeal(owner);
    else if (choice < 96) return this.checkpoint(owner);
    else this.put(owner);
    return null;
  }

  private now(owner: Process): number {
    return this.time * owner.rate;
  }

  private mayAct(owner: Process): boolean {
    return owner.fencing !== null && this.now(owner) < owner.deadline;
  }

  private checkHolders(): string | null {
    const acting = this.processes.filter(owner => this.mayAct(owner));
    return acting.length > 1 ? 'two processes may send orders' : null;
  }

  private send(owner: Process, payload: ControlPayload): void {
    this.flights.push({
      owner,
      payload,
      sentAt: this.now(owner),
      landsAt: this.time + (this.random(4) === 0 ? this.random(MAX_LAG_MS) : 0),
      appendId: `append-${this.flights.length}-${this.random(2 ** 31)}`,
      hasLanded: false,
    });
  }

  private sendLeaseRecord(owner: Process): void {
    const {lease} = owner.state;
    if (owner.fencing !== null) {
      // A release waits until the orders of its sender have ended.
      const isLast =
        this.random(20) === 0 && this.time >= this.lastOrder.endsAt;
      const fencing = owner.fencing;
      if (isLast) owner.fencing = null;
      this.send(owner, {type: isLast ? 'release' : 'renew', fencing});
    } else if (this.now(owner) >= getClaimDeadline(owner.readAt, lease)) {
      const index = this.processes.indexOf(owner);
      const expects = lease.lastOffset;
      this.send(owner, {type: 'claim', holder: `e${index}`, expects});
    }
  }

  private sendSeal(owner: Process): void {
    if (!this.mayAct(owner) || owner.fencing === null) return;
    const figures = {promptTokens: 0, generatedTokens: 0};
    this.send(owner, {
      type: 'seal',
      window: owner.state.lastSealed + 1,
      fencing: owner.fencing,
      // Shows who wrote the seal, whatever the fold makes of its fencing.
      figures: {writer: {...figures, requests: owner.fencing}},
      sources: [],
    });
  }

  private put(owner: Process): void {
    const key = `account/a${this.random(4)}`;
    this.send(owner, {
      type: 'put',
      key,
      baseRevision: owner.state.records.get(key)?.revision ?? 0,
      schemaVersion: 1,
      body: this.random(5) === 0 ? null : {weight: 1 + this.random(100)},
      operator: 'o',
    });
  }

  /** The log takes one append on its way, or loses it. */
  private land(): string | null {
    const waiting = this.flights.filter(
      flight => !flight.hasLanded && flight.landsAt <= this.time,
    );
    if (waiting.length === 0) return null;
    const flight = waiting[this.random(waiting.length)];
    flight.hasLanded = true;
    if (this.random(8) === 0) return null;
    return this.append(flight.appendId, flight.payload);
  }

  private append(appendId: string, sent: ControlPayload): string | null {
    const {lease, lastSealed} = this.truth;
    const payload =
      this.fault === 'unfenced_seal' && sent.type === 'seal'
        ? {...sent, fencing: lease.fencing}
        : sent;
    const record = {offset: this.log.length, appendId, payload};
    this.log.push(record);
    const previous = this.truth;
    this.truth = applyControlRecords(previous, [record]);
    if (sent.type === 'seal' && this.truth.lastSealed > lastSealed) {
      this.seen.seals++;
      const writer = sent.figures['writer'].requests;
      if (writer !== lease.fencing) return 'sealed by a former holder';
    }
    if (this.truth.lastSealed < lastSealed) return 'a seal was undone';
    if (sent.type === 'checkpoint') return this.checkUnchanged(previous);
    if (this.truth.records.size < previous.records.size) return 'a key is gone';
    return this.checkMonotonic(previous, this.truth);
  }

  private checkUnchanged(previous: ControlState): string | null {
    for (const [key, old] of previous.records) {
      const record = this.truth.records.get(key);
      const isDropped = !record && old.raw === null;
      const isSame = record?.offset === old.offset;
      if (!isSame && !isDropped) return 'a checkpoint changed a record';
    }
    const known = this.truth.records.values();
    const added = [...known].filter(({key}) => !previous.records.has(key));
    const isLive = added.some(record => record.raw !== null);
    return isLive ? 'a checkpoint brought back a record' : null;
  }

  private checkMonotonic(
    previous: ControlState,
    next: ControlState,
  ): string | null {
    for (const [key, old] of previous.records) {
      const record = next.records.get(key);
      // A read may include both the deletion and the dropped tombstone;
      // the log as a whole is checked record by record.
      const mayMiss = (next.droppedAt ?? -1) > previous.highest;
      const isOlder = record ? record.offset < old.offset : !mayMiss;
      if (isOlder) return `${key} went back`;
    }
    return null;
  }

  /** Applies a part of the log, slowly, and learns of lost answers. */
  private read(owner: Process): string | null {
    const from = owner.state.highest + 1;
    const rest = this.log.length - from;
    const count = this.random(3) === 0 ? this.random(rest + 1) : rest;
    const previous = owner.state;
    const records = this.log.slice(from, from + count);
    owner.state = applyControlRecords(previous, records);
    owner.tombstones = reconcileTombstones(
      owner.tombstones,
      owner.state,
      this.now(owner),
      TOMBSTONE_MS,
    );
    if (owner.state.lease.lastOffset !== previous.lease.lastOffset) {
      owner.readAt = this.now(owner);
    }
    this.flights = this.flights.filter(flight => {
      const isOwn = flight.owner === owner;
      const outcome = isOwn && owner.state.outcomes.get(flight.appendId);
      if (!outcome) return true;
      if (outcome.tag === 'accepted') this.learn(flight, outcome.offset);
      return false;
    });
    if (owner.fencing !== null && owner.state.lease.fencing > owner.fencing) {
      owner.fencing = null;
    }
    return this.checkMonotonic(previous, owner.state) ?? this.report(owner);
  }

  private learn({owner, payload, sentAt}: Flight, offset: number): void {
    const isClaim = payload.type === 'claim';
    if (!isClaim && payload.type !== 'renew') return;
    // A crashed process does not know its former fencing number.
    if (!isClaim && owner.fencing !== payload.fencing) return;
    const from =
      this.fault === 'deadline_after_append' ? this.now(owner) : sentAt;
    if (isClaim) {
      if (owner.state.lease.fencing !== offset) return;
      this.seen.tenures++;
      owner.fencing = offset;
      owner.deadline = 0;
    }
    owner.deadline = Math.max(owner.deadline, getHolderDeadline(from));
  }

  private order(owner: Process): string | null {
    const now = this.now(owner);
    if (owner.fencing === null) return null;
    if (!isOrderAllowed(now, owner.deadline, ORDER_TIMEOUT_MS)) return null;
    this.seen.orders++;
    const {fencing, endsAt} = this.lastOrder;
    if (owner.fencing < fencing) return 'order after the successor';
    if (owner.fencing > fencing && this.time < endsAt) return 'orders overlap';
    const timeoutMs = ORDER_TIMEOUT_MS / owner.rate;
    this.lastOrder = {fencing: owner.fencing, endsAt: this.time + timeoutMs};
    return null;
  }

  private report(owner: Process): string | null {
    if (!this.mayAct(owner)) return null;
    for (const [window, seal] of owner.state.seals) {
      const text = JSON.stringify((seal as Seal).figures);
      const known = this.reports.get(window) ?? text;
      if (known !== text) return `window ${window} has two reports`;
      this.reports.set(window, text);
    }
    return null;
  }

  /** Writes the next batch of a cycle, also on behalf of a lapsed holder. */
  private checkpoint(owner: Process): string | null {
    if (owner.fencing === null) return null;
    const {state, fencing} = owner;
    const now = this.now(owner);
    owner.cycle ??= createCheckpointCycle(
      state,
      owner.tombstones,
      now,
      RETENTION_MS,
    );
    const plan = planCheckpoint(owner.cycle, state, fencing, now);
    if (this.random(4) === 0) return null;
    const id = `checkpoint-${this.log.length}`;
    const violation = this.append(id, plan.checkpoint);
    if (violation) return violation;
    // A lost answer: the batch is written again.
    if (this.random(4) === 0) return null;
    const {cycleStart} = owner.cycle;
    owner.cycle = plan.cycle;
    return plan.cycle ? null : this.checkCycle(cycleStart);
  }

  /** A reader that starts where the cycle began must have everything. */
  private checkCycle(cycleStart: number): string | null {
    this.seen.cycles++;
    const late = replayTruncatedLog(this.log.slice(cycleStart));
    if (!late) return 'a complete cycle cannot be read';
    const getDecided = ({records, lease, lastSealed}: ControlState) =>
      JSON.stringify({
        records: [...records].sort(([a], [b]) => (a < b ? -1 : 1)),
        lease,
        lastSealed,
      });
    return getDecided(late) === getDecided(this.truth)
      ? null
      : `the reader from ${cycleStart} has another state`;
  }
}

function findViolation(fault: Fault): string | null {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const violation = new Exploration(seed, fault).run();
    if (violation) return `seed ${seed}: ${violation}`;
  }
  return null;
}

describe('lease model', () => {
  it('holds in random interleavings', () => {
    // Guards against two holders, repeated seals and reverted configuration.
    assert.equal(findViolation('none'), null);
  });

  it('reaches tenures, orders, seals and whole cycles', () => {
    // Guards against a check that passes because nothing happens.
    const seen = {orders: 0, seals: 0, tenures: 0, cycles: 0};
    for (let seed = 1; seed <= SEEDS; seed++) {
      const exploration = new Exploration(seed, 'none');
      exploration.run();
      for (const name of ['orders', 'seals', 'tenures', 'cycles'] as const) {
        seen[name] += exploration.seen[name];
      }
    }
    assert.ok(
      seen.tenures > SEEDS && seen.orders > SEEDS,
      JSON.stringify(seen),
    );
    assert.ok(seen.seals > SEEDS && seen.cycles > SEEDS, JSON.stringify(seen));
  });

  it('finds a deadline that counts from after the append', () => {
    // Tests the check itself.
    assert.match(findViolation('deadline_after_append') ?? '', /two processes/);
  });

  it('finds a seal without a fencing check', () => {
    // Tests the check itself.
    assert.match(findViolation('unfenced_seal') ?? '', /former holder/);
  });

  it('has a lease that outlasts the longest order', () => {
    // Guards against constants that allow no order at all.
    assert.ok(isOrderAllowed(0, getHolderDeadline(0), ORDER_TIMEOUT_MS));
    assert.ok(LEASE_MS > ORDER_TIMEOUT_MS);
  });
});
