import * as assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import OpenAI from 'openai';

import {sendRequest, expectResponse, describeContract} from './contract.js';
import type {ContractCase, EffectfulCall, GetBaseUrl} from './contract.js';
import type {ContractOptions} from './platformContracts.js';

interface Status {
  epoch: string;
  weightVersion: number;
  running: number;
  adapters: string[];
}
const FENCING = 7;

async function getStatus(url: string): Promise<Status> {
  return (await expectResponse<Status>('GET', `${url}/v1/engine/status`)).body;
}
const sendOrder = (url: string, fields: object) =>
  expectResponse<{status: string; highest?: number}>(
    'POST',
    `${url}/v1/engine/orders`,
    {orderId: randomUUID(), fencing: FENCING, ...fields},
  );
const createClient = (url: string) =>
  new OpenAI({baseURL: `${url}/v1`, apiKey: 'unused', maxRetries: 0});

const engineCases: ContractCase[] = [
  {
    // Guards against samples whose weight versions are unknown (requirement R1).
    name: 'labels each event of a completion stream with its weight version',
    run: async url => {
      const {weightVersion, epoch} = await getStatus(url);
      const {data: stream, response} = await createClient(url)
        .completions.create({
          model: 'model',
          prompt: 'p',
          max_tokens: 5,
          stream: true,
        })
        .withResponse();
      assert.equal(response.headers.get('x-engine-epoch'), epoch);
      const chunks = [];
      for await (const chunk of stream) chunks.push(chunk);
      for (const chunk of chunks) {
        const label = (chunk as {weight_version?: number}).weight_version;
        assert.equal(label, weightVersion);
      }
      assert.equal(chunks.at(-1)?.usage?.completion_tokens, 5);
      assert.ok(chunks.some(c => c.choices[0]?.finish_reason === 'length'));
    },
  },
  {
    // Guards against text that is lost in one of the two response forms.
    name: 'returns the same chat text with and without streaming',
    run: async url => {
      const client = createClient(url);
      const request = {
        model: 'model',
        messages: [{role: 'user' as const, content: 'hello'}],
        max_tokens: 6,
      };
      const completion = await client.chat.completions.create(request);
      let streamed = '';
      const stream = await client.chat.completions.create({
        ...request,
        stream: true,
      });
      for await (const chunk of stream) {
        streamed += chunk.choices[0]?.delta.content ?? '';
      }
      assert.equal(completion.choices[0].message.content, streamed);
      assert.equal(completion.usage?.completion_tokens, 6);
    },
  },
  {
    // Guards against weight swaps that skip the transfer.
    name: 'activates a staged version and refuses one that is not staged',
    run: async url => {
      const version = (await getStatus(url)).weightVersion + 1;
      const early = await sendOrder(url, {action: 'activate', version});
      assert.equal(early.body.status, 'failed');
      await sendOrder(url, {action: 'stage', version});
      const late = await sendOrder(url, {action: 'activate', version});
      assert.equal(late.body.status, 'done');
      assert.equal((await getStatus(url)).weightVersion, version);
    },
  },
  {
    // Guards against resumed requests that start over.
    name: 'exports and imports KV state',
    run: async url => {
      const requestId = randomUUID();
      const path = `${url}/v1/engine/kv/${requestId}`;
      assert.equal((await expectResponse('GET', path)).status, 404);
      const body = {prompt: 'p', max_tokens: 3, request_id: requestId};
      await expectResponse('POST', `${url}/v1/completions`, body);
      const kv = await expectResponse<{prompt: string; tokens: object[]}>(
        'GET',
        path,
      );
      assert.equal(kv.body.tokens.length, 3);
      assert.equal((await expectResponse('POST', path, kv.body)).status, 200);
    },
  },
  {
    // Guards against events out of order, after which requests are sent to
    // engines that have evicted the prefix.
    name: 'publishes cache events in order',
    run: async url => {
      const prompt = randomUUID().repeat(20);
      await expectResponse('POST', `${url}/v1/completions`, {
        prompt,
        max_tokens: 1,
      });
      const path = `${url}/v1/engine/cache-events?since=`;
      type Events = {events: Array<{sequence: number}>; next: number};
      let body: Events = {events: [], next: 0};
      while (body.events.length === 0) {
        body = (await expectResponse<Events>('GET', `${path}0`)).body;
      }
      const sequences = body.events.map(({sequence}) => sequence);
      assert.deepEqual(
        sequences,
        [...sequences].sort((a, b) => a - b),
      );
      assert.equal(body.next, sequences.at(-1));
    },
  },
];
function createFencingCase(checksFencing: boolean): ContractCase {
  return {
    // Guards against fencing tests (requirement R7) that run against the wrong
    // kind of engine.
    name: `${checksFencing ? 'refuses' : 'accepts'} a stale fencing number`,
    run: async url => {
      await sendOrder(url, {action: 'role', role: 'a'});
      const old = {action: 'role', role: 'b', fencing: FENCING - 1};
      const response = await sendOrder(url, old);
      assert.equal(response.status, checksFencing ? 409 : 200);
      if (checksFencing) assert.equal(response.body.highest, FENCING);
    },
  };
}
const adapterOrder: EffectfulCall = {
  send: (url, key, timeoutMs) => {
    const order = {action: 'adapter', adapter: key, orderId: key};
    const body = {...order, fencing: FENCING};
    return sendRequest('POST', `${url}/v1/engine/orders`, body, timeoutMs);
  },
  countEffects: async (url, key) =>
    (await getStatus(url)).adapters.filter(adapter => adapter === key).length,
  isIdempotent: true,
};

export function describeEngineContract(
  getBaseUrl: GetBaseUrl,
  checksFencing: boolean,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const cases = [...engineCases, createFencingCase(checksFencing)];
  const effectful = supportsFaultInjection ? adapterOrder : undefined;
  const name = `engine that ${checksFencing ? 'checks' : 'ignores'} fencing numbers`;
  describeContract(name, getBaseUrl, cases, effectful);
}

const plainCases: ContractCase[] = [
  {
    // Guards against responses delivered to the wrong request without notice.
    name: 'returns the requested path',
    run: async url => {
      const {body} = await expectResponse<{path: string}>(
        'GET',
        `${url}/seats/4?x=1`,
      );
      assert.equal(body.path, '/seats/4?x=1');
    },
  },
];
const plainCall: EffectfulCall = {
  send: (url, key, timeoutMs) =>
    sendRequest('POST', `${url}/holds`, {id: key}, timeoutMs),
  countEffects: async (url, key) => {
    type Audit = {executions: Record<string, number>};
    const {body} = await expectResponse<Audit>('GET', `${url}/audit`);
    return body.executions[key] ?? 0;
  },
  isIdempotent: false,
};

export function describePlainServiceContract(
  getBaseUrl: GetBaseUrl,
  {supportsFaultInjection = false}: ContractOptions = {},
): void {
  const effectful = supportsFaultInjection ? plainCall : undefined;
  describeContract('plain service', getBaseUrl, plainCases, effectful);
}
