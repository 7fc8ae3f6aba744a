import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {SampleScheduler} from './sampleScheduler.js';
import type {StepContent} from './samples.js';
import {
  canMeetVersionAge,
  checkSpans,
  getSampleAge,
  getSampleSpecs,
  getStepHash,
  isWithinVersionAge,
  joinSpans,
  stepSchema,
} from './samples.js';

const SEED = 20_261_204;

function getSpecs(trainer: string, groups: number, count: number, max = 10) {
  const content: StepContent = {
    policyVersion: 1,
    groups: Array.from({length: groups}, (_, group) => ({
      group,
      prompt: 'p',
      count,
      maxTokens: max,
    })),
  };
  return getSampleSpecs(trainer, 's', content);
}

function addStep(
  schedule: SampleScheduler,
  trainer: string,
  weight: number,
  groups: number,
  count: number,
  max?: number,
): void {
  const specs = getSpecs(trainer, groups, count, max);
  schedule.addStep(trainer, weight, 's', specs, () => true);
}

describe('sample scheduler', () => {
  it('gives trainers tokens in proportion to their weights', () => {
    // Guards against a trainer with long samples or many steps that takes all
    // of the capacity.
    const trainer = fc.record({
      weight: fc.integer({min: 1, max: 8}),
      maxTokens: fc.integer({min: 1, max: 500}),
      share: fc.integer({min: 1, max: 100}),
    });
    fc.assert(
      fc.property(
        fc.array(trainer, {minLength: 2, maxLength: 5}),
        fc.integer({min: 20, max: 300}),
        (trainers, starts) => {
          const schedule = new SampleScheduler();
          trainers.forEach(({weight, maxTokens}, i) =>
            addStep(schedule, `t${i}`, weight, 75, 4, maxTokens),
          );
          const tokens = trainers.map(() => 0);
          for (let i = 0; i < starts; i++) {
            const start = schedule.takeNext(i, () => true)!;
            const which = Number(start.trainer.slice(1));
            const {maxTokens, share} = trainers[which];
            const made = Math.ceil((maxTokens * share) / 100);
            tokens[which] += made;
            schedule.recordEnd(start, made, i, false);
          }
          const used = tokens.map((sum, i) => sum / trainers[i].weight);
          const largest = Math.max(
            ...trainers.map(({maxTokens, weight}) => maxTokens / weight),
          );
          // A trainer is ahead of another by at most one sample.
          assert.ok(Math.max(...used) - Math.min(...used) <= largest + 1e-6);
        },
      ),
      {seed: SEED, numRuns: 200},
    );
  });

  it('completes started groups first and prefers last samples', () => {
    // Guards against many groups that each wait for one sample.
    const schedule = new SampleScheduler();
    addStep(schedule, 't', 1, 3, 2);
    const starts = Array.from({length: 6}, () =>
      schedule.takeNext(0, () => true),
    );
    const groups = starts.map(start => start?.id.split('/')[2]);
    assert.deepEqual(groups, ['0', '0', '1', '1', '2', '2']);
    schedule.recordEnd(starts[1]!, 1, 0, false);
    schedule.recordEnd(starts[0]!, 0, 0, true);
    assert.equal(schedule.takeNext(0, () => true)?.priority, 7);
  });

  it('gives a trainer no extra share for the time in which it was idle', () => {
    // Guards against a returning trainer that starves the others.
    const schedule = new SampleScheduler();
    addStep(schedule, 'busy', 1, 50, 4);
    for (let i = 0; i < 100; i++) {
      schedule.recordEnd(
        schedule.takeNext(i, () => true)!,
        10,
        i,
        false,
      );
    }
    addStep(schedule, 'late', 1, 50, 4);
    const next = Array.from({length: 10}, (_, i) => {
      const start = schedule.takeNext(i, () => true)!;
      schedule.recordEnd(start, 10, i, false);
      return start.trainer;
    });
    assert.equal(next.filter(trainer => trainer === 'late').length, 5);
  });

  it('hedges only stragglers and within the budget', () => {
    // Guards against hedges that double the load.
    const schedule = new SampleScheduler();
    addStep(schedule, 't', 1, 10, 4);
    const starts = Array.from({length: 40}, () =>
      schedule.takeNext(0, () => true)!,
    );
    assert.deepEqual(schedule.takeHedges(1_000), []);
    // In every group, all samples but one end after 100 ms.
    for (const start of starts) {
      if (start.id.endsWith('/3')) continue;
      schedule.recordEnd(start, 1, 100, false);
    }
    assert.deepEqual(schedule.takeHedges(150), []);
    assert.equal(schedule.takeHedges(1_000).length, 2);
    assert.equal(schedule.takeHedges(2_000).length, 0);
  });
});

describe('samples', () => {
  it('measures the age by the oldest span', () => {
    // Guards against an age that only the newest tokens of a sample determine.
    assert.equal(getSampleAge(5, [[3, 4], [5, 1]]), 2); // prettier-ignore
    assert.equal(isWithinVersionAge(5, [[3, 4], [5, 1]], 1), false); // prettier-ignore
    assert.equal(isWithinVersionAge(5, [], 9), false);
    assert.equal(canMeetVersionAge(5, null, 0), true);
    assert.equal(canMeetVersionAge(5, 3, 1), false);
  });

  it('accepts only spans that label all tokens', () => {
    // Guards against unlabeled and mislabeled samples.
    assert.equal(checkSpans([], 0), 'empty');
    assert.equal(checkSpans([[-1, 3]], 3), 'mismatch');
    assert.equal(checkSpans([[1, 2]], 3), 'count');
    assert.equal(checkSpans(joinSpans([[1, 2]], [[1, 1], [2, 4]]), 7), null); // prettier-ignore
  });

  it('recognizes equal steps and rejects invalid ones', () => {
    // Guards against step conflicts that are due to the order of fields.
    const group = {group: 'a', prompt: 'p', count: 2, maxTokens: 3};
    const step = {groups: [group], policyVersion: 1};
    const parse = (value: unknown) => stepSchema.safeParse(value);
    const reordered = JSON.parse(
      '{"policyVersion":1,"groups":[{"maxTokens":3,"count":2,"prompt":"p","group":"a"}]}',
    ) as unknown;
    assert.equal(getStepHash(parse(reordered).data!), getStepHash(step));
    assert.equal(parse({...step, groups: [group, group]}).success, false);
    const large = {...group, count: 4_096};
    assert.equal(
      parse({...step, groups: [large, {...group, group: 1}]}).success,
      false,
    );
  });
});
