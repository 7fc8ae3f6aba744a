import * as assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';

import {sendRequest, expectResponse, describeContract} from './contract.js';
import type {ContractCase, EffectfulCall, GetBaseUrl} from './contract.js';

interface Range {
  records: Array<{offset: number; appendId: string; payload: unknown}>;
  earliest: number;
  next: number;
}
interface Changes {
  version: number;
  full: boolean;
  instances: Array<{id: string; state: string}>;
  removed: string[];
}

/**
 * Number of appends that exceeds the rate limit and the retention; the log
 * under test must be configured below it.
 */
const MANY_APPENDS = 1_000;

function getStreamUrl(url: string, stream: string): string {
  return `${url}/v1/streams/${stream}/records`;
}
function append(streamUrl: string, payloads: unknown[]) {
  const records = payloads.map(payload => ({appendId: randomUUID(), payload}));
  return expectResponse<{offsets: number[]; retryAfterMs?: number}>(
    'POST',
    streamUrl,
    {
      records,
    },
  );
}
function read(streamUrl: string, query: string) {
  return expectResponse<Range>('GET', `${streamUrl}?${query}`);
}

const logCases: ContractCase[] = [
  {
    // Guards against repeated offsets, which serve as fencing numbers.
    name: 'assigns consecutive offsets from 0 per stream',
    run: async url => {
      const stream = getStreamUrl(url, randomUUID());
      assert.deepEqual((await append(stream, ['a', 'b'])).body.offsets, [0, 1]);
      assert.deepEqual((await append(stream, ['c'])).body.offsets, [2]);
      const {records, earliest, next} = (await read(stream, 'from=1')).body;
      assert.deepEqual(
        records.map(({offset, payload}) => [offset, payload]),
        [
          [1, 'b'],
          [2, 'c'],
        ],
      );
      assert.deepEqual([earliest, next], [0, 3]);
    },
  },
  {
    // Guards against unbounded responses.
    name: 'reads at most max records',
    run: async url => {
      const stream = getStreamUrl(url, randomUUID());
      await append(stream, ['a', 'b', 'c']);
      const {records} = (await read(stream, 'from=0&max=2')).body;
      assert.equal(records.length, 2);
    },
  },
  {
    // Guards against delayed configuration changes.
    name: 'completes a long poll when a record arrives',
    run: async url => {
      const stream = getStreamUrl(url, randomUUID());
      const poll = read(stream, 'from=0&waitMs=15000');
      await append(stream, ['a']);
      assert.equal((await poll).body.records.length, 1);
    },
  },
  {
    // Guards against readers that hang.
    name: 'completes an idle long poll without records',
    run: async url => {
      const stream = getStreamUrl(url, randomUUID());
      const {records, next} = (await read(stream, 'from=0&waitMs=10')).body;
      assert.deepEqual([records.length, next], [0, 0]);
    },
  },
  {
    // Guards against partially appended batches.
    name: 'refuses a malformed append as a whole',
    run: async url => {
      const stream = getStreamUrl(url, randomUUID());
      const records = [{appendId: 'a', payload: 1}, {payload: 2}];
      const response = await expectResponse('POST', stream, {records});
      assert.equal(response.status, 400);
      assert.equal((await read(stream, 'from=0')).body.next, 0);
    },
  },
];

const retentionCase: ContractCase = {
  // Guards against gaps that a reader takes for complete data.
  name: 'responds with 410 below the earliest record',
  run: async url => {
    const stream = getStreamUrl(url, randomUUID());
    await append(stream, Array(MANY_APPENDS).fill('x'));
    const gap = await read(stream, 'from=0');
    assert.equal(gap.status, 410);
    assert.equal(gap.body.next, MANY_APPENDS);
    const rest = await read(stream, `from=${gap.body.earliest}`);
    assert.equal(rest.body.records[0].offset, gap.body.earliest);
  },
};
const rateCase: ContractCase = {
  // Guards against a rate limit that is not enforced.
  name: 'refuses appends above the rate limit without effect',
  run: async url => {
    const stream = getStreamUrl(url, randomUUID());
    const sends = Array.from({length: MANY_APPENDS}, () => append(stream, [0]));
    const responses = await Promise.all(sends);
    const limited = responses.filter(({status}) => status === 429);
    assert.ok(limited.length > 0);
    assert.ok(limited.every(({body}) => body.retryAfterMs! > 0));
    const {next} = (await read(stream, 'from=0&max=1')).body;
    assert.equal(next, MANY_APPENDS - limited.length);
  },
};
const outageCase: ContractCase = {
  // Guards against an outage that loses state.
  name: 'keeps its records through an outage',
  run: async url => {
    const stream = getStreamUrl(url, randomUUID());
    await append(stream, ['a']);
    const poll = read(stream, 'from=1&waitMs=15000');
    await expectResponse('PUT', `${url}/outage`, {isDown: true});
    assert.equal((await append(stream, ['b'])).status, 503);
    assert.equal((await poll).status, 503);
    await expectResponse('PUT', `${url}/outage`, {isDown: false});
    assert.deepEqual((await append(stream, ['c'])).body.offsets, [1]);
  },
};

