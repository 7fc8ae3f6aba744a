import type {SampleId} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {StepDelivery} from './delivery.js';
import {getSampleId} from './samples.js';

const SEED = 20_261_204;
const RUNS = 500;
const IDS = Array.from({length: 6}, (_, i) => getSampleId('t', 's', 'g', i));

interface Entry {
  delivery: StepDelivery;
  /** Acknowledgements that are not in the log yet. */
  pending: Set<SampleId>;
}

/**
 * Model of two entries, one trainer, the log, and the connection between an
 * entry and the trainer.
 */
class Model {
  entries: Array<Entry | null> = [null, null];
  recorded = new Set<SampleId>();
  isLogUp = true;
  arrivals: SampleId[] = [];
  received = new Set<SampleId>();
  connection: {entry: number; number: number; lines: SampleId[]} | null = null;

  connect(index: number): void {
    let entry = this.entries[index];
    if (!entry) {
      entry = {delivery: new StepDelivery(IDS), pending: new Set()};
      this.entries[index] = entry;
    }
    // The trainer reads no more lines of an abandoned connection.
    const number = entry.delivery.reserve();
    const recorded = this.isLogUp ? this.recorded : [];
    entry.delivery.open(number, [...recorded, ...this.received]);
    this.connection = {entry: index, number, lines: []};
  }

  generate(index: number, id: SampleId): void {
    const delivery = this.entries[index]?.delivery;
    delivery?.markRunning(id);
    delivery?.markReady(id);
  }

  discard(index: number, id: SampleId): void {
    this.entries[index]?.delivery.markPending(id);
  }

  send(): void {
    const entry = this.connection && this.entries[this.connection.entry];
    if (!this.connection || !entry) return;
    const id = entry.delivery.getNextReady(this.connection.number);
    if (id === null) return;
    assert.ok(entry.delivery.markSent(this.connection.number, id));
    this.connection.lines.push(id);
  }

  receive(): void {
    const id = this.connection?.lines.shift();
    if (id === undefined) return;
    this.arrivals.push(id);
    this.received.add(id);
  }

  acknowledge(index: number): void {
    const entry = this.entries[index];
    if (!entry) return;
    entry.delivery.acknowledge(this.received);
    for (const id of this.received) entry.pending.add(id);
  }

  recordAcknowledgements(index: number): void {
    if (!this.isLogUp) return;
    for (const id of this.entries[index]?.pending ?? []) this.recorded.add(id);
  }

  crash(index: number): void {
    this.entries[index] = null;
    if (this.connection?.entry === index) this.connection = null;
  }

  /** Restarts the trainer, which keeps only the samples recorded in the log. */
  restartTrainer(): void {
    this.connection = null;
    const kept = new Set(this.recorded);
    // The trainer lost the other samples, so their next arrival counts as the
    // first.
    this.arrivals = this.arrivals.filter(id => kept.has(id));
    this.received = kept;
  }
}

const index = fc.nat(1);
const id = fc.constantFrom(...IDS);
const event = fc.oneof(
  index.map(i => (model: Model) => model.connect(i)),
  fc.tuple(index, id).map(
    ([i, s]) =>
      (model: Model) =>
        model.generate(i, s),
  ),
  fc.tuple(index, id).map(
    ([i, s]) =>
      (model: Model) =>
        model.discard(i, s),
  ),
  fc.constant((model: Model) => model.send()),
  fc.constant((model: Model) => model.receive()),
  fc.constant((model: Model) => void (model.connection = null)),
  index.map(i => (model: Model) => model.acknowledge(i)),
  index.map(i => (model: Model) => model.recordAcknowledgements(i)),
  index.map(i => (model: Model) => model.crash(i)),
  fc.boolean().map(isUp => (model: Model) => void (model.isLogUp = isUp)),
  fc.constant((model: Model) => model.restartTrainer()),
);

describe('delivery of a step', () => {
  it('sends each sample once and loses none', () => {
    // Guards against repeated and lost samples after lost connections, crashes
    // and log outages.
    fc.assert(
      fc.property(fc.array(event, {maxLength: 120}), events => {
        const model = new Model();
        for (const apply of events) {
          apply(model);
          const distinct = new Set(model.arrivals);
          assert.equal(distinct.size, model.arrivals.length);
        }
        model.isLogUp = true;
        model.connect(0);
        for (const sample of IDS) model.generate(0, sample);
        for (const _ of IDS) {
          model.send();
          model.receive();
        }
        assert.ok(model.entries[0]?.delivery.isAllSent());
        assert.deepEqual([...model.received].sort(), [...IDS].sort());
        assert.equal(new Set(model.arrivals).size, model.arrivals.length);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('sends nothing for a superseded request', () => {
    // Guards against two concurrent streams of one step.
    const delivery = new StepDelivery(IDS);
    const older = delivery.reserve();
    delivery.markReady(IDS[0]);
    assert.equal(delivery.getNextReady(older), IDS[0]);
    const newer = delivery.reserve();
    assert.equal(delivery.getNextReady(older), null);
    assert.equal(delivery.markSent(older, IDS[0]), false);
    assert.equal(delivery.markSent(newer, IDS[0]), true);
  });
});
