import OpenAI from 'openai';
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import type {Deployment} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
} from './deployment.js';

const KEY = 'client-key';
const MODEL = 'coach';
const MAX_TOKENS = 12;

// Guards against responses that standard client libraries cannot parse.
describe('the openai client library through an entry', () => {
  let deployment: Deployment;
  before(async () => {
    deployment = await startDeployment({
      domains: ['domain-a'],
      entries: 1,
      pools: [
        {
          id: 'engines',
          body: {kind: 'engine', model: MODEL},
          upstreams: 1,
          engine: {model: MODEL},
        },
      ],
      records: [
        ...createAccountRecords('desk', KEY),
        createRecord('route', 'chat', {
          pathPrefix: '/v1/chat/completions',
          methods: ['POST'],
          pool: 'engines',
          access: ['desk'],
          repeat: 'idempotent',
        }),
      ],
    });
  });
  after(() => deployment?.stop());

  const createClient = (apiKey: string) =>
    new OpenAI({
      apiKey,
      baseURL: `${deployment.entries[0].url}/v1`,
      maxRetries: 0,
    });
  const request = {
    model: MODEL,
    messages: [{role: 'user' as const, content: 'which pump?'}],
    max_tokens: MAX_TOKENS,
  };

  it('returns the same text for a non-streaming and a streaming call', async () => {
    const client = createClient(KEY);
    const plain = await client.chat.completions.create(request);
    assert.equal(plain.usage?.completion_tokens, MAX_TOKENS);
    const stream = await client.chat.completions.create({
      ...request,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    assert.equal(text, plain.choices[0].message.content);
  });

  it('reports a refusal with its error code', async () => {
    await assert.rejects(
      createClient('wrong').chat.completions.create(request),
      (error: unknown) =>
        error instanceof OpenAI.APIError &&
        error.status === 401 &&
        error.code === 'unauthorized',
    );
  });
});