const logAppend: EffectfulCall = {
  send: (url, key, timeoutMs) => {
    const records = [{appendId: key, payload: key}];
    return sendRequest('POST', getStreamUrl(url, key), {records}, timeoutMs);
  },
  countEffects: async (url, key) =>
    (await read(getStreamUrl(url, key), 'from=0')).body.next,
  isIdempotent: false,
};

/** Options for contract tests that only stand-ins can pass. */
export interface ContractOptions {
  /** The implementation supports `PUT /faults` and the other test settings. */
  supportsFaultInjection?: boolean;
}

/** The log under test must retain fewer than `MANY_APPENDS` records. */
export function describeLogContract(
  getBaseUrl: GetBaseUrl,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const cases = [...logCases, retentionCase];
  if (supportsFaultInjection) cases.push(outageCase);
  const effectful = supportsFaultInjection ? logAppend : undefined;
  describeContract('log', getBaseUrl, cases, effectful);
}

/**
 * Exhausts the append rate of the log, so it needs a separate log, which must
 * accept fewer than `MANY_APPENDS` appends at once.
 */
export function describeLogRateContract(getBaseUrl: GetBaseUrl): void {
  describeContract('log rate', getBaseUrl, [rateCase]);
}

function getInstance(id: string, state = 'live') {
  const address = '127.0.0.1:1';
  return {id, role: 'entry', domain: 'a', address, peerAddress: address, state};
}
async function getChanges(
  url: string,
  since: number,
  role?: string,
): Promise<Changes> {
  const filter = role === undefined ? '' : `&role=${role}`;
  const path = `/v1/instances?since=${since}${filter}`;
  return (await expectResponse<Changes>('GET', url + path)).body;
}
const putInstance = (url: string, id: string, state?: string) =>
  expectResponse('PUT', `${url}/v1/instances/${id}`, getInstance(id, state));

const instanceCases: ContractCase[] = [
  {
    // Guards against instances that are missed between polls.
    name: 'lists all instances at first and then only changes',
    run: async url => {
      const [a, b] = [randomUUID(), randomUUID()];
      await putInstance(url, a);
      const first = await getChanges(url, 0);
      assert.ok(first.full && first.instances.some(({id}) => id === a));
      await putInstance(url, b, 'leaving');
      await expectResponse('DELETE', `${url}/v1/instances/${a}`);
      const second = await getChanges(url, first.version);
      assert.equal(second.full, false);
      assert.deepEqual(
        second.instances.map(({id, state}) => [id, state]),
        [[b, 'leaving']],
      );
      assert.deepEqual(second.removed, [a]);
      const third = await getChanges(url, second.version);
      assert.deepEqual([third.instances, third.removed], [[], []]);
    },
  },
  {
    // Guards against agents that must read the whole list.
    name: 'filters by role',
    run: async url => {
      const [entry, agent] = [randomUUID(), randomUUID()];
      const {version} = await getChanges(url, 0);
      await putInstance(url, entry);
      const upstream = {id: agent, pool: 'p'};
      await expectResponse('PUT', `${url}/v1/instances/${agent}`, {
        ...getInstance(agent),
        role: 'agent',
        upstream,
      });
      const changes = await getChanges(url, version, 'entry');
      assert.deepEqual(
        changes.instances.map(({id}) => id),
        [entry],
      );
      await expectResponse('DELETE', `${url}/v1/instances/${entry}`);
      await expectResponse('DELETE', `${url}/v1/instances/${agent}`);
      const gone = await getChanges(url, changes.version, 'entry');
      assert.deepEqual(gone.removed, [entry]);
    },
  },
  {
    // Guards against a restarted list that looks unchanged.
    name: 'lists all instances to a reader with a newer version',
    run: async url => {
      await putInstance(url, randomUUID());
      assert.equal((await getChanges(url, 1_000_000)).full, true);
    },
  },
];
const lagCase: ContractCase = {
  // Guards against tests that run only against an up-to-date list.
  name: 'hides a change until the lag has passed',
  run: async url => {
    const id = randomUUID();
    const {version} = await getChanges(url, 0);
    await expectResponse('PUT', `${url}/lag`, {lagMs: 3_600_000});
    await putInstance(url, id);
    const lagging = await getChanges(url, 0);
    assert.ok(lagging.instances.every(listed => listed.id !== id));
    await expectResponse('PUT', `${url}/lag`, {lagMs: 0});
    const current = await getChanges(url, version);
    assert.ok(current.instances.some(listed => listed.id === id));
  },
};
const instancePut: EffectfulCall = {
  send: (url, key, timeoutMs) =>
    sendRequest(
      'PUT',
      `${url}/v1/instances/${key}`,
      getInstance(key),
      timeoutMs,
    ),
  countEffects: async (url, key) =>
    (await getChanges(url, 0)).instances.filter(({id}) => id === key).length,
  isIdempotent: true,
};

