import {createRandom} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {OpenStep} from './slackOrder.js';
import {orderBySlack, recordStepStart} from './slackOrder.js';
import type {QueuedSample} from './startOrder.js';
import {compareQueuedSamples} from './startOrder.js';

const TICK_MS = 20;
const PACE_MS = 67;
const BUDGET_MS = 7_500;
/** Time after which a trainer gives a step up, ms. */
const STEP_LIMIT_MS = 12_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface PlayedSample extends QueuedSample {
  remaining: number;
  generated: number;
  isRunning: boolean;
}

interface PlayedStep {
  acceptedAt: number;
  /** Time from which engines serve its version, ms. */
  startableAt: number;
  targetGroups: number;
  groups: PlayedSample[][];
  completedAt: number[];
}

type Load = (random: () => number) => PlayedStep[];

const isOpen = ({remaining}: PlayedSample) => remaining > 0;
const isQueued = (sample: PlayedSample) => isOpen(sample) && !sample.isRunning;
const getLeft = ({expectedTokens, generated}: PlayedSample) =>
  Math.max(1, expectedTokens - generated);

const orders = {
  acceptance: (_now: number, steps: PlayedStep[]) =>
    steps
      .flatMap(({groups}) => groups.flat().filter(isQueued))
      .sort(compareQueuedSamples),
  slack: (
    now: number,
    steps: PlayedStep[],
    slots: number,
    overtaken: Map<PlayedStep, number>,
  ) => orderBySlack(now, steps.map(toOpenStep(slots, overtaken))),
};

const toOpenStep =
  (slots: number, overtaken: Map<PlayedStep, number>) =>
  (step: PlayedStep): OpenStep<PlayedSample> => ({
    ...step,
    deadline: step.acceptedAt + BUDGET_MS,
    completeGroups: step.completedAt.length,
    groups: step.groups
      .filter(group => group.some(isOpen))
      .map(group => {
        const left = group.filter(isOpen).map(getLeft);
        return {
          position: group[0].position,
          isCarried: false,
          isLost: false,
          unfinished: left.length,
          longestEvents: Math.max(...left),
          totalEvents: left.reduce((sum, events) => sum + events, 0),
          queued: group
            .filter(isQueued)
            .map(item => ({item, remainingEvents: getLeft(item)})),
        };
      }),
    paceMs: PACE_MS,
    slots,
    listingMs: 0,
    overtakenMs: overtaken.get(step) ?? 0,
  });

/** Eight groups of eight samples whose lengths and estimates spread widely. */
function createStep(
  random: () => number,
  overrides: Partial<PlayedStep> = {},
  groupCount = 8,
): PlayedStep {
  const acceptedAt = overrides.acceptedAt ?? 0;
  const spread = (deviation: number) => {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    return Math.exp(deviation * radius * Math.cos(2 * Math.PI * random()));
  };
  const createSample = (position: number): PlayedSample => {
    const expectedTokens = Math.max(2, 15 * spread(0.6));
    return {
      acceptedAt,
      unfinishedInGroup: 8,
      expectedTokens,
      position,
      remaining: Math.max(1, expectedTokens * spread(0.4)),
      generated: 0,
      isRunning: false,
    };
  };
  return {
    acceptedAt,
    startableAt: acceptedAt,
    targetGroups: Math.floor(groupCount * 0.9),
    groups: Array.from({length: groupCount}, (_, group) =>
      Array.from({length: 8}, (_, index) => createSample(group * 8 + index)),
    ),
    completedAt: [],
    ...overrides,
  };
}

