import {parseJson} from '@vanillacross/common';
import {parseRecordKey} from '@vanillacross/domain';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';

import {KEY} from './entryFakes.test.js';
import {
  sendRaw,
  startEntry,
  stopEntries,
  TRAINER_KEY,
} from './listenerFakes.test.js';

const BEARER = `authorization: Bearer ${KEY}\r\n`;

afterEach(stopEntries);

function getCode(text: string): string {
  const parsed = parseJson(text);
  assert.ok(parsed.ok, `not JSON: ${text.slice(0, 200)}`);
  return (parsed.value as {error: {code: string}}).error.code;
}

function connect(address: string): net.Socket {
  const [host, port] = address.split(':');
  const socket = net.connect(Number(port), host);
  socket.on('error', () => {});
  return socket;
}

describe('request smuggling', () => {
  const hidden = 'GET /private/hidden HTTP/1.1\r\nhost: x\r\n\r\n';
  const post = 'POST /seats/1 HTTP/1.1\r\nhost: x\r\n';
  const cases: Record<string, string> = {
    'both content-length and transfer-encoding':
      `${post}content-length: ${hidden.length + 5}\r\n` +
      `transfer-encoding: chunked\r\n\r\n0\r\n\r\n${hidden}`,
    'two content-lengths': `${post}content-length: 0\r\ncontent-length: ${hidden.length}\r\n\r\n${hidden}`,
    'a list of content-lengths': `${post}content-length: 0, ${hidden.length}\r\n\r\n${hidden}`,
    'an unknown transfer-encoding': `${post}transfer-encoding: xchunked\r\n\r\n${hidden}`,
    'a space before the colon': `${post}content-length : ${hidden.length}\r\n\r\n${hidden}`,
    'a folded transfer-encoding': `${post}transfer-encoding:\r\n chunked\r\ncontent-length: 0\r\n\r\n${hidden}`,
    'a bare line feed in a header': `${post}x: a\ncontent-length: 0\r\n\r\n${hidden}`,
    'a signed content-length': `${post}content-length: +5\r\n\r\n${hidden}`,
  };
  for (const [name, bytes] of Object.entries(cases)) {
    it(`with ${name} is refused`, async () => {
      const {agent, server} = await startEntry();
      const text = await sendRaw(server.getAddress(), bytes);
      assert.match(text, /^HTTP\/1\.1 400 /);
      // Exactly one response: the remaining bytes were not parsed as a request.
      assert.equal(text.match(/HTTP\/1\.1 /g)?.length, 1);
      assert.deepEqual(agent.received, []);
    });
  }

  it('with a folded header adds no header line upstream', async () => {
    const {agent, server} = await startEntry();
    const bytes = `GET /seats/1 HTTP/1.1\r\nhost: x\r\nx-a: 1\r\n vc-account: two\r\nconnection: close\r\n\r\n`;
    await sendRaw(server.getAddress(), bytes);
    for (const seen of agent.received) {
      assert.equal(seen.headers['vc-account'], '-');
      assert.doesNotMatch(seen.headers['x-a'] as string, /[\r\n]/);
    }
  });
});

describe('header injection', () => {
  it('through a path adds no header and no request', async () => {
    const {agent, server} = await startEntry();
    const paths = [
      '/seats/a%0d%0ax-evil:%201',
      '/seats/a%0d%0a%0d%0aGET%20/private/x',
      '/seats/a\rx-evil: 1',
      '/seats/a\u0000b',
      '/seats/a?b=%0d%0ax-evil:%201',
    ];
    for (const path of paths) {
      const bytes = `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`;
      await sendRaw(server.getAddress(), bytes);
    }
    for (const seen of agent.received) {
      assert.equal(seen.headers['x-evil'], undefined);
      assert.match(seen.url, /^\/seats\/[\u0021-\u007e]*$/);
    }
  });

  it('through a record id is refused', () => {
    const ids = ['a\r\nx: 1', 'a\nb', 'a b', '../a', 'a%0d', 'a\n', ''];
    const taken = ids.filter(id => parseRecordKey(`account/${id}`).ok);
    assert.deepEqual(taken, []);
  });
});

