import {createRandom} from '@vanillacross/common';
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
/** Maximum time that an append is in flight. */
const MAX_LAG_MS = 30_000;
/** Short, so that tombstones are dropped often. */
const TOMBSTONE_MS = 20_000;

/** Faults injected to check that the model detects them. */
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

/**
 * An append in flight. It may reach the log late, and its response may be lost.
 */
interface PendingAppend {
  owner: Process;
  payload: ControlPayload;
  sentAt: number;
  /** Earliest time at which the log accepts it. */
  arrivesAt: number;
  appendId: string;
  hasArrived: boolean;
}

/** Creates a seeded generator of integers below `below`. */
function createRandomInteger(seed: number): (below: number) => number {
  const random = createRandom(seed);
  return below => (random() * 2 ** 32) % below;
}

/** One random interleaving of two or three entries. */
class ModelRun {
  private time = 0;
  private readonly log: LogRecord[] = [];
  private pendingAppends: PendingAppend[] = [];
  private readonly processes: Process[];
  private readonly reports = new Map<number, string>();
  private state: ControlState = emptyControlState;
  private lastOrder = {fencing: -1, endsAt: 0};
  private readonly random: (below: number) => number;
  readonly coverage = {orders: 0, seals: 0, tenures: 0, cycles: 0};

