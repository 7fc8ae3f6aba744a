import {getFuzzSeed, parseSettings} from '@vanillacross/common';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {LogRecord} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {
  applyControlRecords,
  emptyControlState,
  restoreControlState,
  serializeControlState,
} from './controlState.js';
import {
  isRecordKind,
  parseRecordKey,
  recordSchemas,
  parseRecordBody,
} from './records.js';
import {settingsSchema} from './settings.js';
import {
  addTokens,
  noObservedSpans,
  withConfirmedVersion,
  noLiveVersions,
} from './spans.js';

const options = {seed: getFuzzSeed(), numRuns: 300};

const invalidValue = fc.oneof(
  fc.jsonValue({maxDepth: 3}),
  fc.constantFrom(
    1e308,
    -1,
    0.5,
    2 ** 53,
    '__proto__',
    'constructor',
    'key/../k',
    'a\r\nb: c',
    'x'.repeat(5_000),
    [],
    {},
    null,
  ),
);

/** A valid object with one to three members replaced, added or removed. */
function mutated(valid: Record<string, unknown>): fc.Arbitrary<unknown> {
  const names = Object.keys(valid);
  const change = fc.tuple(
    fc.oneof(fc.constantFrom(...names), fc.constantFrom('__proto__', 'extra')),
    fc.option(invalidValue, {nil: undefined}),
  );
  return fc.array(change, {minLength: 1, maxLength: 3}).map(changes => {
    const text = JSON.stringify({...valid, ...Object.fromEntries(changes)});
    return JSON.parse(text) as unknown;
  });
}

const put = {
  type: 'put',
  key: 'account/one',
  baseRevision: 1,
  schemaVersion: 1,
  body: {weight: 2},
  operator: 'ana',
};
const checkpoint = {
  type: 'checkpoint',
  fencing: 0,
  asOf: 1,
  entries: [{...put, revision: 1, offset: 0}],
  lastSealed: -1,
  dropped: [{key: 'account/one', offset: 0}],
};
const seal = {
  type: 'seal',
  window: 0,
  fencing: 1,
  figures: {one: {requests: 1, promptTokens: 1, generatedTokens: 1}},
  sources: [],
};

function createState(): ControlState {
  const records: LogRecord[] = [
    {offset: 0, appendId: 'a', payload: {...put, baseRevision: 0}},
    {
      offset: 1,
      appendId: 'b',
      payload: {type: 'claim', holder: 'e1', expects: -1},
    },
  ];
  return applyControlRecords({...emptyControlState, isComplete: true}, records);
}

