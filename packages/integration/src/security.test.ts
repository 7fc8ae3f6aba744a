import * as assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import * as http from 'node:http';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

import type {Deployment} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
} from './deployment.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const KEY = 'sk-key-of-a-caller-4711';
const WRONG_KEY = 'sk-key-that-does-not-exist-4712';
const WRONG_TOKEN = 'operator-token-that-is-wrong-4713';

interface HttpResult {
  status: number;
  text: string;
}

function send(
  url: string,
  headers: http.OutgoingHttpHeaders,
  body = '{"id":"x"}',
  method = 'POST',
): Promise<HttpResult> {
  return new Promise(resolve => {
    let text = '';
    const request = http.request(url, {method, headers}, response => {
      text += JSON.stringify(response.headers);
      response.on('data', chunk => (text += String(chunk)));
      response.on('close', () =>
        resolve({status: response.statusCode ?? 0, text}),
      );
    });
    request.on('error', () => resolve({status: 0, text}));
    request.end(body);
  });
}

describe('secrets in a real deployment', {timeout: 180_000}, () => {
  let deployment: Deployment;
  before(async () => {
    deployment = await startDeployment({
      domains: ['domain-a'],
      entries: 1,
      pools: [{id: 'desk', body: {kind: 'plain'}, upstreams: 2}],
      records: [
        ...createAccountRecords('one', KEY),
        createRecord('route', 'seats', {
          pathPrefix: '/seats',
          pool: 'desk',
          access: ['one'],
          repeat: 'idempotent',
        }),
        createRecord('route', 'holds', {
          pathPrefix: '/holds',
          pool: 'desk',
          access: ['one'],
          repeat: 'once',
        }),
      ],
    });
  });
  after(() => deployment?.stop());

  it('appear in no log line, error or metric (guards R5)', async () => {
    const [entry] = deployment.entries;
    const bearer = (key: string) => ({authorization: `Bearer ${key}`});
    const operator = `${entry.url}/operator/v1/records`;
    const results: HttpResult[] = [];
    const sendAndRecord = async (...args: Parameters<typeof send>) => {
      const result = await send(...args);
      results.push(result);
      return result.status;
    };
    assert.equal(await sendAndRecord(`${entry.url}/seats/1`, bearer(KEY)), 200);
    await sendAndRecord(`${entry.url}/seats/1?api_key=${KEY}`, bearer(KEY));
    await sendAndRecord(`${entry.url}/seats/${KEY}`, bearer(KEY));
    await sendAndRecord(`${entry.url}/seats/1`, bearer(WRONG_KEY));
    await sendAndRecord(`${entry.url}/seats/1`, {
      authorization: `Basic ${KEY}`,
    });
    const once = {...bearer(KEY), 'idempotency-key': KEY};
    await sendAndRecord(`${entry.url}/holds/1`, once);
    await sendAndRecord(operator, bearer(WRONG_TOKEN));
    const token = deployment.operatorToken;
    const malformed = `${token} is not JSON`;
    assert.equal(await sendAndRecord(operator, bearer(token), malformed), 400);
    const step = `${entry.url}/v1/trainers/t/steps/s`;
    assert.equal(await sendAndRecord(step, bearer(KEY), KEY), 403);
    for (const agent of deployment.agents) {
      const auth = {'vc-auth': `${Date.now()}.${KEY}`, ...bearer(KEY)};
      assert.equal(
        await sendAndRecord(`http://${agent.data}/seats/1`, auth),
        401,
      );
      assert.equal(
        await sendAndRecord(`http://${agent.peer}/rpc`, auth, '{}'),
        401,
      );
    }
    // Upstream failures are logged as well, so they must not leak keys either.
    for (const agent of deployment.agents) agent.plain?.crash();
    await sendAndRecord(`${entry.url}/seats/2`, bearer(KEY));
    await sendAndRecord(`${entry.url}/holds/2`, once);
    const instances = [...deployment.entries, ...deployment.agents];
    const metrics = await Promise.all(
      instances.map(({admin}) =>
        send(`http://${admin}/metrics`, {}, '', 'GET'),
      ),
    );
    const logs = instances.flatMap(instance => instance.process.getLogLines());
    assert.ok(logs.length > 0, 'the processes logged something');
    assert.ok(metrics.every(result => result.status === 200));
    const output = [...logs, ...[...results, ...metrics].map(a => a.text)];
    const secrets = [KEY, WRONG_KEY, WRONG_TOKEN, deployment.clusterSecret];
    for (const secret of [...secrets, token]) {
      const lines = output.filter(line => line.includes(secret));
      assert.deepEqual(lines, [], 'no output contains a secret');
    }
  });
});

/** Parses the threat table, whose last column names the tests. */
function getThreats(): Array<{threat: string; tests: string[]}> {
  const page = readFileSync(join(ROOT, 'docs/security.md'), 'utf8');
  return page
    .split('\n')
    .filter(line => line.startsWith('| ') && !line.startsWith('| threat'))
    .map(line => line.split('|').map(cell => cell.trim()))
    .map(cells => ({
      threat: cells[1],
      tests: [...cells[3].matchAll(/`([^`]+)`/g)].map(([, test]) => test),
    }));
}

describe('security page', () => {
  // Guards against a documented protection whose test was renamed or removed.
  it('names a test that exists for each threat', () => {
    const threats = getThreats();
    assert.ok(threats.length >= 14);
    for (const {threat, tests} of threats) {
      assert.ok(tests.length > 0, threat);
      for (const test of tests) {
        const [file, name] = test.split(': ');
        const text = readFileSync(join(ROOT, 'packages', file), 'utf8');
        assert.ok(text.includes(name), `${test} does not exist`);
      }
    }
  });

  // Guards against secret comparisons whose duration reveals matching bytes.
  it('is right that secrets are compared in constant time', () => {
    const name = '\\w*\\.?(secret|tokenHash|clusterSecret|mac)\\b';
    const unsafe = new RegExp(`[!=]== *${name}|${name} *[!=]==`, 'i');
    assert.match('a === options.tokenHash', unsafe);
    assert.match('this.clusterSecret !== a', unsafe);
    for (const part of ['common', 'domain', 'daemon']) {
      const folder = join(ROOT, 'packages', part, 'src');
      for (const file of readdirSync(folder)) {
        const text = readFileSync(join(folder, file), 'utf8');
        assert.doesNotMatch(text, unsafe, file);
      }
    }
    const users = ['common/src/rpc.ts', 'daemon/src/operatorActions.ts'];
    for (const file of users) {
      const text = readFileSync(join(ROOT, 'packages', file), 'utf8');
      assert.match(text, /return isEqualSecret\(/, file);
    }
  });
});
