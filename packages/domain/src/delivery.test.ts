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
  /** Acknowledgements that wait for the log. */
  pending: Set<SampleId>;
}

/** Two entries, one trainer, the log, and the connection between them. */
class World {
  entries: Array<Entry | null> = [null, null];
  recorded = new Set<SampleId>();
  isLogUp = true;
  arrivals: SampleId[] = [];
  has = new Set<SampleId>();
  link: {entry: number; number: number; lines: SampleId[]} | null = null;

  connect(index: number): void {
    let entry = this.entries[index];
    if (!entry) {
      entry = {delivery: new StepDelivery(IDS), pending: new Set()};
      this.entries[index] = entry;
    }
    // Lines of an abandoned connection are not read any more.
    const number = entry.delivery.reserve();
    const known = this.isLogUp ? this.recorded : [];
    entry.delivery.open(number, [...known, ...this.has]);
    this.link = {entry: index, number, lines: []};
  }

  generate(index: number, id: SampleId): void {
    const delivery = this.entries[index]?.delivery;
    delivery?.markRunning(id);
    delivery?.markReady(id);
  }

  drop(index: number, id: SampleId): void {
    this.entries[index]?.delivery.markPending(id);
  }

  send(): void {
    const entry = this.link && this.entries[this.link.entry];
    if (!this.link || !entry) return;
    const id = entry.delivery.getNextReady(this.link.number);
    if (id === null) return;
    assert.ok(entry.delivery.markSent(this.link.number, id));
    this.link.lines.push(id);
  }

  receive(): void {
    const id = this.link?.lines.shift();
    if (id === undefined) return;
    this.arrivals.push(id);
    this.has.add(id);
  }

  acknowledge(index: number): void {
    const entry = this.entries[index];
    if (!entry) return;
    entry.delivery.acknowledge(this.has);
    for (const id of this.has) entry.pending.add(id);
  }

  flush(index: number): void {
    if (!this.isLogUp) return;
    for (const id of this.entries[index]?.pending ?? []) this.recorded.add(id);
  }

  crash(index: number): void {
    this.entries[index] = null;
    if (this.link?.entry === index) this.link = null;
  }

  /** A restarted trainer that kept only what the log holds. */
  loseState(): void {
    this.link = null;
    const kept = new Set(this.recorded);
    // The rest is gone at the trainer, so its next arrival is the only one.
    this.arrivals = this.arrivals.filter(id => kept.has(id));
    this.has = kept;
  }
}

const index = fc.nat(1);
const id = fc.constantFrom(...IDS);
const event = fc.oneof(
  index.map(i => (w: World) => w.connect(i)),
  fc.tuple(index, id).map(
    ([i, s]) =>
      (w: World) =>
        w.generate(i, s),
  ),
  fc.tuple(index, id).map(
    ([i, s]) =>
      (w: World) =>
        w.drop(i, s),
  ),
  fc.constant((w: World) => w.send()),
  fc.constant((w: World) => w.receive()),
  fc.constant((w: World) => void (w.link = null)),
  index.map(i => (w: World) => w.acknowledge(i)),
  index.map(i => (w: World) => w.flush(i)),
  index.map(i => (w: World) => w.crash(i)),
  fc.boolean().map(isUp => (w: World) => void (w.isLogUp = isUp)),
  fc.constant((w: World) => w.loseState()),
);

describe('delivery of a step', () => {
  it('sends each sample once and loses none (guards: repeats and losses after cuts, crashes and log outages)', () => {
    fc.assert(
      fc.property(fc.array(event, {maxLength: 120}), events => {
        const world = new World();
        for (const apply of events) {
          apply(world);
          const distinct = new Set(world.arrivals);
          assert.equal(distinct.size, world.arrivals.length);
        }
        world.isLogUp = true;
        world.connect(0);
        for (const sample of IDS) world.generate(0, sample);
        for (const _ of IDS) {
          world.send();
          world.receive();
        }
        assert.ok(world.entries[0]?.delivery.isAllSent());
        assert.deepEqual([...world.has].sort(), [...IDS].sort());
        assert.equal(new Set(world.arrivals).size, world.arrivals.length);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('sends nothing for a replaced request (guards: two streams of one step)', () => {
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
