import {getFuzzSeed, getSha256, parseJson} from '@vanillacross/common';
import {
  createAccessTable,
  getPathRoutes,
  usageCellSchema,
} from '@vanillacross/domain';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';

import {checkBody} from './callerRequest.js';
import {baseRecords, createFakeControl, KEY} from './entryFakes.test.js';
import {
  sendRaw,
  startEntry,
  stopEntries,
  OPERATOR_TOKEN,
  TRAINER_KEY,
} from './listenerFakes.test.js';

const options = {seed: getFuzzSeed(), numRuns: 60};
afterEach(stopEntries);

function getCode(text: string): string {
  const parsed = parseJson(text);
  assert.ok(parsed.ok, `not JSON: ${text.slice(0, 200)}`);
  return (parsed.value as {error: {code: string}}).error.code;
}

const DEEP = '['.repeat(20_000) + ']'.repeat(20_000);
const body = fc.oneof(
  fc.string(),
  fc.json(),
  fc.constantFrom('', 'null', '[]', '{', DEEP, `{"puts":${DEEP}}`),
  fc
    .record({
      model: fc.constantFrom('m', 1, null),
      prompt: fc.jsonValue({maxDepth: 2}),
      max_tokens: fc.constantFrom(-1, 1e308, 'x', 5),
      operator: fc.constantFrom('ana', '', 7),
      puts: fc.jsonValue({maxDepth: 2}),
      groups: fc.jsonValue({maxDepth: 2}),
      received: fc.jsonValue({maxDepth: 2}),
    })
    .map(value => JSON.stringify(value)),
);

describe('malformed bodies', () => {
  it('of operators are refused and append no records', async () => {
    const {send, getAppends} = await startEntry();
    await fc.assert(
      fc.asyncProperty(body, async text => {
        const answer = await send('/operator/v1/records', OPERATOR_TOKEN, text);
        assert.equal(answer.status, 400);
        assert.equal(getCode(answer.text), 'bad_request');
      }),
      options,
    );
    assert.equal(getAppends(), 0);
  });

  it('of operators above the size limit are refused as too large', async () => {
    const {send} = await startEntry();
    const text = 'x'.repeat(1_100_000);
    const answer = await send('/operator/v1/records', OPERATOR_TOKEN, text);
    assert.equal(getCode(answer.text), 'too_large');
  });

  it('of trainers are refused and start no requests', async () => {
    const {agent, send} = await startEntry();
    const rest = fc.constantFrom('', '/deliveries', '/acknowledgements');
    await fc.assert(
      fc.asyncProperty(rest, body, async (end, text) => {
        const path = `/v1/trainers/t1/steps/s1${end}`;
        const answer = await send(path, TRAINER_KEY, text);
        assert.match(getCode(answer.text), /^(bad_request|step_unknown)$/);
      }),
      options,
    );
    assert.equal(agent.received.length, 0);
  });

  it('of callers are refused or forwarded without an internal error', async () => {
    const {context, send} = await startEntry();
    await fc.assert(
      fc.asyncProperty(body, async text => {
        const answer = await send('/v1/completions', KEY, text);
        if (answer.status === 200) return;
        assert.match(getCode(answer.text), /^(bad_request|route_unknown)$/);
      }),
      options,
    );
    const {metrics} = context;
    assert.equal(metrics.getCount('vc_refusals', {reason: 'internal'}), 0);
  });

  it('with a huge max_tokens have a bounded cost', () => {
    const state = createFakeControl(baseRecords).getState();
    const table = createAccessTable(state);
    const path = '/v1/completions';
    const head = {
      method: 'POST',
      path,
      key: {key: KEY, hash: getSha256(KEY)},
      routes: getPathRoutes(table, 'POST', path),
      needsModel: true,
    };
    const text = '{"model":"m","prompt":"p","max_tokens":1e308}';
    const checked = checkBody(table, state, head, Buffer.from(text));
    // A cost of 1e308 would exhaust the precision of the fair queue's virtual
    // time, so that no further request could advance it.
    assert.ok(checked.ok && checked.value.cost <= 2_000_000);
  });

  it('with a deeply nested prompt are refused without running', async () => {
    const {agent, send} = await startEntry();
    const text = `{"model":"m","messages":${DEEP}}`;
    const answer = await send('/v1/completions', KEY, text);
    assert.equal(getCode(answer.text), 'bad_request');
    assert.match(answer.text, /"notRun":true/);
    assert.equal(agent.received.length, 0);
  });
});

describe('malformed bytes on the caller listener', () => {
  it('are refused without stopping the listener', async () => {
    const {send, server} = await startEntry();
    const token = fc.constantFrom(
      'GET /seats/1 HTTP/1.1\r\n',
      'POST /v1/completions HTTP/1.1\r\n',
      'host: x\r\n',
      'content-length: 5\r\n',
      'content-length: -1\r\n',
      'transfer-encoding: chunked\r\n',
      'transfer-encoding: xchunked\r\n',
      '\r\n',
      '\n',
      'ffffffffffffffff\r\n',
      '\u0000',
      ' folded: x\r\n',
    );
    const part = fc.oneof(token, fc.string());
    await fc.assert(
      fc.asyncProperty(fc.array(part, {maxLength: 12}), async parts => {
        await sendRaw(server.getAddress(), parts.join(''));
      }),
      options,
    );
    const answer = await send('/seats/1', KEY, '', 'GET');
    assert.equal(answer.status, 200);
  });
});

describe('malformed headers of an agent', () => {
  it('produce only usage that is valid in polls and seal records', async () => {
    const value = fc.oneof(
      fc.json({maxDepth: 2}).filter(text => /^[ -~]*$/.test(text)),
      fc.constantFrom(
        '{"prompt":1e300,"generated":1e300}',
        '{"prompt":-1,"generated":0.5}',
        '{"prompt":3,"generated":4}',
        '[[1,1e300]]',
        '[[0.5,2]]',
        '{',
      ),
    );
    const names = ['vc-load', 'vc-spans', 'vc-usage'] as const;
    let values: string[] = [];
    const {dispatcher, send} = await startEntry({}, response => {
      response.writeHead(200, {
        'vc-load': values[0],
        trailer: 'vc-outcome, vc-spans, vc-usage',
      });
      response.write('ok');
      response.addTrailers({
        'vc-outcome': 'whole',
        [names[1]]: values[1],
        [names[2]]: values[2],
      });
      response.end();
    });
    await fc.assert(
      fc.asyncProperty(fc.tuple(value, value, value), async texts => {
        values = texts;
        const answer = await send('/private/x', KEY, '{}');
        assert.equal(answer.status, 200);
        for (const cell of dispatcher.getUsageCells()) {
          assert.ok(usageCellSchema.safeParse(cell).success);
        }
      }),
      options,
    );
    assert.ok(dispatcher.getUsageCells().some(cell => cell.requests > 0));
  });
});
