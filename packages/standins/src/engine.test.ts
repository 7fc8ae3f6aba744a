import * as assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';

import type {EngineOptions, EngineStandIn} from './engine.js';
import {createEngine} from './engine.js';
import {getTokenText} from './tokenText.js';

interface Chunk {
  weight_version: number;
  choices: Array<{text?: string; finish_reason: string | null}>;
  usage?: {completion_tokens: number};
}

const engines: EngineStandIn[] = [];

async function startEngine(options: EngineOptions): Promise<EngineStandIn> {
  const engine = await createEngine({tokenMs: 1, ...options});
  engines.push(engine);
  return engine;
}

function post(
  url: string,
  body: unknown,
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(url, {method: 'POST', body: JSON.stringify(body), signal});
}

async function getChunks(response: Response): Promise<Chunk[]> {
  const events = (await response.text()).split('\n\n').filter(Boolean);
  assert.equal(events.pop(), 'data: [DONE]');
  return events.map(event => JSON.parse(event.slice(6)) as Chunk);
}

function sendOrder(engine: EngineStandIn, fields: object): Promise<Response> {
  return post(`${engine.url}/v1/engine/orders`, {fencing: 1, ...fields});
}

/** Polls until a condition holds; the test's own timeout bounds it. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

describe('engine stand-in', {timeout: 30_000}, () => {
  after(() => Promise.all(engines.map(engine => engine.close())));

  // Guards against wrong labels, on which tests of requirement R1 rely.
  it('labels each streamed token with the weight version that generated it', async () => {
    const engine = await startEngine({activateMs: 1});
    const prompt = 'seat prices';
    const body = {prompt, max_tokens: 400, stream: true};
    const response = await post(`${engine.url}/v1/completions`, body);
    const swap = {action: 'load', version: 2, orderId: 'a'};
    assert.equal((await sendOrder(engine, swap)).status, 200);
    const chunks = await getChunks(response);
    const tokens = chunks.filter(chunk => chunk.choices[0]?.text);
    assert.deepEqual(
      new Set(tokens.map(token => token.weight_version)),
      new Set([1, 2]),
    );
    tokens.forEach(({weight_version: weightVersion, choices}, index) =>
      assert.equal(
        choices[0].text,
        getTokenText({prompt, seed: 0, weightVersion}, index),
      ),
    );
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, 400);
  });

  // Guards against a resumed sample that differs from an uninterrupted one.
  it('continues after resumed tokens', async () => {
    const engine = await startEngine({});
    const send = async (resumed: number) => {
      const body = {prompt: 'p', max_tokens: 8, resume_tokens: resumed};
      const response = await post(`${engine.url}/v1/completions`, body);
      const json = (await response.json()) as {choices: [{text: string}]};
      return json.choices[0].text;
    };
    const fullText = await send(0);
    assert.ok(fullText.endsWith(await send(3)));
  });

  // Guards against a failed swap that is reported as done.
  it('keeps the old weights when a swap fails', async () => {
    const engine = await startEngine({});
    engine.setFailingSwaps(1);
    const first = await sendOrder(engine, {
      action: 'load',
      version: 2,
      orderId: 'a',
    });
    assert.match(await first.text(), /failed/);
    const status = await fetch(`${engine.url}/v1/engine/status`);
    assert.match(await status.text(), /"weightVersion":1/);
  });

  // Guards against an engine that ignores `checksFencing`, so that fencing tests
  // (requirement R7) cover only one kind of engine.
  it('refuses stale fencing numbers only if it checks them', async () => {
    for (const checksFencing of [true, false]) {
      const engine = await startEngine({checksFencing});
      await sendOrder(engine, {action: 'role', orderId: 'a', fencing: 5});
      const old = await sendOrder(engine, {
        action: 'role',
        orderId: 'b',
        fencing: 4,
      });
      assert.equal(old.status, checksFencing ? 409 : 200);
    }
  });

  // Guards against tests of cold starts (requirement R9) that cannot fail,
  // because a cold engine handles any load.
  it('crashes above its cold concurrency and restarts cold', async () => {
    const engine = await startEngine({coldMs: 60_000, coldConcurrency: 1});
    const {epoch} = engine.getAudit();
    const body = {prompt: 'p', max_tokens: 100_000};
    const sends = [1, 2].map(() => post(`${engine.url}/v1/completions`, body));
    const results = await Promise.allSettled(sends);
    assert.deepEqual(
      results.map(result => result.status),
      ['rejected', 'rejected'],
    );
    const audit = engine.getAudit();
    assert.equal(audit.peakWhileCold, 2);
    assert.equal(audit.crashes, 1);
    assert.notEqual(audit.epoch, epoch);
  });

  // Guards against generation that continues after the client has disconnected.
  it('cancels when the connection closes', async () => {
    const engine = await startEngine({});
    const abort = new AbortController();
    const body = {prompt: 'p', max_tokens: 100_000, stream: true};
    await post(`${engine.url}/v1/completions`, body, abort.signal);
    abort.abort();
    await waitUntil(() => engine.getAudit().cancelled === 1);
  });

  // Guards against quarantine tests in which the engine does not crash.
  it('crashes on a request that contains the crash marker', async () => {
    const engine = await startEngine({crashMarker: 'poison'});
    const body = {prompt: 'some poison here'};
    await assert.rejects(post(`${engine.url}/v1/completions`, body));
    assert.equal(engine.getAudit().crashes, 1);
  });

  // Guards against prefix affinity that has no effect.
  it('finds a repeated prefix in the cache', async () => {
    const engine = await startEngine({cacheBlocks: 4});
    const prompt = 'x'.repeat(256);
    for (let i = 0; i < 2; i++) {
      await (await post(`${engine.url}/v1/completions`, {prompt})).text();
    }
    assert.deepEqual(engine.getAudit().cache, {hits: 4, misses: 4, blocks: 4});
  });
});
