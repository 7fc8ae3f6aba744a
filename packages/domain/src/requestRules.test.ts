import {getSha256, ok} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import fc from 'fast-check';

import {
  createAccessTable,
  authorizeRequest,
  getModelRoute,
  getPathRoutes,
  isCanonicalPath,
  ANONYMOUS_ACCOUNT,
} from './access.js';
import {applyControlRecords, emptyControlState} from './controlState.js';
import type {UsageCell} from './messages.js';
import {
  hasKeyInPath,
  sanitizeQuery,
  sanitizeRequestHeaders,
} from './sanitize.js';
import type {ChoicePolicy, UpstreamView} from './upstreamChoice.js';
import {chooseUpstream, getFreeSlots} from './upstreamChoice.js';
import {mergeUsage} from './usageCells.js';

const SEED = 20_261_204;
const KEY = 'sk-1';

function createTable(bodies: Record<string, unknown>) {
  const records = Object.entries(bodies).map(([key, body], offset) => ({
    offset,
    appendId: String(offset),
    payload: {
      type: 'put',
      key,
      baseRevision: 0,
      schemaVersion: 1,
      body,
      operator: 'test',
    },
  }));
  return createAccessTable(applyControlRecords(emptyControlState, records));
}

function createRoute(pathPrefix: string, changes = {}) {
  return {
    pathPrefix,
    pool: 'p',
    access: ['a'],
    repeat: 'idempotent',
    ...changes,
  };
}

describe('access', () => {
  const table = createTable({
    'account/a': {},
    'account/b': {},
    'key/a': {account: 'a', hash: getSha256(KEY), state: 'active'},
    'key/b': {account: 'b', hash: getSha256('sk-b'), state: 'active'},
    'key/old': {account: 'a', hash: getSha256('sk-old'), state: 'withdrawn'},
    'key/twice': {account: 'a', hash: getSha256('sk-old'), state: 'active'},
    'key/gone': {account: 'gone', hash: getSha256('sk-gone'), state: 'active'},
    'route/all': createRoute('/', {access: 'open', methods: ['GET']}),
    'route/v1': createRoute('/v1'),
    'route/m': createRoute('/v1', {model: 'm', pool: 'm'}),
  });

  it('matches the longest prefix first, then the model', () => {
    const getId = (method: string, path: string, model?: string) =>
      getModelRoute(getPathRoutes(table, method, path), model)?.id ?? null;
    assert.equal(getId('POST', '/v1/x', 'm'), 'm');
    assert.equal(getId('POST', '/v1/x', 'n'), 'v1');
    assert.equal(getId('GET', '/v1'), 'v1');
    assert.equal(
      getId('GET', '/v10'),
      'all',
      'a prefix matches whole segments only',
    );
    assert.equal(getId('POST', '/other'), null);
  });

  it('runs a request only as the account that its key belongs to (requirement R4)', () => {
    const [route] = getPathRoutes(table, 'POST', '/v1').map(e => e.route);
    const getOutcome = (key: string | null) =>
      authorizeRequest(table, route, key && getSha256(key));
    assert.deepEqual(getOutcome(KEY), ok('a'));
    const failures = ['sk-b', 'sk-old', 'sk-gone', 'none', null].map(key => {
      const outcome = getOutcome(key);
      return outcome.ok ? 'ok' : outcome.error;
    });
    assert.deepEqual(failures, [
      'forbidden',
      'key_withdrawn',
      'key_withdrawn',
      'unauthorized',
      'unauthorized',
    ]);
    const [open] = getPathRoutes(table, 'GET', '/').map(e => e.route);
    assert.deepEqual(
      authorizeRequest(table, open, getSha256('x')),
      ok(ANONYMOUS_ACCOUNT),
    );
  });

  it('rejects paths that an upstream may parse differently (requirement R4)', () => {
    const ambiguous = [
      '/a/../b',
      '/a/%2E./b',
      '/a//b',
      '/a%2fb',
      '/a\\b',
      'a',
      '/.',
    ];
    assert.deepEqual(ambiguous.filter(isCanonicalPath), []);
    assert.ok(['/', '/a/b.c', '/a/'].every(isCanonicalPath));
  });
});

