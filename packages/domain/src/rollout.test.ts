import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {planCheckpoint} from './checkpointPlan.js';
import type {ControlPayload, LogRecord} from './controlRecords.js';
import {rebuildControlState} from './controlReplay.js';
import {
  applyControlRecords,
  emptyControlState,
  restoreControlState,
  serializeControlState,
} from './controlState.js';
import {
  chooseWaveCount,
  getNextWave,
  getRolloutChangeOffset,
  getWave,
} from './rollout.js';

const SEED = 20_260;

function toRecords(payloads: ControlPayload[], first = 0): LogRecord[] {
  return payloads.map((payload, index) => ({
    offset: first + index,
    appendId: `a${first + index}`,
    payload,
  }));
}

function applyPayloads(payloads: ControlPayload[]) {
  const start = {...emptyControlState, isComplete: true};
  return applyControlRecords(start, toRecords(payloads));
}

const claim: ControlPayload = {type: 'claim', holder: 'e1', expects: -1};
const takeover: ControlPayload = {type: 'claim', holder: 'e2', expects: 0};

function createRecord(
  version: number,
  wave: number | 'stage',
  fencing = 0,
  waves = 8,
): ControlPayload {
  const base = {type: 'rollout' as const, fencing, model: 'm', version, waves};
  return wave === 'stage'
    ? {...base, phase: 'stage', wave: 0}
    : {...base, phase: 'activate', wave};
}

/**
 * Situation, records, and expected state of the rollout. Invalid records have no
 * effect; after a takeover, the new lease holder continues the rollout.
 */
const cases: Array<[string, ControlPayload[], string]> = [
  [
    'a record of an earlier lease holder',
    [claim, createRecord(2, 'stage'), takeover, createRecord(3, 'stage', 0)],
    '2 stage 0',
  ],
  [
    'a record of a process that never held the lease',
    [claim, createRecord(2, 'stage', 7)],
    'none',
  ],
  [
    'an older version declared after a newer one',
    [claim, createRecord(5, 'stage'), createRecord(4, 'stage')],
    '5 stage 0',
  ],
  [
    'a lower wave of the same version',
    [claim, createRecord(2, 3), createRecord(2, 1)],
    '2 activate 3',
  ],
  [
    'staging after activation began',
    [claim, createRecord(2, 0), createRecord(2, 'stage')],
    '2 activate 0',
  ],
  [
    'a changed number of waves within a version, which would move replicas to other waves',
    [claim, createRecord(2, 1), createRecord(2, 2, 0, 9)],
    '2 activate 1',
  ],
  [
    'a wave after the last one',
    [claim, createRecord(2, 1), createRecord(2, 9)],
    '2 activate 1',
  ],
  [
    'a takeover of the lease during the rollout',
    [claim, createRecord(2, 1), takeover, createRecord(2, 2, 2)],
    '2 activate 2',
  ],
];

describe('rollout records', () => {
  for (const [situation, payloads, expected] of cases) {
    it(`lead to the expected state with ${situation}`, () => {
      const rollout = applyPayloads(payloads).rollouts.get('m');
      const found = rollout
        ? `${rollout.version} ${rollout.phase} ${rollout.wave}`
        : 'none';
      assert.equal(found, expected);
    });
  }

  it('do not count as a change if they are repeated with another append id', () => {
    // Guards against a repeated record ending long polls early.
    const payloads = [
      claim,
      createRecord(2, 'stage'),
      createRecord(2, 'stage'),
    ];
    const rollout = applyPayloads(payloads).rollouts.get('m')!;
    assert.equal(getRolloutChangeOffset(rollout, 'u1'), 1);
    assert.equal(rollout.steps.length, 1);
  });

  it('count as a change for an upstream only at staging and in its own wave', () => {
    // Guards against every wave ending the long polls of all agents.
    const payloads = [claim, createRecord(2, 'stage')];
    for (let wave = 0; wave <= 8; wave++) payloads.push(createRecord(2, wave));
    for (const id of ['u1', 'u2', 'u3', 'u4']) {
      const changes = payloads.map((_, index) => {
        const rollout = applyPayloads(
          payloads.slice(0, index + 1),
        ).rollouts.get('m');
        return rollout ? getRolloutChangeOffset(rollout, id) : -1;
      });
      assert.deepEqual([...new Set(changes)], [-1, 1, 2 + getWave(id, 8)]);
    }
  });

  it('are restored from a snapshot; a snapshot without rollouts is also accepted', () => {
    // Guards against a new entry that loses the rollout or fails to start.
    const state = applyPayloads([
      claim,
      createRecord(2, 8),
      createRecord(3, 'stage'),
    ]);
    const data = serializeControlState(state) as {rollouts?: unknown};
    const copy = JSON.parse(JSON.stringify(data)) as typeof data;
    assert.deepEqual(restoreControlState(copy)?.rollouts, state.rollouts);
    assert.equal(state.rollouts.get('m')?.completed, 2);
    delete copy.rollouts;
    assert.equal(restoreControlState(copy)?.rollouts.size, 0);
  });

  it('survive truncation of the log through checkpoints', () => {
    // Guards against an older version being declared again after retention
    // removed the records of the newer one.
    const before = [claim, createRecord(5, 0), createRecord(5, 1)];
    const state = applyPayloads(before);
    const cycle = {
      cycleStart: before.length,
      remaining: [],
      expired: [],
      nextBatchAtMs: 0,
      batchIntervalMs: 1,
    };
    const {checkpoint} = planCheckpoint(cycle, state, 0, 0);
    const all = toRecords([
      ...before,
      checkpoint,
      createRecord(4, 'stage'),
      createRecord(5, 2),
    ]);
    const whole = rebuildControlState(0, all)!;
    const rebuilt = rebuildControlState(3, all.slice(3))!;
    assert.equal(rebuilt.rollouts.get('m')?.wave, 2);
    assert.deepEqual(rebuilt.rollouts, whole.rollouts);
  });
});

describe('waves', () => {
  it('keep 75% of each pool in service, or all but one replica of a small pool', () => {
    // Guards against waves that take too much of a pool out of service.
    const pool = (min: number, max: number) =>
      fc
        .tuple(fc.string({maxLength: 8}), fc.integer({min, max}))
        .map(([name, size]) =>
          Array.from({length: size}, (_, index) => `${name}-${index}`),
        );
    const pools = fc.oneof(
      fc.tuple(pool(4, 24)),
      fc.tuple(pool(4, 600)),
      fc.tuple(pool(1, 3), pool(4, 12)),
    );
    fc.assert(
      fc.property(pools, chosen => {
        const waves = chooseWaveCount(chosen);
        assert.ok(waves !== null);
        for (const upstreams of chosen) {
          const sizes = new Map<number, number>();
          for (const upstream of upstreams) {
            const wave = getWave(upstream, waves);
            sizes.set(wave, (sizes.get(wave) ?? 0) + 1);
          }
          const most = Math.max(...sizes.values());
          if (upstreams.length < 4) assert.equal(most, 1);
          else assert.ok(most * 4 <= upstreams.length);
        }
      }),
      {seed: SEED, numRuns: 150},
    );
  });

  it('are skipped if and only if they have no replicas', () => {
    const ids = ['u1', 'u2', 'u3', 'u4'];
    const visited = new Set<number>();
    for (let wave = -1; wave < 64;) {
      wave = getNextWave(ids, wave, 64);
      visited.add(wave);
    }
    const own = ids.map(id => getWave(id, 64)).sort((a, b) => a - b);
    assert.deepEqual([...visited], [...new Set(own), 64]);
  });
});
