import type {RequestId, SampleId} from '@vanillacross/common';
import {ManualClock, as, createLogger} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Sample, SampleResult, Step} from '../model/index.js';
import type {StepRecord} from './records.js';
import {decodeStepRecord, encodeStepRecord} from './records.js';
import {StepRegistry} from './stepRegistry.js';

const STEP = as<RequestId>('step');

function getSample(id: string): Sample {
  return {
    id: as<SampleId>(id),
    path: '/steps/1',
    headers: {},
    body: '',
    tokens: 1,
    expectedTokens: null,
    group: 'g',
    scoring: null,
  };
}

function getStep(minVersion = 1): Step {
  return {
    id: STEP,
    account: null,
    route: 'steps',
    host: 'desk.example',
    model: 'm',
    minVersion,
    targetGroups: 1,
    acceptedAt: 0,
    samples: [getSample('a'), getSample('b')],
  };
}

function getResult(sample: string, text: string): StepRecord {
  const result: SampleResult = {
    sample: as<SampleId>(sample),
    state: 'completed',
    versions: [1],
    score: 's',
    text: {partition: 0, offset: Number(text), bytes: 1},
  };
  return {tag: 'result', step: STEP, result};
}

function createBook(records: StepRecord[]): StepRegistry {
  const book = new StepRegistry(
    new ManualClock(),
    createLogger('test', 'silent'),
    1_000,
  );
  for (const record of records) {
    const decoded = decodeStepRecord(encodeStepRecord(record));
    assert.ok(decoded.ok);
    book.apply(decoded.value, 0);
  }
  return book;
}

describe('StepBook', () => {
  describe('results', () => {
    it('lists the first result of a sample only (guards doubled results)', () => {
      const book = createBook([
        {tag: 'step', step: getStep()},
        getResult('b', '1'),
        getResult('b', '2'),
        getResult('a', '3'),
        getResult('x', '4'),
      ]);
      const places = book.get(0, STEP)!.results.map(r => r.text?.offset);
      assert.deepEqual(places, [1, 3]);
    });

    it('lists nothing after the end (guards a moving position)', () => {
      const book = createBook([
        {tag: 'step', step: getStep()},
        getResult('b', '1'),
        {tag: 'end', step: STEP},
        getResult('a', '5'),
      ]);
      assert.equal(book.get(0, STEP)!.results.length, 1);
    });
  });

  describe('a step', () => {
    it('counts once when it is submitted again', () => {
      const book = createBook([
        {tag: 'step', step: getStep(1)},
        {tag: 'step', step: getStep(7)},
      ]);
      assert.equal(book.get(0, STEP)!.step.minVersion, 1);
    });

    it('is not hidden by one with its id in another partition (guards accounts from each other)', () => {
      const book = createBook([{tag: 'step', step: getStep(1)}]);
      book.apply({tag: 'step', step: getStep(7)}, 1);
      book.apply(getResult('a', '3'), 1);
      assert.equal(book.get(0, STEP)!.results.length, 0);
      assert.equal(book.get(1, STEP)!.step.minVersion, 7);
      assert.equal(book.get(1, STEP)!.results.length, 1);
      assert.equal(book.getCompleted(0, as<SampleId>('a')), undefined);
    });

    it('is ended by an end that was stored before it', () => {
      const book = createBook([
        {tag: 'end', step: STEP},
        {tag: 'step', step: getStep()},
      ]);
      assert.ok(book.get(0, STEP)!.isEnded);
    });

    it('counts the owners that run its samples (guards cold engines)', () => {
      const samples = Array.from({length: 300}, (_, n) => getSample(`s${n}`));
      const large = {...getStep(), id: as<RequestId>('large'), samples};
      const book = createBook([
        {tag: 'step', step: getStep()},
        {tag: 'step', step: large},
      ]);
      assert.equal(book.getOpenRunnerCount(), 8);
      book.apply({tag: 'end', step: large.id}, 0);
      assert.equal(book.getOpenRunnerCount(), 1);
      book.apply({tag: 'end', step: STEP}, 0);
      assert.equal(book.getOpenRunnerCount(), 0);
    });

    it('tells the version that its model needs while it is open', () => {
      const open = createBook([{tag: 'step', step: getStep(3)}]);
      assert.equal(open.getNeededVersion('m'), 3);
      const ended = createBook([
        {tag: 'step', step: getStep(3)},
        {tag: 'end', step: STEP},
      ]);
      assert.equal(ended.getNeededVersion('m'), 0);
    });
  });

  describe('records', () => {
    it('are refused if their layout is unknown', () => {
      const newer = Buffer.from('{"tag":"end","schema":2,"step":"s"}');
      assert.equal(decodeStepRecord(newer).ok, false);
      assert.equal(decodeStepRecord(Buffer.from('no line')).ok, false);
    });
  });
});
