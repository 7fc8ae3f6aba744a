import type {AccountId, MonotonicMs} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AccountWork} from './accountWork.js';
import {endWork, getWorkMs, noWork, startWork} from './accountWork.js';
import {addPeak, emptyPeakWindow, getPeak} from './peakWindow.js';
import {adaptSendWindow, createSendWindow} from './sendWindow.js';
import {
  addServiceTime,
  addStart,
  advanceRate,
  createServiceRate,
  getStartIntervalMs,
} from './serviceRate.js';
import {
  decideQueueWait,
  getBackgroundSlots,
  getReturnTime,
  orderCallers,
  orderScoringCalls,
} from './waitingQueue.js';

const SERVICE_MS = 30;
const TARGET_MS = 234;
const BUDGET_MS = 1_502;

/** A request of the load and what its caller got. */
interface Call {
  at: number;
  name: string;
  account: AccountId;
  priority: number;
  deadline: MonotonicMs;
  unfinishedInGroup: number;
  serviceMs: number;
  isBackground: boolean;
  isReturn: boolean;
  startedAt?: MonotonicMs;
  servedAt?: number;
  refusedAt?: number;
  returnAt?: number;
}

const at = (ms: number) => ms as MonotonicMs;

/** Calls at a constant rate. */
function send(
  name: string,
  perSecond: number,
  [from, to]: readonly [number, number],
  overrides: Partial<Call> = {},
): Call[] {
  const count = Math.round(((to - from) * perSecond) / 1_000);
  return Array.from({length: count}, (_, index) => {
    const sentAt = from + (index * 1_000) / perSecond;
    return {
      at: sentAt,
      name,
      account: toBranded<AccountId>(name),
      priority: 0,
      deadline: at(sentAt + BUDGET_MS),
      unfinishedInGroup: 0,
      serviceMs: SERVICE_MS,
      isBackground: false,
      isReturn: false,
      ...overrides,
    };
  });
}

/** Plays a load at a pool, ms by ms, and returns all calls with their outcome. */
function play(
  load: readonly Call[],
  getSlots: (ms: number) => number,
  hasReturns = false,
): Call[] {
  const calls = [...load].sort((a, b) => a.at - b.at);
  const waiting = new Set<Call>();
  const running = new Set<Call>();
  const work = new Map<AccountId, AccountWork>();
  let rate = createServiceRate(at(0));
  let peak = emptyPeakWindow;
  let lastReturnAt = 0;
  let sent = 0;
  const count = (isBackground: boolean) =>
    [...running].filter(call => call.isBackground === isBackground).length;
  const getOrder = (now: MonotonicMs) => [
    ...orderCallers(
      [...waiting].filter(call => !call.isBackground),
      account => getWorkMs(work.get(account!) ?? noWork, rate.serviceMs, now),
      rate.serviceMs,
    ),
    ...orderScoringCalls([...waiting].filter(call => call.isBackground)),
  ];
  const isOver = () =>
    sent === calls.length && waiting.size + running.size === 0;
  for (let now = at(0); !isOver(); now = at(now + 1)) {
    const slots = getSlots(now);
    rate = advanceRate(rate, waiting.size > 0 ? slots : 0, now);
    for (const call of running) {
      if (now < call.startedAt! + call.serviceMs) continue;
      running.delete(call);
      call.servedAt = now;
      rate = addServiceTime(rate, call.serviceMs);
      const {account, startedAt} = call;
      work.set(account, endWork(work.get(account)!, startedAt!, now));
    }
    for (; sent < calls.length && calls[sent].at <= now; sent++) {
      waiting.add(calls[sent]);
    }
    const order = getOrder(now);
    for (const call of order) {
      if (running.size >= slots) break;
      const share = getBackgroundSlots(slots, getPeak(peak, now));
      if (call.isBackground && count(true) >= share) continue;
      waiting.delete(call);
      running.add(call);
      call.startedAt = now;
      if (call.at < now) rate = addStart(rate);
      const {account} = call;
      work.set(account, startWork(work.get(account) ?? noWork, now));
      peak = addPeak(peak, count(false), now);
    }
    const intervalMs = getStartIntervalMs(rate, slots);
    let before = 0;
    for (const call of order.filter(call => waiting.has(call))) {
      const {deadline} = call;
      const {serviceMs} = rate;
      const isWaiting = call.at <= now - 1;
      const measured = {intervalMs, serviceMs, permitAt: null};
      const base = {now, deadline, isWaiting, ...measured};
      if (decideQueueWait({...base, before}).tag === 'wait') {
        before++;
        continue;
      }
      waiting.delete(call);
      const last = {...base, before: waiting.size};
      lastReturnAt = getReturnTime(last, lastReturnAt);
      Object.assign(call, {refusedAt: now, returnAt: lastReturnAt});
      if (!hasReturns || call.isReturn) continue;
      const next = {at: lastReturnAt, deadline: at(lastReturnAt + BUDGET_MS)};
      calls.push(...send(call.name, 1, [0, 1_000], {...next, isReturn: true}));
      calls.sort((a, b) => a.at - b.at);
    }
  }
  return calls;
}

const byName = (calls: Call[], name: string) =>
  calls.filter(call => call.name === name);
const getShare = (calls: Call[], test: (call: Call) => boolean) =>
  calls.filter(test).length / calls.length;
const isInTarget = ({at: sentAt, servedAt = Infinity}: Call) =>
  servedAt - sentAt <= TARGET_MS;
const isServed = ({servedAt}: Call) => servedAt !== undefined;

