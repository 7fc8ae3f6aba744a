import {createRandom} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueuedSample} from './startOrder.js';
import {compareQueuedSamples} from './startOrder.js';

type Order = (a: QueuedSample, b: QueuedSample) => number;

/** The order before groups counted: the longest sample of a step first. */
const compareLongestFirst: Order = (a, b) =>
  a.acceptedAt - b.acceptedAt ||
  b.expectedTokens - a.expectedTokens ||
  a.position - b.position;

const TICK_MS = 20;
const STEPS = 9;
const STEP_INTERVAL_MS = 4_000;
const GROUPS = 6;
const GROUP_SIZE = 16;
/** Complete groups that the trainer waits for: nine tenths. */
const TARGET_GROUPS = 6;
const TRAINING_MS = 1_000;
/** Time within which a group has to be complete, ms. */
const GROUP_DEADLINE_MS = 8_200;
/** Time after which the trainer gives a step up, ms. */
const STEP_LIMIT_MS = 12_000;
/** Part of the slots that are lost for a while, and when, ms. */
const LOSS = {share: 0.4, from: 10_000, to: 16_000};
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];
/** Differences below this are noise between two runs of the same load. */
const NOISE = 0.03;

interface PlayedSample extends QueuedSample {
  group: number;
  remainingMs: number;
  isRunning: boolean;
}

/** Lengths spread widely, with a tail; the estimates are off by half. */
function createStep(
  acceptedAt: number,
  meanMs: number,
  random: () => number,
): PlayedSample[] {
  const spread = () => {
    const angle = Math.cos(2 * Math.PI * random());
    return Math.exp(0.5 * Math.sqrt(-2 * Math.log(1 - random())) * angle);
  };
  return Array.from({length: GROUPS * GROUP_SIZE}, (_, position) => {
    const tail = random() < 0.02 ? 5 : 1;
    const lengthMs = meanMs * spread() * tail;
    return {
      acceptedAt,
      unfinishedInGroup: GROUP_SIZE,
      expectedTokens: lengthMs * spread(),
      position,
      group: Math.floor(position / GROUP_SIZE),
      remainingMs: lengthMs,
      isRunning: false,
    };
  });
}

/** Plays one step and returns when its groups were complete, ms. */
function playStep(
  acceptedAt: number,
  samples: PlayedSample[],
  slots: number,
  order: Order,
): number[] {
  const completedAt: number[] = [];
  let open = samples;
  let now = acceptedAt;
  while (
    completedAt.length < TARGET_GROUPS &&
    now - acceptedAt < STEP_LIMIT_MS
  ) {
    const isLoss = now >= LOSS.from && now < LOSS.to;
    const available = Math.floor(slots * (isLoss ? 1 - LOSS.share : 1));
    const running = open.filter(sample => sample.isRunning);
    for (const sample of running.slice(available)) sample.isRunning = false;
    const queued = open.filter(sample => !sample.isRunning).sort(order);
    const free = Math.max(0, available - running.length);
    for (const sample of queued.slice(0, free)) sample.isRunning = true;
    for (const sample of open) {
      if (sample.isRunning) sample.remainingMs -= TICK_MS;
    }
    now += TICK_MS;
    for (const done of open.filter(({remainingMs}) => remainingMs <= 0)) {
      const group = open.filter(({group}) => group === done.group);
      for (const sample of group) sample.unfinishedInGroup--;
      if (done.unfinishedInGroup === 0) completedAt.push(now);
    }
    open = open.filter(({remainingMs}) => remainingMs > 0);
  }
  return completedAt;
}

/** Returns the share of groups that the trainer gets in time. */
function playLoad(slots: number, meanMs: number, order: Order): number {
  let inTime = 0;
  for (const seed of SEEDS) {
    const random = createRandom(seed);
    let now = 0;
    for (let step = 0; step < STEPS; step++) {
      now = Math.max(now, step * STEP_INTERVAL_MS);
      const completedAt = playStep(
        now,
        createStep(now, meanMs, random),
        slots,
        order,
      );
      const deadline = now + GROUP_DEADLINE_MS;
      inTime += completedAt.filter(at => at <= deadline).length;
      const isComplete = completedAt.length >= TARGET_GROUPS;
      const endedAt = isComplete
        ? completedAt[TARGET_GROUPS - 1]
        : now + STEP_LIMIT_MS;
      now = endedAt + TRAINING_MS;
    }
  }
  return inTime / (SEEDS.length * STEPS * TARGET_GROUPS);
}

describe('compareQueuedSamples', () => {
  describe('with slots for all samples of a step in time', () => {
    for (const meanMs of [1_000, 1_600]) {
      it(`completes as many groups as longest first (mean ${meanMs} ms)`, () => {
        // Guards against groups that are completed one by one while the longest
        // samples of the last group still wait.
        const longestFirst = playLoad(54, meanMs, compareLongestFirst);
        const inTime = playLoad(54, meanMs, compareQueuedSamples);
        assert.ok(inTime >= longestFirst - NOISE, `${inTime} ${longestFirst}`);
      });
    }
  });

  describe('with slots for about half of the samples in time', () => {
    it('completes groups instead of none', () => {
      // Guards against an overload in which all groups are nearly complete at
      // their deadline and the trainer gets nothing.
      const longestFirst = playLoad(18, 1_600, compareLongestFirst);
      const inTime = playLoad(18, 1_600, compareQueuedSamples);
      assert.ok(longestFirst < 0.1, `longest first: ${longestFirst}`);
      assert.ok(inTime > 0.25, `${inTime}`);
    });
  });

  it('starts the samples of older steps first', () => {
    const sample = {unfinishedInGroup: 1, expectedTokens: 1, position: 0};
    const older = {...sample, acceptedAt: 1, unfinishedInGroup: 8};
    assert.ok(compareQueuedSamples(older, {...sample, acceptedAt: 2}) < 0);
  });
});