describe('keys', () => {
  it('in the path are refused, even if percent-encoded', async () => {
    const {agent, send} = await startEntry();
    const encoded = [...KEY]
      .map(c => `%${c.charCodeAt(0).toString(16)}`)
      .join('');
    for (const path of [`/private/${KEY}`, `/private/${encoded}/x`]) {
      const answer = await send(path, KEY, '', 'GET');
      assert.equal(getCode(answer.text), 'bad_request');
      assert.equal(answer.text.includes(KEY), false);
    }
    assert.deepEqual(agent.received, []);
  });

  it('of one account give no access to the trainers of another', async () => {
    const {send} = await startEntry();
    const steps = '/v1/trainers/t1/steps/s1';
    for (const rest of ['', '/deliveries', '/acknowledgements']) {
      const answer = await send(`${steps}${rest}`, KEY, '{}');
      assert.equal(getCode(answer.text), 'forbidden');
    }
    // A step must not acknowledge samples of another trainer either.
    const body = JSON.stringify({sampleIds: ['t2/s1/g/0']});
    const path = `${steps}/acknowledgements`;
    const answer = await send(path, TRAINER_KEY, body);
    assert.equal(getCode(answer.text), 'bad_request');
  });
});

describe('slow callers', () => {
  it('that never finish sending headers are disconnected', async () => {
    const limits = {
      headerTimeoutMs: 50,
      bodyTimeoutMs: 60,
      checkIntervalMs: 20,
    };
    const {server} = await startEntry(limits);
    const socket = connect(server.getAddress());
    socket.resume();
    socket.write('GET /seats/1 HTTP/1.1\r\nx-a: ');
    // Never resolves if the entry does not disconnect.
    await once(socket, 'close');
  });

  it('that do not read their response are disconnected and free the agent', async () => {
    let isClosed = false;
    const part = Buffer.alloc(256 * 1024, 'x');
    const {server} = await startEntry(
      {stallTimeoutMs: 50},
      (response, _, incoming) => {
        response.writeHead(200, {'content-type': 'text/plain'});
        const fill = () => {
          while (!response.destroyed && response.write(part)) {
            // Write until the buffers are full.
          }
        };
        response.on('drain', fill);
        incoming.socket.on('close', () => (isClosed = true));
        fill();
      },
    );
    const socket = connect(server.getAddress());
    socket.pause();
    socket.write('GET /seats/1 HTTP/1.1\r\nhost: x\r\n\r\n');
    while (!isClosed) await delay(10);
    socket.destroy();
  });
});

describe('memory for request bodies', () => {
  it('is bounded for each account while bodies arrive', async () => {
    const limits = {maxBodyBytes: 60_000, maxAccountBytes: 100_000};
    const {server, send} = await startEntry(limits);
    // Each sends 40,000 of its 50,000 bytes and then stalls.
    const head = `POST /private/x HTTP/1.1\r\nhost: x\r\n${BEARER}content-length: 50000\r\n\r\n`;
    const sockets = Array.from({length: 6}, () => connect(server.getAddress()));
    let refused = 0;
    for (const socket of sockets) {
      socket.on('data', chunk => {
        if (String(chunk).includes('account_limit')) refused += 1;
      });
      socket.write(head + 'x'.repeat(40_000));
    }
    while (refused < 4) await delay(10);
    assert.equal(refused, 4);
    // Other accounts are not affected, and the memory is released at the end.
    const other = await send('/seats/1', 'none', 'x'.repeat(30_000));
    assert.equal(other.status, 200);
    for (const socket of sockets) socket.destroy();
    for (;;) {
      const answer = await send('/private/x', KEY, 'x'.repeat(60_000));
      if (answer.status === 200) break;
      await delay(10);
    }
  });
});