  constructor(
    seed: number,
    private readonly fault: Fault,
  ) {
    this.random = createRandomInteger(seed);
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

  /** Returns the first violated property; null if there is none. */
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
    else if (choice < 50) return this.deliverAppend();
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

  private holdsLease(owner: Process): boolean {
    return owner.fencing !== null && this.now(owner) < owner.deadline;
  }

  private checkHolders(): string | null {
    const holders = this.processes.filter(owner => this.holdsLease(owner));
    return holders.length > 1 ? 'two processes may send orders' : null;
  }

  private send(owner: Process, payload: ControlPayload): void {
    this.pendingAppends.push({
      owner,
      payload,
      sentAt: this.now(owner),
      arrivesAt:
        this.time + (this.random(4) === 0 ? this.random(MAX_LAG_MS) : 0),
      appendId: `append-${this.pendingAppends.length}-${this.random(2 ** 31)}`,
      hasArrived: false,
    });
  }

  private sendLeaseRecord(owner: Process): void {
    const {lease} = owner.state;
    if (owner.fencing !== null) {
      // A release waits until the orders of its sender have ended.
      const isRelease =
        this.random(20) === 0 && this.time >= this.lastOrder.endsAt;
      const fencing = owner.fencing;
      if (isRelease) owner.fencing = null;
      this.send(owner, {type: isRelease ? 'release' : 'renew', fencing});
    } else if (this.now(owner) >= getClaimDeadline(owner.readAt, lease)) {
      const index = this.processes.indexOf(owner);
      const expects = lease.lastOffset;
      this.send(owner, {type: 'claim', holder: `e${index}`, expects});
    }
  }

  private sendSeal(owner: Process): void {
    if (!this.holdsLease(owner) || owner.fencing === null) return;
    const figures = {promptTokens: 0, generatedTokens: 0};
    this.send(owner, {
      type: 'seal',
      window: owner.state.lastSealed + 1,
      fencing: owner.fencing,
      // Identifies the writer of the seal, whatever fencing token the seal is
      // applied with.
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

  /** Delivers one append to the log, or loses it. */
  private deliverAppend(): string | null {
    const arriving = this.pendingAppends.filter(
      item => !item.hasArrived && item.arrivesAt <= this.time,
    );
    if (arriving.length === 0) return null;
    const pending = arriving[this.random(arriving.length)];
    pending.hasArrived = true;
    if (this.random(8) === 0) return null;
    return this.append(pending.appendId, pending.payload);
  }

  private append(appendId: string, sent: ControlPayload): string | null {
    const {lease, lastSealed} = this.state;
    const payload =
      this.fault === 'unfenced_seal' && sent.type === 'seal'
        ? {...sent, fencing: lease.fencing}
        : sent;
    const record = {offset: this.log.length, appendId, payload};
    this.log.push(record);
    const previous = this.state;
    this.state = applyControlRecords(previous, [record]);
    if (sent.type === 'seal' && this.state.lastSealed > lastSealed) {
      this.coverage.seals++;
      const writer = sent.figures['writer'].requests;
      if (writer !== lease.fencing) return 'sealed by a former holder';
    }
    if (this.state.lastSealed < lastSealed) return 'lastSealed decreased';
    if (sent.type === 'checkpoint') return this.checkUnchanged(previous);
    if (this.state.records.size < previous.records.size) return 'a key is lost';
    return this.checkMonotonic(previous, this.state);
  }

  private checkUnchanged(previous: ControlState): string | null {
    for (const [key, old] of previous.records) {
      const record = this.state.records.get(key);
      const isDropped = !record && old.raw === null;
      const isSame = record?.offset === old.offset;
      if (!isSame && !isDropped) return 'a checkpoint changed a record';
    }
    const known = this.state.records.values();
    const added = [...known].filter(({key}) => !previous.records.has(key));
    const isLive = added.some(record => record.raw !== null);
    return isLive ? 'a checkpoint restored a deleted record' : null;
  }

  private checkMonotonic(
    previous: ControlState,
    next: ControlState,
  ): string | null {
    for (const [key, old] of previous.records) {
      const record = next.records.get(key);
      // A read may include both the deletion and the dropped tombstone;
      // `append` checks the log record by record.
      const mayMiss = (next.droppedAt ?? -1) > previous.highest;
      const isOlder = record ? record.offset < old.offset : !mayMiss;
      if (isOlder) return `${key} reverted to an older revision`;
    }
    return null;
  }

  /**
   * Applies a part of the log, and learns the outcome of appends whose response
   * was lost.
   */
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
    this.pendingAppends = this.pendingAppends.filter(item => {
      const isOwn = item.owner === owner;
      const outcome = isOwn && owner.state.outcomes.get(item.appendId);
      if (!outcome) return true;
      if (outcome.tag === 'accepted') this.applyOutcome(item, outcome.offset);
      return false;
    });
    if (owner.fencing !== null && owner.state.lease.fencing > owner.fencing) {
      owner.fencing = null;
    }
    return this.checkMonotonic(previous, owner.state) ?? this.report(owner);
  }

  private applyOutcome(
    {owner, payload, sentAt}: PendingAppend,
    offset: number,
  ): void {
    const isClaim = payload.type === 'claim';
    if (!isClaim && payload.type !== 'renew') return;
    // A restarted process does not know its former fencing token.
    if (!isClaim && owner.fencing !== payload.fencing) return;
    const from =
      this.fault === 'deadline_after_append' ? this.now(owner) : sentAt;
    if (isClaim) {
      if (owner.state.lease.fencing !== offset) return;
      this.coverage.tenures++;
      owner.fencing = offset;
      owner.deadline = 0;
    }
    owner.deadline = Math.max(owner.deadline, getHolderDeadline(from));
  }

  private order(owner: Process): string | null {
    const now = this.now(owner);
    if (owner.fencing === null) return null;
    if (!isOrderAllowed(now, owner.deadline, ORDER_TIMEOUT_MS)) return null;
    this.coverage.orders++;
    const {fencing, endsAt} = this.lastOrder;
    if (owner.fencing < fencing) return 'order after a takeover';
    if (owner.fencing > fencing && this.time < endsAt) return 'orders overlap';
    const timeoutMs = ORDER_TIMEOUT_MS / owner.rate;
    this.lastOrder = {fencing: owner.fencing, endsAt: this.time + timeoutMs};
    return null;
  }

  private report(owner: Process): string | null {
    if (!this.holdsLease(owner)) return null;
    for (const [window, seal] of owner.state.seals) {
      const text = JSON.stringify((seal as Seal).figures);
      const known = this.reports.get(window) ?? text;
      if (known !== text) return `window ${window} has two different reports`;
      this.reports.set(window, text);
    }
    return null;
  }

  /**
   * Writes the next batch of a cycle, even if the lease of the holder has
   * lapsed.
   */
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
    // The response is lost, so the batch is written again.
    if (this.random(4) === 0) return null;
    const {cycleStart} = owner.cycle;
    owner.cycle = plan.cycle;
    return plan.cycle ? null : this.checkCycle(cycleStart);
  }

  /**
   * Checks that a reader that starts at the beginning of a cycle gets the
   * complete state.
   */
  private checkCycle(cycleStart: number): string | null {
    this.coverage.cycles++;
    const rebuilt = replayTruncatedLog(this.log.slice(cycleStart));
    if (!rebuilt) return 'a complete cycle cannot be replayed';
    const serializeResult = ({records, lease, lastSealed}: ControlState) =>
      JSON.stringify({
        records: [...records].sort(([a], [b]) => (a < b ? -1 : 1)),
        lease,
        lastSealed,
      });
    return serializeResult(rebuilt) === serializeResult(this.state)
      ? null
      : `replay from offset ${cycleStart} gives a different state`;
  }
}

function findViolation(fault: Fault): string | null {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const violation = new ModelRun(seed, fault).run();
    if (violation) return `seed ${seed}: ${violation}`;
  }
  return null;
}

describe('lease model', () => {
  it('finds no violation in random interleavings', () => {
    // Guards against two lease holders, repeated seals and reverted
    // configuration.
    assert.equal(findViolation('none'), null);
  });

  it('covers lease tenures, orders, seals and complete cycles', () => {
    // Guards against a model in which nothing happens, so that it can find no
    // violation.
    const total = {orders: 0, seals: 0, tenures: 0, cycles: 0};
    for (let seed = 1; seed <= SEEDS; seed++) {
      const modelRun = new ModelRun(seed, 'none');
      modelRun.run();
      for (const name of ['orders', 'seals', 'tenures', 'cycles'] as const) {
        total[name] += modelRun.coverage[name];
      }
    }
    assert.ok(
      total.tenures > SEEDS && total.orders > SEEDS,
      JSON.stringify(total),
    );
    assert.ok(
      total.seals > SEEDS && total.cycles > SEEDS,
      JSON.stringify(total),
    );
  });

  it('detects a lease deadline that counts from after the append', () => {
    // Injects a fault to show that the model detects violations.
    assert.match(findViolation('deadline_after_append') ?? '', /two processes/);
  });

  it('detects a seal without a fencing check', () => {
    // Injects a fault to show that the model detects violations.
    assert.match(findViolation('unfenced_seal') ?? '', /former holder/);
  });

  it('uses a lease that outlasts the longest order', () => {
    // Guards against constants that allow no order at all.
    assert.ok(isOrderAllowed(0, getHolderDeadline(0), ORDER_TIMEOUT_MS));
    assert.ok(LEASE_MS > ORDER_TIMEOUT_MS);
  });
});
