import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';

import {createProgram} from './program.js';

const CANDIDATE = {
  id: 'app-1',
  domain: 'a',
  slots: 6,
  occupancy: 1,
  cost: {wait: 0, otherDomain: 1, newConnection: 2, savedWork: 0.5, total: 2.5},
  obstacles: [],
};
const OTHER = {id: 'app-2', cost: null, obstacles: ['draining', 'full']};
const EXPLANATION = {
  node: 'front-a',
  placement: 'concentrated',
  admission: 'queue',
  route: 'seats',
  sample: null,
  pools: [
    {
      pool: 'seats',
      share: 1,
      queueLength: 3,
      decision: {tag: 'refuse', reason: 'too late', retryAfterMs: 60},
      chosen: null,
      tied: [],
      fillLevel: 1,
      upstreams: [CANDIDATE, {...CANDIDATE, ...OTHER}],
    },
  ],
};

/** Runs the command against a node that gives one answer. */
async function run(status: number, answer: unknown, options: string[]) {
  const urls: string[] = [];
  const server = createServer((request, response) => {
    urls.push(request.url ?? '');
    response.writeHead(status).end(JSON.stringify(answer));
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const result = {out: '', error: '', status: -1, urls};
  const program = createProgram({
    write: text => (result.out += text),
    writeError: text => (result.error += text),
    setStatus: value => (result.status = value),
    isInteractive: false,
  });
  const node = `http://127.0.0.1:${port}/`;
  const command = ['explain-placement', '--node', node, ...options];
  await program.parseAsync(command, {from: 'user'});
  server.close();
  return result;
}

const REQUEST = ['--host', 'h', '--path', '/seats?a=b'];

describe('explain-placement', () => {
  it('shows the decision, all terms and why others are no candidates', async () => {
    const {out, status, urls} = await run(200, EXPLANATION, REQUEST);
    assert.equal(status, 0);
    assert.deepEqual(urls, ['/explain-placement?host=h&path=%2Fseats%3Fa%3Db']);
    const lines = out.split('\n').map(line => line.replace(/ +/g, ' '));
    const pool = '(100% of the route): is refused: too late; Retry-After 0.06';
    assert.ok(lines.includes(`pool seats ${pool}`), out);
    assert.ok(lines.includes('waiting: 3, fill level: 1.00'));
    assert.ok(lines.includes('app-1 a 1/6 0.00 1.00 2.00 -0.50 2.50'));
    assert.ok(lines.includes('app-2 a 1/6 - - - - - draining, full'));
  });

  it('prints the data of the node for scripts', async () => {
    const {out} = await run(200, EXPLANATION, [...REQUEST, '--json']);
    assert.deepEqual(JSON.parse(out), EXPLANATION);
  });

  it('fails with the reason for a sample that the node does not run', async () => {
    const sample = ['--step', 's', '--sample', 'x'];
    const answer = {error: 'front-a does not run sample x'};
    const {error, status} = await run(404, answer, sample);
    assert.deepEqual([error, status], [`${answer.error}\n`, 1]);
  });

  it('asks nothing if request and sample are mixed', async () => {
    const mixed = ['--host', 'h', '--sample', 'x'];
    const {status, urls} = await run(200, EXPLANATION, mixed);
    assert.deepEqual([status, urls], [2, []]);
  });
});