describe('waiting queue', () => {
  it('serves small accounts beside one that sends three times the capacity', () => {
    const calls = play(
      [...send('large', 600, [0, 3_000]), ...send('small', 40, [0, 3_000])],
      () => 6,
    );
    assert.equal(getShare(byName(calls, 'small'), isInTarget), 1);
    // All slots are used, and the rest is refused at once.
    const served = calls.filter(({servedAt = Infinity}) => servedAt < 3_000);
    assert.ok(served.length > 0.97 * 6 * (3_000 / SERVICE_MS));
    const refused = calls.filter(({refusedAt}) => refusedAt !== undefined);
    assert.ok(refused.length > 600);
    const isAtOnce = (call: Call) => call.refusedAt! - call.at <= 60;
    assert.ok(getShare(refused, isAtOnce) > 0.95);
    assert.ok(!refused.some(isServed));
  });

  it('shares work, not requests (guards against an account with long requests)', () => {
    const calls = play(
      [
        ...send('long', 60, [0, 3_000], {serviceMs: 150}),
        ...send('short', 300, [0, 3_000]),
      ],
      () => 6,
    );
    // What waits when the load ends has no competition any more.
    const getWork = (name: string) =>
      byName(calls, name)
        .filter(({servedAt = Infinity}) => servedAt < 3_000)
        .reduce((sum, {serviceMs}) => sum + serviceMs, 0);
    const ratio = getWork('long') / getWork('short');
    assert.ok(ratio > 0.8 && ratio < 1.25, String(ratio));
  });

  it('serves the higher priority within the target under overload', () => {
    const calls = play(
      [
        ...send('first', 120, [0, 2_000]),
        ...send('second', 200, [0, 2_000], {priority: 1}),
      ],
      () => 6,
    );
    assert.equal(getShare(byName(calls, 'first'), isInTarget), 1);
    // 80 of its 200 requests a second find a slot while the others are sent.
    const second = getShare(
      byName(calls, 'second'),
      ({servedAt = Infinity}) => servedAt < 2_000,
    );
    assert.ok(second > 0.35 && second < 0.45, String(second));
  });

  it('serves a burst of callers within the target beside scoring calls', () => {
    const group = (unfinishedInGroup: number) =>
      send(`group${unfinishedInGroup}`, 200, [0, 400], {
        isBackground: true,
        unfinishedInGroup,
        serviceMs: 195,
        deadline: at(20_000),
      });
    const calls = play(
      [...group(8), ...group(2), ...send('caller', 100, [1_000, 2_000])],
      () => 6,
    );
    assert.equal(getShare(byName(calls, 'caller'), isInTarget), 1);
    const getLast = (name: string) =>
      Math.max(...byName(calls, name).map(call => call.servedAt ?? Infinity));
    assert.ok(getLast('group2') < getLast('group8'));
    // Without callers, scoring calls take all slots but one: 5 every 195 ms. A
    // fixed share of 4 would start 24 in the first second.
    const started = calls.filter(({startedAt = Infinity}) => startedAt < 1_000);
    assert.equal(started.length, 30);
  });

  it('refuses at once what a pool that lost half of its upstreams cannot serve', () => {
    const lostAt = 1_000;
    const getSlots = (ms: number) => (ms < lostAt ? 12 : 6);
    const calls = play(send('a', 800, [0, 1_000]), getSlots);
    const refused = calls.filter(({refusedAt = 0}) => refusedAt >= lostAt);
    assert.ok(refused.length > 50);
    const isAtLoss = ({refusedAt}: Call) => refusedAt! <= lostAt + 60;
    assert.ok(getShare(refused, isAtLoss) > 0.8);
    const kept = calls.filter(({refusedAt}) => refusedAt === undefined);
    assert.ok(getShare(kept, c => c.servedAt! <= c.deadline) > 0.98);
  });

  it('refuses all at once without upstreams', () => {
    const calls = play(send('a', 100, [0, 500]), () => 0);
    assert.ok(calls.every(call => call.refusedAt! - call.at <= 1));
    assert.ok(calls.every(call => call.returnAt! - call.refusedAt! >= 60));
  });

  it('lets refused callers return in order, when they can be served', () => {
    const calls = play(send('a', 2_500, [0, 300]), () => 6, true);
    const returns = calls.filter(({isReturn}) => isReturn);
    assert.ok(returns.length > 200);
    const refused = calls
      .filter(call => !call.isReturn && call.refusedAt !== undefined)
      .sort((a, b) => a.refusedAt! - b.refusedAt!);
    for (const [index, call] of refused.slice(1).entries()) {
      assert.ok(call.returnAt! > refused[index].returnAt!);
    }
    assert.ok(getShare(returns, isServed) > 0.98);
    assert.ok(getShare(returns, isInTarget) > 0.9);
  });

  it('keeps the queue at an upstream short that many processes share', () => {
    // Guards against 24 processes that each fill an upstream with 6 slots.
    const slots = 6;
    let windows = Array.from({length: 24}, () => createSendWindow(slots));
    const getWaiting = () =>
      windows.reduce((sum, {size}) => sum + Math.floor(size), 0) - slots;
    assert.ok(getWaiting() > 180);
    for (let now = 0; now < 300; now += SERVICE_MS) {
      const times = {startedAt: at(now), now: at(now)};
      const feedback = {slots, waiting: getWaiting(), ...times};
      windows = windows.map(window => adaptSendWindow(window, feedback));
    }
    assert.equal(getWaiting(), 18);
  });
});
