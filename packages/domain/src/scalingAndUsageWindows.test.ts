import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Seal} from './controlRecords.js';
import type {UsageCell} from './messages.js';
import {poolSchema} from './records.js';
import type {PlannedUpstream, ScalingPlanInput} from './scalingPlan.js';
import {
  addDemand,
  createDemandHistory,
  getScaleDownDelayMs,
  getTargetUpstreamCount,
  planScaling,
} from './scalingPlan.js';
import {UsageWindows, getSealContent} from './usageWindows.js';

const pool = poolSchema.parse({
  kind: 'engine',
  maxConcurrent: 10,
  minUpstreams: 2,
  maxUpstreams: 20,
  coldStartMs: 30_000,
});

function createUpstreams(count: number, busy: number): PlannedUpstream[] {
  return Array.from({length: count}, (_, index) => ({
    id: `u${index}`,
    domain: `d${index % 4}`,
    busy,
    isCold: false,
    isDraining: false,
    isStoppable: false,
  }));
}

function createInput(demand: number, upstreams: PlannedUpstream[]) {
  const nowMs = getScaleDownDelayMs(pool) + 1;
  const history = addDemand(createDemandHistory(0), pool, demand, nowMs);
  const domains = ['d0', 'd1', 'd2', 'd3'].map(id => ({id, isIn: true}));
  const pendingStarts = {};
  return {pool, domains, upstreams, pendingStarts, history, nowMs};
}

describe('scaling plan', () => {
  it('keeps enough upstreams after the loss of a failure domain', () => {
    // Guards against overloading the remaining upstreams after the loss.
    for (let demand = 0; demand <= 90; demand++) {
      const total = getTargetUpstreamCount(pool, demand, 4);
      const rest = total - Math.ceil(total / 4);
      assert.ok(rest * 7 >= demand && total >= 2 && total <= 20);
    }
    assert.equal(getTargetUpstreamCount(pool, 1_000, 4), 20);
  });

  it('starts without delay, counts pending starts and skips domains that are out', () => {
    // Guards against starting upstreams twice, or in domains that take no work.
    const input: ScalingPlanInput = createInput(50, createUpstreams(4, 9));
    const count = (steps: ReturnType<typeof planScaling>) =>
      steps.map(step => (step.type === 'start' ? step.count : -99));
    assert.deepEqual(count(planScaling(input)), [2, 2, 2, 1]);
    const pendingStarts = {d0: 2, d1: 2, d2: 2, d3: 1};
    assert.deepEqual(planScaling({...input, pendingStarts}), []);
    const domains = input.domains.map(d => ({...d, isIn: d.id !== 'd3'}));
    const starts = planScaling({...input, domains});
    assert.ok(starts.length > 0 && starts.every(s => s.domain !== 'd3'));
  });

  it('drains one upstream after low demand and stops only empty ones', () => {
    // Guards against flapping and against stopping upstreams with running
    // requests.
    const upstreams = createUpstreams(8, 1);
    upstreams[5].busy = 0;
    const input: ScalingPlanInput = createInput(4, upstreams);
    const [drain, ...rest] = planScaling(input);
    assert.deepEqual([drain.type, rest], ['drain', []]);
    assert.deepEqual(planScaling({...input, nowMs: 10_000}), []);
    const peak = addDemand(input.history, pool, 40, input.nowMs + 20_000);
    const lower = addDemand(peak, pool, 4, input.nowMs + 40_000);
    const later = {...input, history: lower, nowMs: input.nowMs + 40_000};
    assert.deepEqual(planScaling(later), []);
    Object.assign(upstreams[1], {isDraining: true, isStoppable: true});
    assert.ok(planScaling(input).every(step => step.type !== 'stop'));
    upstreams[1].busy = 0;
    const stops = planScaling(input).filter(step => step.type === 'stop');
    assert.deepEqual(stops, [{type: 'stop', domain: 'd1', upstream: 'u1'}]);
  });
});

function createCell(window: number, agentEpoch: string, requests: number) {
  const tokens = {promptTokens: requests, generatedTokens: 0};
  const ids = {entryEpoch: 'e', agentEpoch, account: 'a'};
  return {window, requests, ...tokens, ...ids} satisfies UsageCell;
}

describe('usage windows', () => {
  it('counts each cell once and reports late cells in the next window', () => {
    // Guards against usage that is reported twice or changes after its report
    // (requirement R8).
    const usage = new UsageWindows();
    const seals = new Map<number, Seal>();
    const total = () =>
      [...seals.values()].reduce(
        (sum, {figures}) => sum + (figures['a']?.requests ?? 0),
        0,
      );
    const seal = (window: number) => {
      const content = getSealContent(usage, seals, window - 1, window);
      const rest = {type: 'seal' as const, fencing: 1, sources: []};
      seals.set(window, {...rest, window, ...content});
    };
    usage.merge([createCell(1, 'x', 5), createCell(1, 'x', 3)]);
    seal(1);
    const first = structuredClone(seals.get(1));
    usage.merge([createCell(1, 'x', 7), createCell(1, 'y', 2)]);
    usage.merge([createCell(2, 'x', 1)]);
    seal(2);
    seal(3);
    usage.merge([createCell(1, 'y', 3)]);
    seal(4);
    assert.deepEqual(seals.get(1), first);
    assert.deepEqual(
      [1, 2, 3, 4].map(w => seals.get(w)?.figures['a']?.requests ?? 0),
      [5, 5, 0, 1],
    );
    assert.equal(total(), 11);
  });

  it('rejects cells above its limit and removes old windows', () => {
    // Guards against memory that grows with the number of agents.
    const usage = new UsageWindows(2);
    const cells = ['x', 'y', 'z'].map(epoch => createCell(1, epoch, 1));
    assert.equal(usage.merge(cells), 1);
    usage.prune(100);
    assert.equal(usage.merge([createCell(100, 'z', 1)]), 0);
  });
});
