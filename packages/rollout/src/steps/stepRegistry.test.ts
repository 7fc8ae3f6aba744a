import type {RequestId, SampleId} from '@vanillacross/common';
import {ManualClock, toBranded, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Sample, SampleResult, Step} from '../model/index.js';
import type {StepRecord} from './records.js';
import {decodeStepRecord, encodeStepRecord} from './records.js';
import {StepRegistry} from './stepRegistry.js';

const STEP = toBranded<RequestId>('step');

function createSample(id: string): Sample {
  return {
    id: toBranded<SampleId>(id),
    path: '/steps/1',
    headers: {},
    body: '',
    tokens: 1,
    expectedTokens: null,
    prompt: null,
    group: 'g',
    scoring: null,
  };
}

function createStep(minVersion = 1): Step {
  return {
    id: STEP,
    account: null,
    route: 'steps',
    host: 'desk.example',
    model: 'm',
    minVersion,
    targetGroups: 1,
    acceptedAt: 0,
    samples: [createSample('a'), createSample('b')],
  };
}

function createResult(sample: string, offset: string): StepRecord {
  const result: SampleResult = {
    sample: toBranded<SampleId>(sample),
    state: 'completed',
    versions: [1],
    score: 's',
    text: {partition: 0, offset: Number(offset), bytes: 1},
  };
  return {tag: 'result', step: STEP, result};
}

function createRegistry(records: StepRecord[]): StepRegistry {
  const registry = new StepRegistry(
    new ManualClock(),
    createLogger('test', 'silent'),
    1_000,
    {partitionCount: 1, samplesPerOwner: 40},
  );
  for (const record of records) {
    const decoded = decodeStepRecord(encodeStepRecord(record));
    assert.ok(decoded.ok);
    registry.apply(decoded.value, 0);
  }
  return registry;
}

describe('StepRegistry', () => {
  describe('results', () => {
    it('lists only the first result of a sample (a trainer must not receive a sample twice)', () => {
      const registry = createRegistry([
        {tag: 'step', step: createStep()},
        createResult('b', '1'),
        createResult('b', '2'),
        createResult('a', '3'),
        createResult('x', '4'),
      ]);
      const offsets = registry.get(0, STEP)!.results.map(r => r.text?.offset);
      assert.deepEqual(offsets, [1, 3]);
    });

    it('lists no result after the end of the step (the position that a caller reads from must not move)', () => {
      const registry = createRegistry([
        {tag: 'step', step: createStep()},
        createResult('b', '1'),
        {tag: 'end', step: STEP},
        createResult('a', '5'),
      ]);
      assert.equal(registry.get(0, STEP)!.results.length, 1);
    });
  });

  describe('a step', () => {
    it('keeps its first record if it is submitted again', () => {
      const registry = createRegistry([
        {tag: 'step', step: createStep(1)},
        {tag: 'step', step: createStep(7)},
      ]);
      assert.equal(registry.get(0, STEP)!.step.minVersion, 1);
    });

    it('is independent of a step with the same id in another partition (accounts must not affect each other)', () => {
      const registry = createRegistry([{tag: 'step', step: createStep(1)}]);
      registry.apply({tag: 'step', step: createStep(7)}, 1);
      registry.apply(createResult('a', '3'), 1);
      assert.equal(registry.get(0, STEP)!.results.length, 0);
      assert.equal(registry.get(1, STEP)!.step.minVersion, 7);
      assert.equal(registry.get(1, STEP)!.results.length, 1);
      assert.equal(
        registry.getCompleted(0, toBranded<SampleId>('a')),
        undefined,
      );
    });

    it('is ended by an end record that precedes it in the stream', () => {
      const registry = createRegistry([
        {tag: 'end', step: STEP},
        {tag: 'step', step: createStep()},
      ]);
      assert.ok(registry.get(0, STEP)!.isEnded);
    });

    it('counts the partition owners that run its samples (they share the request rate of cold engines)', () => {
      const samples = Array.from({length: 300}, (_, n) =>
        createSample(`s${n}`),
      );
      const large = {
        ...createStep(),
        id: toBranded<RequestId>('large'),
        samples,
      };
      const registry = createRegistry([
        {tag: 'step', step: createStep()},
        {tag: 'step', step: large},
      ]);
      assert.equal(registry.getOpenRunnerCount(), 8);
      registry.apply({tag: 'end', step: large.id}, 0);
      assert.equal(registry.getOpenRunnerCount(), 1);
      registry.apply({tag: 'end', step: STEP}, 0);
      assert.equal(registry.getOpenRunnerCount(), 0);
    });

    it('requires its minimum version while it is open', () => {
      const withOpenStep = createRegistry([{tag: 'step', step: createStep(3)}]);
      assert.equal(withOpenStep.getNeededVersion('m'), 3);
      const withEndedStep = createRegistry([
        {tag: 'step', step: createStep(3)},
        {tag: 'end', step: STEP},
      ]);
      assert.equal(withEndedStep.getNeededVersion('m'), 0);
    });
  });

  describe('records', () => {
    it('are rejected if they are not JSON or their schema version is unknown', () => {
      const newer = Buffer.from('{"tag":"end","schema":2,"step":"s"}');
      assert.equal(decodeStepRecord(newer).ok, false);
      assert.equal(decodeStepRecord(Buffer.from('not JSON')).ok, false);
    });

    it('keep the prompt of a sample, and are read without it (guards against steps that a new release loses)', () => {
      const whole = {
        model: 'm',
        parts: [{id: 'a', tokens: 1}],
        outputTokens: 9,
      };
      for (const prompt of [whole, undefined, {parts: 'a:1000'}]) {
        const samples = [{...createSample('a'), prompt: prompt as never}];
        const step = {...createStep(), samples};
        const read = decodeStepRecord(encodeStepRecord({tag: 'step', step}));
        assert.ok(read.ok && read.value.tag === 'step');
        const decoded = prompt === whole ? whole : null;
        assert.deepEqual(read.value.step.samples[0].prompt, decoded);
      }
    });
  });
});