export function describeInstanceListContract(
  getBaseUrl: GetBaseUrl,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const cases = supportsFaultInjection
    ? [...instanceCases, lagCase]
    : instanceCases;
  const effectful = supportsFaultInjection ? instancePut : undefined;
  describeContract('instance list', getBaseUrl, cases, effectful);
}

type Upstreams = {upstreams: Array<{id: string; pool: string}>};
const FENCING = 7;

async function getPoolUpstreams(url: string, pool: string) {
  const {body} = await expectResponse<Upstreams>('GET', `${url}/v1/upstreams`);
  return body.upstreams.filter(upstream => upstream.pool === pool);
}
const putOrder = (url: string, id: string, fields: object) =>
  expectResponse<{status?: string; highest?: number}>(
    'PUT',
    `${url}/v1/orders/${id}`,
    {
      fencing: FENCING,
      action: 'start',
      ...fields,
    },
  );

const orderingCases: ContractCase[] = [
  {
    // Guards against orders without effect.
    name: 'starts and stops upstreams',
    run: async url => {
      const pool = randomUUID();
      await putOrder(url, randomUUID(), {pool, count: 2});
      const [first, second] = await getPoolUpstreams(url, pool);
      const stop = {pool, action: 'stop', upstream: first.id};
      await putOrder(url, randomUUID(), stop);
      assert.deepEqual(await getPoolUpstreams(url, pool), [second]);
    },
  },
  {
    // Guards against a lost order that is taken for a completed one.
    name: 'responds with 404 for an unknown order',
    run: async url => {
      const path = `/v1/orders/${randomUUID()}`;
      assert.equal((await expectResponse('GET', url + path)).status, 404);
    },
  },
];
function createFencingCase(checksFencing: boolean): ContractCase {
  return {
    // Guards against fencing tests (requirement R7) that run against the wrong
    // kind of platform.
    name: `${checksFencing ? 'refuses' : 'accepts'} a stale fencing number`,
    run: async url => {
      const pool = randomUUID();
      await putOrder(url, randomUUID(), {pool});
      const old = {pool, fencing: FENCING - 1};
      const response = await putOrder(url, randomUUID(), old);
      assert.equal(response.status, checksFencing ? 409 : 200);
      if (checksFencing) assert.equal(response.body.highest, FENCING);
      const expected = checksFencing ? 1 : 2;
      assert.equal((await getPoolUpstreams(url, pool)).length, expected);
    },
  };
}
const orderCall: EffectfulCall = {
  send: (url, key, timeoutMs) => {
    const order = {fencing: FENCING, pool: key, action: 'start'};
    return sendRequest('PUT', `${url}/v1/orders/${key}`, order, timeoutMs);
  },
  countEffects: async (url, key) => (await getPoolUpstreams(url, key)).length,
  isIdempotent: true,
};

export function describeOrderingContract(
  getBaseUrl: GetBaseUrl,
  checksFencing: boolean,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const cases = [...orderingCases, createFencingCase(checksFencing)];
  const effectful = supportsFaultInjection ? orderCall : undefined;
  const name = `ordering that ${checksFencing ? 'checks' : 'ignores'} fencing numbers`;
  describeContract(name, getBaseUrl, cases, effectful);
}