/** Plays steps on shared slots; a step ends when its trainer can go on. */
function play(
  steps: PlayedStep[],
  slots: number,
  policy: keyof typeof orders,
): void {
  const overtaken = new Map<PlayedStep, number>();
  const end = Math.max(...steps.map(s => s.acceptedAt)) + STEP_LIMIT_MS;
  for (let now = 0; now < end; now += TICK_MS) {
    const open = steps.filter(
      ({acceptedAt, completedAt, targetGroups}) =>
        acceptedAt <= now &&
        now < acceptedAt + STEP_LIMIT_MS &&
        completedAt.length < targetGroups,
    );
    const samples = open.flatMap(({groups}) => groups.flat());
    const free = slots - samples.filter(s => s.isRunning).length;
    const ready = open.filter(({startableAt}) => startableAt <= now);
    const order = free > 0 ? orders[policy](now, ready, slots, overtaken) : [];
    for (const sample of order.slice(0, free)) {
      sample.isRunning = true;
      const step = ready.find(({groups}) => groups.flat().includes(sample))!;
      const waiting = ready.filter(({groups}) => groups.flat().some(isQueued));
      const workMs = (sample.expectedTokens * PACE_MS) / slots;
      recordStepStart(overtaken, step, waiting, workMs);
    }
    for (const {groups, completedAt} of open) {
      for (const group of groups.filter(g => g.some(isOpen))) {
        for (const sample of group.filter(s => s.isRunning)) {
          sample.generated += TICK_MS / PACE_MS;
          sample.remaining -= TICK_MS / PACE_MS;
          sample.isRunning = sample.remaining > 0;
        }
        const unfinished = group.filter(isOpen).length;
        for (const sample of group) sample.unfinishedInGroup = unfinished;
        if (unfinished === 0) completedAt.push(now);
      }
    }
  }
}

/** Number of groups that trainers get in time, over all seeds. */
function countInTime(load: Load, slots: number, policy: keyof typeof orders) {
  return SEEDS.reduce((sum, seed) => {
    const steps = load(createRandom(seed));
    play(steps, slots, policy);
    return steps.reduce((inTime, {acceptedAt, completedAt, targetGroups}) => {
      const due = acceptedAt + BUDGET_MS;
      const counted = completedAt.slice(0, targetGroups);
      return inTime + counted.filter(at => at <= due).length;
    }, sum);
  }, 0);
}

/** Asserts that trainers get `factor` times as many groups in time. */
function assertGain(load: Load, slots: number, factor: number): void {
  const acceptance = countInTime(load, slots, 'acceptance');
  const slack = countInTime(load, slots, 'slack');
  assert.ok(slack >= factor * acceptance, `${slack} against ${acceptance}`);
}

describe('orderBySlack', () => {
  it('gives trainers as many groups as by acceptance if there are slots for all', () => {
    // Guards against whole groups that delay the longest samples needlessly.
    const load: Load = random =>
      [0, 900, 1_800].map(acceptedAt => createStep(random, {acceptedAt}));
    assertGain(load, 48, 1);
    assertGain(random => [createStep(random)], 18, 1);
  });

  it('gives trainers more groups of two steps that compete for too few slots', () => {
    // Guards against two steps that take turns and are both late.
    const load: Load = random =>
      [0, 500].map(acceptedAt => createStep(random, {acceptedAt}));
    assertGain(load, 18, 1.2);
  });

  it('completes other steps before one that can not be whole any more', () => {
    // Guards against a step whose version came too late and that then takes the
    // slots of steps that could still be in time.
    const load: Load = random => [
      createStep(random, {startableAt: 6_500}),
      createStep(random, {acceptedAt: 6_000}),
      createStep(random, {acceptedAt: 6_500}),
    ];
    assertGain(load, 24, 2);
  });

  it('leaves the groups with long samples if more are open than needed', () => {
    // Guards against a tail sample that takes a slot from groups that count.
    const load: Load = random => {
      const step = createStep(random);
      for (const [first] of step.groups.slice(0, 1)) {
        first.expectedTokens = first.remaining = 135;
      }
      return [step, createStep(random, {acceptedAt: 200})];
    };
    assertGain(load, 18, 1.2);
  });

  it('gives groups to the trainer of a late step while others keep arriving', () => {
    // Guards against a late step that is behind each step that arrives.
    const late: number[] = [];
    for (const seed of SEEDS) {
      const random = createRandom(seed);
      const step = createStep(random, {startableAt: 7_000});
      const others = Array.from({length: 14}, (_, index) =>
        createStep(random, {acceptedAt: 4_000 + index * 600}, 4),
      );
      play([step, ...others], 36, 'slack');
      late.push(step.completedAt.length);
    }
    assert.ok(Math.min(...late) >= 1, `complete groups: ${late.join()}`);
  });
});
