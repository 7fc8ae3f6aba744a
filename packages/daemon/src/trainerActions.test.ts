import {fail, getSha256, ok, parseJson} from '@vanillacross/common';
import type {WeightSpan} from '@vanillacross/domain';
import type {LogPort, StreamRecord} from '@vanillacross/platform';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {createTestContext, createFakeControl} from './entryFakes.test.js';
import {createMaybeRunRefusal} from './refusals.js';
import type {Sample} from './stepRun.js';
import {createTrainerActions} from './trainerActions.js';
import type {
  ResponseSummary,
  Context,
  Dispatcher,
  DispatchRequest,
  Component,
} from './types.js';

const KEY = 'sk-trainer';
const HEADER_END = '\r\n\r\n';

/** Response of the fake engine to one request. */
interface Script {
  /** Weight version of each token in the stream. */
  tokenVersions: number[];
  /** Spans that the agent reports; by default those of `tokenVersions`. */
  spans?: WeightSpan[];
  isCut?: boolean;
  /** Generates no further token until the request is cancelled. */
  isHung?: boolean;
}

type Engine = (body: Body, request: DispatchRequest) => Script;

interface Body {
  prompt: string;
  max_tokens: number;
  resume_tokens?: unknown[];
}

function getSpans(tokenVersions: readonly number[]): WeightSpan[] {
  const spans: WeightSpan[] = [];
  for (const version of tokenVersions) {
    const last = spans.at(-1);
    if (last?.[0] === version) last[1] += 1;
    else spans.push([version, 1]);
  }
  return spans;
}

async function* getEvents(
  {tokenVersions, isHung}: Script,
  signal: AbortSignal,
): AsyncIterable<Buffer> {
  for (const version of tokenVersions) {
    const event = {weight_version: version, choices: [{text: `v${version} `}]};
    yield Buffer.from(`data: ${JSON.stringify(event)}\n\n`);
  }
  if (isHung && !signal.aborted) await once(signal, 'abort');
}

function createFakeDispatcher(engine: Engine): Dispatcher {
  return {
    name: 'dispatcher',
    start: () => {},
    stop: async () => {},
    getUsageCells: () => [],
    dispatch: async request => {
      const body = JSON.parse(request.body.toString()) as Body;
      const script = engine(body, request);
      const {
        tokenVersions,
        spans = getSpans(tokenVersions),
        isCut,
        isHung,
      } = script;
      const usage = {prompt: 1, generated: tokenVersions.length};
      const end: ResponseSummary = {spans, usage, engineEpoch: 'engine'};
      const cut = {...createMaybeRunRefusal('answer_cut', 'cut'), partial: end};
      return ok({
        status: 200,
        headers: {},
        upstream: 'u1',
        body: getEvents(script, request.signal),
        finished: Promise.resolve(isCut || isHung ? fail(cut) : ok(end)),
      });
    },
  };
}

interface FakeLog extends LogPort {
  records: StreamRecord[];
  isUp: boolean;
}

function createFakeLog(): FakeLog {
  const log: FakeLog = {
    records: [],
    isUp: true,
    append: async (_stream, appends) => {
      if (!log.isUp) return fail({tag: 'unavailable', detail: 'down'});
      const first = log.records.length;
      appends.forEach((append, i) =>
        log.records.push({...append, offset: first + i}),
      );
      return ok(appends.map((_, i) => first + i));
    },
    read: async (_stream, from) => {
      if (!log.isUp) return fail({tag: 'unavailable', detail: 'down'});
      const records = log.records.slice(from);
      return ok({records, earliest: 0, next: log.records.length});
    },
  };
  return log;
}

interface FakeEntry {
  url: string;
  port: number;
  context: Context;
  newest: number;
  part: Component;
}

const cleanups: Array<() => Promise<void>> = [];
const generateAll: Engine = ({max_tokens: count}) => ({
  tokenVersions: Array.from({length: count}, () => 1),
});