let lastWindow = 0;
/**
 * Window number for each key: the fault cases identify a call by a key, whereas
 * a report is identified by its window.
 */
const windowsByKey = new Map<string, number>();

function getWindow(key: string): number {
  const window = windowsByKey.get(key) ?? ++lastWindow;
  windowsByKey.set(key, window);
  return window;
}
function getReport(requests: number) {
  const figures = {a: {requests, promptTokens: 0, generatedTokens: 0}};
  return {figures, sealOffset: 1};
}
const putReport = (url: string, window: number, requests: number) =>
  expectResponse('PUT', `${url}/v1/reports/${window}`, getReport(requests));

const reportCases: ContractCase[] = [
  {
    // Guards against two different reports for one window (requirement R8).
    name: 'accepts a repeated report and refuses a different one for the same window',
    run: async url => {
      const window = getWindow(randomUUID());
      assert.equal((await putReport(url, window, 1)).status, 200);
      assert.equal((await putReport(url, window, 1)).status, 200);
      assert.equal((await putReport(url, window, 2)).status, 409);
      const {body} = await expectResponse<{reports: Array<{window: number}>}>(
        'GET',
        `${url}/v1/reports`,
      );
      const kept = body.reports.filter(report => report.window === window);
      assert.deepEqual(kept, [{window, ...getReport(1)}]);
    },
  },
];
const reportCall: EffectfulCall = {
  send: (url, key, timeoutMs) => {
    const path = `/v1/reports/${getWindow(key)}`;
    return sendRequest('PUT', url + path, getReport(1), timeoutMs);
  },
  countEffects: async (url, key) => {
    const path = `${url}/v1/reports`;
    const {body} = await expectResponse<{reports: Array<{window: number}>}>(
      'GET',
      path,
    );
    return body.reports.filter(({window}) => window === getWindow(key)).length;
  },
  isIdempotent: true,
};

export function describeReportsContract(
  getBaseUrl: GetBaseUrl,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const effectful = supportsFaultInjection ? reportCall : undefined;
  describeContract('reports', getBaseUrl, reportCases, effectful);
}

type Versions = {versions: Array<{version: number; bytes: number}>};
const WEIGHT_BYTES = 200_000;

async function getVersions(url: string, model: string) {
  const path = `/v1/weights/${model}`;
  return (await expectResponse<Versions>('GET', url + path)).body.versions;
}
const publication = {version: 3, bytes: WEIGHT_BYTES, trainer: 'trainer'};

const weightCases: ContractCase[] = [
  {
    // Guards against a store that lists a version but does not serve its bytes.
    name: 'serves the bytes of a published version',
    run: async url => {
      const model = randomUUID();
      const path = `${url}/v1/weights/${model}`;
      await expectResponse('POST', path, publication);
      const [{version, bytes}] = await getVersions(url, model);
      assert.deepEqual([version, bytes], [3, WEIGHT_BYTES]);
      const body = await (await fetch(`${path}/3`)).arrayBuffer();
      assert.equal(body.byteLength, WEIGHT_BYTES);
      assert.equal((await expectResponse('GET', `${path}/4`)).status, 404);
    },
  },
];
const publishCall: EffectfulCall = {
  send: (url, key, timeoutMs) =>
    sendRequest('POST', `${url}/v1/weights/${key}`, publication, timeoutMs),
  countEffects: async (url, key) => (await getVersions(url, key)).length,
  isIdempotent: true,
};

export function describeWeightStoreContract(
  getBaseUrl: GetBaseUrl,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const effectful = supportsFaultInjection ? publishCall : undefined;
  describeContract('weight store', getBaseUrl, weightCases, effectful);
}

const scoringCases: ContractCase[] = [
  {
    // Guards against samples whose score differs between requests.
    name: 'returns the same score for the same text',
    run: async url => {
      const sample = {sampleId: randomUUID(), prompt: 'p', text: 't'};
      const score = async () =>
        (
          await expectResponse<{score: number}>(
            'POST',
            `${url}/v1/score`,
            sample,
          )
        ).body.score;
      const first = await score();
      assert.ok(first >= 0 && first <= 1);
      assert.equal(await score(), first);
    },
  },
];

export function describeScoringContract(getBaseUrl: GetBaseUrl): void {
  describeContract('scoring', getBaseUrl, scoringCases);
}
