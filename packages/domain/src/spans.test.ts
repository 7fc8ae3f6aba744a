import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LiveVersions, ObservedSpans} from './spans.js';
import {
  MISMATCHED_VERSION,
  VERSION_CHANGE_GRACE_MS,
  addTokens,
  getLiveVersion,
  noLiveVersions,
  noObservedSpans,
  withConfirmedVersion,
  withPendingVersion,
} from './spans.js';

const first = withConfirmedVersion(noLiveVersions, 1, 0);
const second = withConfirmedVersion(first, 2, 100);

type Chunk = [live: LiveVersions, label: number | null, nowMs: number];

function observe(chunks: readonly Chunk[]): ObservedSpans {
  return chunks.reduce(
    (observed, [live, label, now]) => addTokens(observed, live, label, 1, now),
    noObservedSpans,
  );
}

describe('weight-version spans', () => {
  it('checks labels against the versions that were live', () => {
    // Guards against samples labeled with a version that did not generate
    // them, for any order of activation, confirmation and tokens.
    const pending = withPendingVersion(first, 2);
    const back = withConfirmedVersion(second, 1, 200);
    const late = 100 + VERSION_CHANGE_GRACE_MS + 1;
    const bad = MISMATCHED_VERSION;
    const cases: Array<[string, Chunk[], Array<[number, number]>]> = [
      [
        'one version',
        [
          [first, 1, 0],
          [first, 1, 1],
        ],
        [[1, 2]],
      ],
      [
        'version change during a response',
        [
          [first, 1, 0],
          [second, 2, 101],
        ],
        [
          [1, 1],
          [2, 1],
        ],
      ],
      [
        'token before its confirmation',
        [
          [pending, 2, 50],
          [second, 2, 101],
        ],
        [[2, 2]],
      ],
      [
        'old token in flight',
        [
          [first, 1, 0],
          [second, 1, 101],
        ],
        [[1, 2]],
      ],
      [
        'old label long after the version change',
        [[second, 1, late]],
        [[bad, 1]],
      ],
      [
        'label of an earlier version',
        [
          [second, 2, 101],
          [second, 1, 102],
        ],
        [
          [2, 1],
          [bad, 1],
        ],
      ],
      [
        'rollback by order',
        [
          [second, 2, 101],
          [back, 1, 201],
        ],
        [
          [2, 1],
          [1, 1],
        ],
      ],
      ['version never live', [[first, 9, 0]], [[bad, 1]]],
      ['no label', [[first, null, 0]], [[bad, 1]]],
    ];
    for (const [name, chunks, spans] of cases) {
      const observed = observe(chunks);
      assert.deepEqual(observed.spans, spans, name);
      const isBad = spans.some(([version]) => version === bad);
      assert.equal(observed.mismatches > 0, isBad, name);
    }
  });

  it('changes the live version only on confirmation', () => {
    // Guards against labels taken from an activation that failed later.
    const pending = withPendingVersion(first, 2);
    assert.equal(getLiveVersion(pending), 1);
    const failed = withPendingVersion(pending, null);
    assert.equal(observe([[failed, 2, 10]]).mismatches, 1);
    assert.equal(getLiveVersion(withConfirmedVersion(pending, 2, 10)), 2);
  });

  it('stays correct and bounded over many version changes', () => {
    // Guards against an unbounded history and against wrong indexes into it.
    let live = noLiveVersions;
    let observed = noObservedSpans;
    for (let version = 1; version <= 500; version++) {
      live = withConfirmedVersion(live, version, version);
      observed = addTokens(observed, live, version, 1, version);
    }
    assert.equal(observed.mismatches, 0);
    assert.ok(live.periods.length <= 64);
    assert.ok(observed.spans.length <= 64);
  });
});