describe('sanitize', () => {
  it('removes keys from the usual query parameters (requirement R5)', () => {
    const cases: Array<[string, string]> = [
      ['/x?key=1&a=2', '/x?a=2'],
      ['/x?API-Key=1', '/x'],
      ['/x?access_token=1;b=%20', '/x?b=%20'],
      ['/x?%6bey=1&c', '/x?c'],
      [`/x?q=${KEY}&d=1`, '/x?d=1'],
      ['/x?keyword=1', '/x?keyword=1'],
    ];
    for (const [from, to] of cases) assert.equal(sanitizeQuery(from, KEY), to);
    assert.ok(hasKeyInPath(`/x/${KEY}`, KEY));
  });

  it('removes headers with a key, account or internal name (requirement R5)', () => {
    const kept = sanitizeRequestHeaders(
      {
        Authorization: 'Bearer 1',
        'X-Account': 'a',
        'x-accountid': 'a',
        'openai-organization': 'a',
        'X-Tenant-Id': 'a',
        'VC-Attempt': '1',
        'x-goog-api-key': '1',
        'x-session-token': '1',
        connection: 'x-listed',
        'x-listed': '1',
        'transfer-encoding': 'chunked',
        'x-echo': `is ${KEY}`,
        accept: ['a', 'b'] as string[],
        'content-type': 'text/plain',
      },
      KEY,
    );
    assert.deepEqual(kept, {accept: 'a, b', 'content-type': 'text/plain'});
  });
});

describe('choice of upstream', () => {
  const policies: ChoicePolicy[] = [
    'score',
    'random',
    'roundRobin',
    'leastInFlight',
  ];
  const viewArbitrary: fc.Arbitrary<UpstreamView> = fc.record({
    id: fc.uuid(),
    domain: fc.constantFrom('d1', 'd2'),
    isLeaving: fc.boolean(),
    isDomainIn: fc.boolean(),
    isEjected: fc.boolean(),
    inFlight: fc.integer({min: 0, max: 20}),
    load: fc.option(
      fc.record({
        running: fc.integer({min: 0, max: 20}),
        limit: fc.integer({min: 0, max: 20}),
        waiting: fc.integer({min: 0, max: 5}),
        epoch: fc.constant('e'),
        version: fc.constant(1),
        cold: fc.boolean(),
      }),
    ),
    loadAgeMs: fc.integer({min: 0, max: 10_000}),
    inFlightAtLoad: fc.integer({min: 0, max: 20}),
    assumedLimit: fc.constant(1),
  });

  it('sends no work to unavailable upstreams (requirements R10, R14)', () => {
    const property = fc.property(
      fc.array(viewArbitrary, {maxLength: 12}),
      fc.constantFrom(...policies),
      fc.double({min: 0, max: 0.999, noNaN: true}),
      (upstreams, policy, random) => {
        const avoid = new Set(upstreams.slice(0, 2).map(view => view.id));
        const chosen = chooseUpstream(policy, {
          upstreams,
          avoid,
          domain: 'd1',
          affinity: 'x',
          random: () => random,
          turn: 3,
        });
        const eligible = upstreams.filter(
          view =>
            !view.isLeaving &&
            view.isDomainIn &&
            !view.isEjected &&
            !avoid.has(view.id),
        );
        if (eligible.length === 0) return assert.equal(chosen, null);
        assert.ok(chosen && eligible.includes(chosen));
        const hasFree = eligible.some(view => getFreeSlots(view) > 0);
        // An upstream with room is preferred to one without (requirement R9).
        assert.ok(!hasFree || getFreeSlots(chosen) > 0);
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 300});
  });
});

describe('usage cells', () => {
  it('merge to the same counts in any order and with repeats (requirement R8)', () => {
    const cell = fc.record<UsageCell>({
      window: fc.integer({min: 0, max: 2}),
      entryEpoch: fc.constantFrom('e1', 'e2'),
      agentEpoch: fc.constantFrom('a1', 'a2'),
      account: fc.constantFrom('x', 'y'),
      requests: fc.nat(100),
      promptTokens: fc.nat(100),
      generatedTokens: fc.nat(100),
    });
    const property = fc.property(fc.array(cell, {maxLength: 30}), cells => {
      const once = new Map<string, UsageCell>();
      const again = new Map<string, UsageCell>();
      mergeUsage(once, cells);
      mergeUsage(again, [...cells].reverse());
      mergeUsage(again, cells);
      assert.deepEqual(new Map([...again].sort()), new Map([...once].sort()));
    });
    fc.assert(property, {seed: SEED, numRuns: 100});
  });
});