async function startEntry(
  engine: Engine,
  log: LogPort = createFakeLog(),
): Promise<FakeEntry> {
  const context = createTestContext();
  const control = createFakeControl({
    'account/one': {},
    'key/k1': {account: 'one', hash: getSha256(KEY), state: 'active'},
    'pool/engines': {kind: 'engine', model: 'm'},
    'trainer/t': {account: 'one', model: 'm', maxVersionAge: 1},
  });
  const {actions, component: part} = createTrainerActions(
    context,
    control,
    createFakeDispatcher(engine),
    {
      logPort: log,
      scoring: {score: async (_id, _prompt, text) => ok(text.length)},
      getNewestVersion: () => entry.newest,
      limits: {batchIntervalMs: 20},
    },
  );
  const server = http.createServer((request, response) => {
    const path = request.url ?? '';
    const action = actions.find(({matches}) => matches('POST', path));
    void action?.perform(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}/v1/trainers/t/steps/s`;
  const entry: FakeEntry = {url, port, context, newest: 1, part};
  await part.start();
  cleanups.push(async () => {
    server.closeAllConnections();
    server.close();
    await part.stop(AbortSignal.abort());
  });
  return entry;
}

/** Sends a request and waits for the response headers. */
function open(entry: FakeEntry, path: string, body: unknown) {
  return fetch(entry.url + path, {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: JSON.stringify(body),
  });
}

async function post(entry: FakeEntry, path: string, body: unknown) {
  const answer = await open(entry, path, body);
  return {status: answer.status, text: await answer.text()};
}

function submit(entry: FakeEntry, count = 4, maxTokens = 3) {
  const groups = [{group: 'g', prompt: 'p', count, maxTokens}];
  return post(entry, '', {groups, policyVersion: 1});
}

type Line = Sample & {end?: true; delivered?: number; missing?: number};

/** Complete lines of a delivery, as parsed by a trainer. */
function getLines(text: string): Line[] {
  const lines = text.split('\n').slice(0, -1);
  return lines.map(line => JSON.parse(line) as Line);
}

async function deliver(entry: FakeEntry, received: string[] = []) {
  const {text} = await post(entry, '/deliveries', {received});
  return getLines(text);
}

/**
 * Reads a delivery until `getBodyAtCut` returns the body received so far, then
 * resets the connection.
 */
function deliverCut(
  entry: FakeEntry,
  received: string[],
  getBodyAtCut: (bytes: string) => string | null,
): Promise<string> {
  const body = JSON.stringify({received});
  const {pathname} = new URL(entry.url);
  return new Promise(resolve => {
    let bytes = '';
    const socket = net.connect(entry.port, '127.0.0.1');
    const check = () => {
      const taken = getBodyAtCut(bytes);
      if (taken === null) return;
      socket.resetAndDestroy();
      resolve(taken);
    };
    socket.on('error', () => {});
    socket.setEncoding('latin1');
    socket.on('data', (chunk: string) => {
      bytes += chunk;
      check();
    });
    socket.write(
      `POST ${pathname}/deliveries HTTP/1.0\r\nauthorization: Bearer ${KEY}\r\n` +
        `content-length: ${body.length}\r\n\r\n${body}`,
      check,
    );
  });
}

function getBody(bytes: string): string {
  const start = bytes.indexOf(HEADER_END);
  return start < 0 ? '' : bytes.slice(start + HEADER_END.length);
}

/** Returns the body up to the position that `find` returns, once it arrived. */
function takeUntil(find: (body: string) => number) {
  return (bytes: string) => {
    const end = find(getBody(bytes));
    return end < 0 ? null : getBody(bytes).slice(0, end);
  };
}

const endOfLine = (body: string, line: number) =>
  [...body.matchAll(/\n/g)][line]?.index ?? -1;

const boundaries: Record<string, (bytes: string) => string | null> = {
  'before the first byte': () => '',
  'within a line': takeUntil(body => endOfLine(body, 1)),
  'at a line end': takeUntil(body => {
    const end = endOfLine(body, 1);
    return end < 0 ? -1 : end + 1;
  }),
  'before the end line': takeUntil(body => body.indexOf('{"end"')),
  'within the end line': takeUntil(body => body.indexOf('"delivered"')),
  'after the end line': takeUntil(body => {
    const start = body.indexOf('{"end"');
    const end = start < 0 ? -1 : body.indexOf('\n', start);
    return end < 0 ? -1 : end + 1;
  }),
};

describe('trainer actions', {timeout: 60_000}, () => {
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) await cleanup();
  });

  for (const [name, getBodyAtCut] of Object.entries(boundaries)) {
    for (const usesOtherEntry of [false, true]) {
      const where = usesOtherEntry ? 'another entry' : 'the same entry';
      it(`resumes at ${where} after a disconnect ${name} without repeating or losing samples`, async () => {
        const log = createFakeLog();
        const first = await startEntry(generateAll, log);
        assert.equal((await submit(first)).status, 200);
        const text = await deliverCut(first, [], getBodyAtCut);
        const receivedLines = getLines(text).filter(({end}) => !end);
        const received = receivedLines.map(({sampleId}) => sampleId as string);
        const next = usesOtherEntry
          ? await startEntry(generateAll, log)
          : first;
        assert.equal((await submit(next)).status, 200);
        const rest = await deliver(next, received);
        const end = rest.pop();
        assert.deepEqual(end, {end: true, delivered: rest.length, missing: 0});
        const ids = [...received, ...rest.map(({sampleId}) => sampleId)];
        assert.equal(ids.length, 4);
        assert.equal(new Set(ids).size, 4);
      });
    }
  }

  it('labels a sample that spans a weight swap with both versions', async () => {
    const entry = await startEntry(() => ({tokenVersions: [1, 1, 2]}));
    await submit(entry, 1);
    const [sample] = await deliver(entry);
    assert.deepEqual(sample.spans, [[1, 2], [2, 1]]); // prettier-ignore
    assert.equal(sample.text, 'v1 v1 v2 ');
    assert.equal(sample.tokens, 3);
    assert.equal(sample.score, sample.text.length);
  });

  it('regenerates stale samples instead of delivering them', async () => {
    const entry = await startEntry(() => ({tokenVersions: [entry.newest, 9]}));
    await submit(entry, 2, 2);
    // The samples are ready with version 1 when version 9 makes them too old.
    entry.newest = 9;
    const lines = await deliver(entry);
    assert.deepEqual(lines[0].spans, [[9, 2]]);
    const {metrics} = entry.context;
    const replaced =
      metrics.getCount('vc_samples_stale_dropped') +
      metrics.getCount('vc_samples_cancelled_early');
    assert.ok(replaced >= 2);
  });

  it('cancels running attempts that can only yield stale samples', async () => {
    const entry = await startEntry(() =>
      entry.newest === 9
        ? {tokenVersions: [9]}
        : {tokenVersions: [1], isHung: true},
    );
    await submit(entry, 2, 1);
    const lines = deliver(entry);
    entry.newest = 9;
    assert.deepEqual((await lines)[0].spans, [[9, 1]]);
    const {metrics} = entry.context;
    assert.equal(metrics.getCount('vc_samples_cancelled_early'), 2);
  });

  it('hedges a straggler, so that a step does not wait for one engine', async () => {
    let sends = 0;
    const avoided: unknown[] = [];
    const entry = await startEntry((_body, {avoid}) => {
      avoided.push(avoid);
      return {tokenVersions: [1], isHung: ++sends === 2};
    });
    await submit(entry, 4, 1);
    const lines = await deliver(entry);
    assert.equal(lines.length, 5);
    assert.deepEqual(avoided.at(-1), ['u1']);
    assert.equal(entry.context.metrics.getCount('vc_samples_hedged'), 1);
  });

  it('discards samples whose token labels contradict the spans of the agent', async () => {
    const scripts: Script[] = [
      {tokenVersions: [1, 1], spans: []},
      {tokenVersions: [1, 1], spans: [[-1, 2]]},
      {tokenVersions: [1, 1], spans: [[1, 3]]},
    ];
    const entry = await startEntry(
      () => scripts.shift() ?? {tokenVersions: [1, 1, 1]},
    );
    await submit(entry, 1);
    const [sample] = await deliver(entry);
    assert.equal(sample.tokens, 3);
    for (const reason of ['empty', 'mismatch', 'count']) {
      const metricLabels = {reason};
      const {metrics} = entry.context;
      assert.equal(metrics.getCount('vc_samples_discarded', metricLabels), 1);
    }
  });

  it('resumes an interrupted sample from its labelled tokens and keeps their spans', async () => {
    const resumed: unknown[] = [];
    const entry = await startEntry(({resume_tokens: tokens}) => {
      resumed.push(tokens);
      return tokens
        ? {tokenVersions: [2]}
        : {tokenVersions: [1, 1], isCut: true};
    });
    await submit(entry, 1);
    const [sample] = await deliver(entry);
    assert.deepEqual(resumed, [undefined, ['v1 ', 'v1 ']]);
    assert.deepEqual(sample.spans, [[1, 2], [2, 1]]); // prettier-ignore
    assert.equal(sample.text, 'v1 v1 v2 ');
  });

  it('keeps acknowledgements during a log outage, so that samples are not repeated', async () => {
    const log = createFakeLog();
    const entry = await startEntry(generateAll, log);
    await submit(entry);
    const lines = (await deliver(entry)).filter(({end}) => !end);
    const sampleIds = lines.map(({sampleId}) => sampleId);
    log.isUp = false;
    const down = await post(entry, '/acknowledgements', {sampleIds});
    assert.deepEqual(parseJson(down.text), ok({recorded: false}));
    log.isUp = true;
    while (log.records.length === 0) await sleep(20);
    const other = await startEntry(generateAll, log);
    await submit(other);
    const again = await deliver(other, []);
    assert.deepEqual(again, [{end: true, delivered: 0, missing: 0}]);
  });

  it('ends the open delivery of a step when a newer one opens', async () => {
    let isOpen = false;
    const entry = await startEntry(body =>
      isOpen ? generateAll(body, {} as DispatchRequest) : {tokenVersions: []},
    );
    await submit(entry);
    const older = await open(entry, '/deliveries', {received: []});
    const newer = deliver(entry, []);
    await assert.rejects(older.text(), 'the older stream must be aborted');
    isOpen = true;
    assert.equal((await newer).length, 5);
  });
});
