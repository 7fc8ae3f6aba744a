import * as assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {CallerResponse} from './callers.js';
import {callEntry} from './callers.js';
import type {Deployment} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'sk-coach-1b6e';
const MODEL = 'coach';
const MARKER = 'crash-this-engine';
const MAX_SENDS = 40;
const SEND_INTERVAL_MS = 250;

describe('request quarantine', {timeout: 120_000}, () => {
  let deployment: Deployment;
  let serial = 0;

  const complete = (prompt: string, entry = 0): Promise<CallerResponse> =>
    callEntry({
      baseUrl: deployment.entries[entry % 3].url,
      id: `request-${++serial}`,
      method: 'POST',
      path: '/v1/completions',
      apiKey: KEY,
      headers: {'content-type': 'application/json'},
      body: {model: MODEL, prompt, max_tokens: 4},
    });
  const getCrashes = () =>
    deployment.agents.map(agent => agent.engine!.getAudit().crashes);
  const hasLease = () =>
    deployment.platform.log
      .getRecords('control')
      .some(({payload}) => (payload as {type: string}).type === 'claim');

  before(async () => {
    deployment = await startDeployment({
      entries: 3,
      pools: [
        {
          id: 'engines',
          body: {kind: 'engine', model: MODEL, ramp: {initial: 16}},
          upstreams: 4,
          engine: {model: MODEL, crashMarker: MARKER, restartMs: 300},
        },
      ],
      records: [
        ...createAccountRecords('coach', KEY),
        createRecord('route', 'completions', {
          pathPrefix: '/v1/completions',
          methods: ['POST'],
          model: MODEL,
          pool: 'engines',
          access: ['coach'],
          repeat: 'idempotent',
        }),
      ],
    });
    // Only the lease holder counts crashes.
    await waitUntil('an entry holds the lease', hasLease);
    await waitUntil('all entries serve', async () => {
      const responses = [0, 1, 2].map(entry => complete('warm up', entry));
      return (await Promise.all(responses)).every(({status}) => status === 200);
    });
  });
  after(() => deployment?.stop());

  // Guards against a request that brings down the whole pool because its caller
  // keeps retrying it.
  it('refuses a request that crashed two upstreams and serves others', async () => {
    const codes: Array<string | undefined> = [];
    while (codes.length < MAX_SENDS && codes.at(-1) !== 'quarantined') {
      const response = await complete(MARKER);
      codes.push(response.error?.code);
      await sleep(SEND_INTERVAL_MS);
    }
    assert.equal(codes.at(-1), 'quarantined', codes.join(', '));
    const crashes = getCrashes();
    const later = [0, 1, 2, 3].map(entry => complete(MARKER, entry));
    for (const {error} of await Promise.all(later)) {
      assert.equal(error?.code, 'quarantined');
      assert.equal(error?.notRun, true);
    }
    assert.deepEqual(getCrashes(), crashes, 'no further crash');
    const others = await Promise.all(
      Array.from({length: 12}, (_, i) => complete(`seat ${i}`, i)),
    );
    assert.deepEqual(
      others.filter(({status}) => status !== 200).map(({text}) => text),
      [],
    );
    assert.equal(
      crashes.filter(count => count > 0).length,
      2,
      `crashes: ${crashes.join(', ')}; error codes: ${codes.join(', ')}`,
    );
  });
});