describe('malformed input', () => {
  it('in settings gives a list of mistakes and throws nothing', () => {
    const line = fc.oneof(
      fc.string(),
      fc.constantFrom('[instance]', 'role=entry', 'role=agent', 'id=a'),
      fc.constantFrom('[__proto__]', '__proto__=1', 'a[]=1', 'a=2', '[a.b]'),
      fc.constantFrom('[listen]', 'caller=127.0.0.1:99999', 'id="', "x='{"),
      fc.constantFrom('[instance.role]', 'role[]=entry', '[toString]', '[]'),
    );
    fc.assert(
      fc.property(fc.array(line, {maxLength: 30}), lines => {
        const text = lines.join('\n');
        const settings = parseSettings('f.ini', text, settingsSchema);
        assert.equal(settings.ok, false);
        assert.equal(settings.error.tag, 'settings_invalid');
        assert.ok(settings.error.mistakes.length > 0);
      }),
      options,
    );
    assert.equal(Object.hasOwn(Object.prototype, 'a'), false);
  });

  it('in a record body returns a tagged error', () => {
    const kinds = Object.keys(recordSchemas);
    const kind = fc.oneof(fc.constantFrom(...kinds), fc.string());
    fc.assert(
      fc.property(
        kind,
        fc.string(),
        fc.integer(),
        invalidValue,
        (name, id, v, body) => {
          const key = parseRecordKey(`${name}/${id}`);
          if (!key.ok) assert.match(key.error.tag, /unknown_kind|bad_id/);
          if (!isRecordKind(name)) return;
          const restored = parseRecordBody(name, v % 3, body);
          if (restored.ok) return;
          assert.match(restored.error.tag, /newer_schema|invalid_body/);
        },
      ),
      options,
    );
  });

  it('in a control payload changes no record, lease or seal', () => {
    const payload = fc.oneof(
      invalidValue,
      mutated(put),
      mutated(checkpoint),
      mutated(seal),
      mutated({type: 'claim', holder: 'e2', expects: 1}),
      mutated({type: 'renew', fencing: 1}),
      mutated({type: 'quarantine', fingerprint: 'f', reason: 'r'}),
    );
    fc.assert(
      fc.property(payload, malformed => {
        const state = createState();
        const before = JSON.stringify(serializeControlState(state));
        const record = {offset: 2, appendId: 'x', payload: malformed};
        const next = applyControlRecords(state, [record]);
        // The state that other readers hold must not change.
        assert.equal(JSON.stringify(serializeControlState(state)), before);
        const outcome = next.outcomes.get('x');
        assert.ok(outcome);
        if (outcome.tag === 'accepted') return;
        const {records, lease, seals, quarantine, lastSealed} = next;
        assert.deepEqual(records, state.records);
        assert.deepEqual(
          {lease, seals, quarantine, lastSealed},
          {
            lease: state.lease,
            seals: state.seals,
            quarantine: state.quarantine,
            lastSealed: state.lastSealed,
          },
        );
      }),
      options,
    );
  });

  it('in a payload leaves only valid record keys and a state that can be restored, even if the payload is accepted', () => {
    fc.assert(
      fc.property(fc.oneof(mutated(put), mutated(checkpoint)), payload => {
        const record = {offset: 2, appendId: 'x', payload};
        const next = applyControlRecords(createState(), [record]);
        for (const [key, stored] of next.records) {
          assert.equal(key, stored.key);
          assert.ok(parseRecordKey(key).ok, key);
        }
        const text = JSON.stringify(serializeControlState(next));
        const copy = restoreControlState(JSON.parse(text));
        assert.deepEqual(copy?.records, next.records);
      }),
      options,
    );
  });

  it('in a snapshot returns null or a consistent state', () => {
    const valid = JSON.parse(
      JSON.stringify(serializeControlState(createState())),
    ) as Record<string, unknown>;
    const records = fc
      .tuple(fc.string(), mutated({...put, revision: 1, offset: 0, raw: null}))
      .map(entry => ({...valid, records: [entry]}));
    fc.assert(
      fc.property(fc.oneof(invalidValue, mutated(valid), records), data => {
        const state = restoreControlState(data);
        if (!state) return;
        for (const [key, stored] of state.records) {
          assert.equal(key, stored.key);
        }
      }),
      options,
    );
    // A snapshot is rejected if a record is stored under a key other than its
    // own (requirement R16).
    const [[, record]] = valid['records'] as Array<[string, unknown]>;
    const moved = {...valid, records: [['account/two', record]]};
    assert.equal(restoreControlState(moved), null);
  });

  it('in labels never yields a version that was not live (requirement R1)', () => {
    const live = withConfirmedVersion(
      withConfirmedVersion(noLiveVersions, 3, 0),
      4,
      10,
    );
    const label = fc.option(fc.oneof(fc.integer(), fc.double()));
    const tokens = fc.integer({min: 1, max: 1_000});
    fc.assert(
      fc.property(fc.array(fc.tuple(label, tokens)), events => {
        let spans = noObservedSpans;
        for (const [version, count] of events) {
          spans = addTokens(spans, live, version, count, 20);
        }
        const sum = events.reduce((total, event) => total + event[1], 0);
        const kept = spans.spans.reduce((total, span) => total + span[1], 0);
        assert.equal(kept, sum);
        for (const [version] of spans.spans) {
          assert.ok([3, 4, -1].includes(version), String(version));
        }
      }),
      options,
    );
  });
});
