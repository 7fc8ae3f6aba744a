import type {RequestId, SampleId} from '@vanillacross/common';
import {createLogger, toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Route, Sample, Step} from '../model/index.js';
import {
  MODEL,
  POOL_ID,
  createDirectoryFixture,
} from '../testing/directoryFixture.js';
import {getRunnerPartition} from './runnerPartition.js';
import {SampleTask} from './sampleTask.js';
import {SlotShares} from './slotShares.js';
import {StepRegistry} from './stepRegistry.js';

/** Two processes run a step of 80 samples. */
const LAYOUT = {partitionCount: 12, samplesPerOwner: 40};
const ENGINES = 10;

function createStep(id: string, sampleCount: number): Step {
  const samples = Array.from({length: sampleCount}, (_, index): Sample => {
    return {
      id: toBranded<SampleId>(`${id}-${index}`),
      path: '/',
      headers: {},
      body: '',
      tokens: 1,
      expectedTokens: null,
      prompt: null,
      group: 'g',
      scoring: null,
    };
  });
  return {
    id: toBranded<RequestId>(id),
    account: null,
    route: 'steps',
    host: 'h',
    model: MODEL,
    minVersion: 1,
    targetGroups: 1,
    acceptedAt: 0,
    samples,
  };
}

/** Engines, and the shares of a process that owns some partitions of a step. */
function createFixture(ownedPartitions: readonly number[]) {
  const {clock, directory, list} = createDirectoryFixture();
  for (let index = 0; index < ENGINES; index++) list(`engine-${index}`);
  const logger = createLogger('test', 'silent');
  const registry = new StepRegistry(clock, logger, 1_000, LAYOUT);
  registry.apply({tag: 'step', step: createStep('s', 80)}, 0);
  const [tracked] = registry.getAll();
  const route = {targets: [{pool: POOL_ID, weight: 1}]} as unknown as Route;
  const shares = new SlotShares({
    registry,
    directory,
    clock,
    layout: LAYOUT,
    getOwnedPartitions: () => new Set(ownedPartitions),
    getRoute: () => route,
  });
  const tasks = tracked.step.samples
    .map((sample, position) => ({
      sample,
      position,
      partition: getRunnerPartition(0, position, LAYOUT),
    }))
    .filter(({partition}) => ownedPartitions.includes(partition))
    .map(
      ({sample, position, partition}) =>
        new SampleTask(
          tracked,
          sample,
          position,
          partition,
          'chain',
          clock.now(),
        ),
    );
  shares.refresh(tasks);
  const getEngines = () =>
    directory
      .getUsable(POOL_ID)
      .filter(engine => shares.mayStart(tasks[0], engine))
      .map(({id}) => String(id));
  const engines = directory.getUsable(POOL_ID);
  const startAll = () => {
    for (const task of tasks) {
      for (const engine of engines) shares.mayStart(task, engine);
    }
  };
  return {clock, getEngines, engines, startAll};
}

describe('SlotShares', () => {
  describe('with two processes that run a step', () => {
    it('gives each its own engines (guards against connections of all processes to all engines)', () => {
      const first = createFixture([0]).getEngines();
      const second = createFixture([1]).getEngines();
      assert.equal(first.length + second.length, ENGINES);
      assert.equal(new Set([...first, ...second]).size, ENGINES);
      assert.ok(Math.min(first.length, second.length) >= ENGINES / 4);
    });

    it('lets a sample that waits take any engine (guards against samples that wait while engines have room)', () => {
      const {clock, getEngines} = createFixture([0]);
      clock.advance(1_000);
      assert.equal(getEngines().length, ENGINES);
    });
  });

  it('computes the share of a step once for all its samples (guards against rounds whose cost grows with the product of samples, engines and steps)', () => {
    const {engines, startAll} = createFixture([0, 1]);
    let reads = 0;
    for (const {entry} of engines) {
      const {slots} = entry;
      const get = () => (reads++, slots);
      Object.defineProperty(entry, 'slots', {get});
    }
    startAll();
    assert.ok(reads <= ENGINES, `${reads} computations for 80 samples`);
  });

  describe('when one of the processes has ended', () => {
    it('gives all engines to the other one', () => {
      assert.equal(createFixture([0, 1]).getEngines().length, ENGINES);
    });
  });
});
