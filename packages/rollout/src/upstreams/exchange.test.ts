import type {RequestId, UpstreamId} from '@vanillacross/common';
import {systemClock, toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import type * as net from 'node:net';
import {afterEach, describe, it} from 'node:test';

import type {RawResponder, RawUpstream} from '../testing/rawUpstream.js';
import {rawDialect, startRawUpstream} from '../testing/rawUpstream.js';
import {startExchange} from './exchange.js';

const BODY = 'the whole body';

/** How the upstream ends the connection after it has sent some bytes. */
const endings: Record<string, (socket: net.Socket) => void> = {
  'an orderly close': socket => socket.end(),
  'a reset at once': socket => socket.resetAndDestroy(),
  'a reset after a pause': socket => {
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

function getFramedResponse(framing: string): string {
  const head = 'HTTP/1.1 200 OK\r\nid: r1\r\nproof: p\r\n';
  const framed: Record<string, string> = {
    length: `content-length: ${BODY.length}\r\n\r\n${BODY}`,
    chunked: `transfer-encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
    'until close': `connection: close\r\n\r\n${BODY}`,
  };
  return head + framed[framing];
}

describe('startExchange', () => {
  let raw: RawUpstream | null = null;
  afterEach(async () => {
    await raw?.close();
    raw = null;
  });

  /** Sends one request and resolves with how the exchange ended. */
  const exchange = async (
    respond: RawResponder,
    id = 'r1',
    target = '/',
    onHead = () => {},
  ) => {
    raw ??= await startRawUpstream(respond);
    const {upstream} = raw;
    return new Promise<{outcome: string; body: string}>(resolve => {
      let body = '';
      startExchange(
        upstream,
        rawDialect,
        systemClock,
        {
          id: toBranded<RequestId>(id),
          method: 'GET',
          target,
          host: 'h',
          headers: {},
          account: null,
          upstream: toBranded<UpstreamId>('raw'),
          budgetMs: 1_000,
          lastEventId: 0,
          priority: null,
        },
        Buffer.alloc(0),
        {
          onHead,
          onData: chunk => (body += chunk.toString()),
          onEnd: () => resolve({outcome: 'end', body}),
          onFailure: ({tag}) => resolve({outcome: tag, body}),
        },
      );
    });
  };

  describe('when the connection ends during a response', () => {
    for (const framing of ['length', 'chunked', 'until close']) {
      const whole = getFramedResponse(framing);
      const bodyStart = whole.indexOf('\r\n\r\n') + 4;
      for (const [ending, end] of Object.entries(endings)) {
        const isWholeKnown = (sent: number) =>
          framing === 'until close'
            ? ending === 'an orderly close' && sent >= bodyStart
            : sent === whole.length;

        // Guards against a truncated response that the caller gets as a
        // success: libuv reports data and a reset that arrive together as data
        // and an orderly end.
        it(`passes on only a whole response (${framing}, ${ending})`, async () => {
          for (let sent = 1; sent <= whole.length; sent++) {
            const {outcome} = await exchange(socket => {
              socket.write(whole.slice(0, sent), () => end(socket));
            });
            await raw!.close();
            raw = null;
            assert.equal(
              outcome,
              isWholeKnown(sent) ? 'end' : 'lost',
              `${sent} of ${whole.length} bytes`,
            );
          }
        });
      }
    }
  });

  describe('when the status of a response', () => {
    const getResponse = (status: string) =>
      `HTTP/1.1 ${status} X\r\nid: r1\r\nproof: p\r\ncontent-length: 2\r\n\r\nok`;

    for (const status of ['000', '042', '099', '600', '999']) {
      it(`is ${status}, fails as invalid (guards against a caller that gets it as an answer)`, async () => {
        let heads = 0;
        const {outcome} = await exchange(
          socket => socket.write(getResponse(status)),
          'r1',
          '/',
          () => heads++,
        );
        assert.equal(outcome, 'invalid');
        assert.equal(heads, 0);
      });
    }

    for (const status of ['200', '302', '421', '500', '599']) {
      it(`is ${status}, passes it on`, async () => {
        const {outcome} = await exchange(socket =>
          socket.write(getResponse(status)),
        );
        assert.equal(outcome, 'end');
      });
    }
  });

  describe('when an upstream sends a second copy of a response', () => {
    const getResponse = (id: string, body: string) =>
      `HTTP/1.1 200 OK\r\nid: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

    /** When the second copy of the first response is sent. */
    const copies: Record<string, RawResponder> = {
      'with the first': (socket, requests) =>
        socket.write(
          requests === 1
            ? getResponse('r1', 'first') + getResponse('r1', 'first')
            : getResponse('r2', 'second'),
        ),
      'between two requests': (socket, requests) => {
        if (requests > 1) {
          socket.write(getResponse('r2', 'second'));
          return;
        }
        socket.write(getResponse('r1', 'first'));
        setTimeout(() => socket.write(getResponse('r1', 'first')), 5);
      },
      'after the next request': (socket, requests) =>
        socket.write(
          requests === 1
            ? getResponse('r1', 'first')
            : getResponse('r1', 'first') + getResponse('r2', 'second'),
        ),
      'in part': (socket, requests) =>
        socket.write(
          requests === 1
            ? getResponse('r1', 'first') + 'HTTP/1.1 200 O'
            : getResponse('r2', 'second'),
        ),
    };

    for (const [time, respond] of Object.entries(copies)) {
      // Guards against a caller that gets the response to an earlier request.
      it(`never passes it on as another response (${time})`, async () => {
        let connections = 0;
        const counted: RawResponder = (socket, requests) => {
          if (requests === 1) connections++;
          // Each connection after the first is to another, sound upstream.
          if (connections > 1) socket.write(getResponse('r2', 'second'));
          else respond(socket, requests);
        };
        const first = await exchange(counted, 'r1');
        assert.deepEqual(first, {outcome: 'end', body: 'first'});
        await new Promise(resolve => setTimeout(resolve, 20));
        const second = await exchange(counted, 'r2');
        if (second.outcome === 'end') assert.equal(second.body, 'second');
        else assert.equal(second.outcome, 'crossed');
      });
    }
  });

  describe('when an upstream sends bytes without end', () => {
    const streams: Record<string, {start: string; repeated: string}> = {
      'in a status line': {start: 'HTTP/1.1 200 ', repeated: 'x'.repeat(1_024)},
      'in a header': {
        start: 'HTTP/1.1 200 OK\r\na: ',
        repeated: 'x'.repeat(99),
      },
      'as headers': {start: 'HTTP/1.1 200 OK\r\n', repeated: 'a: b\r\n'},
      'in a chunk extension': {
        start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;',
        repeated: 'x'.repeat(99),
      },
      'as trailers': {
        start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
        repeated: 'a: b\r\n',
      },
      'that are no HTTP': {start: '\0', repeated: '\0'.repeat(99)},
    };

    for (const [place, {start, repeated}] of Object.entries(streams)) {
      // Guards against memory that grows until the process is killed.
      it(`fails as invalid and closes the connection (${place})`, async () => {
        const closed = new Promise<void>(resolve => {
          void exchange(socket => {
            socket.write(start);
            const timer = setInterval(() => socket.write(repeated), 1);
            socket.on('close', () => {
              clearInterval(timer);
              resolve();
            });
          }).then(({outcome}) => assert.equal(outcome, 'invalid'));
        });
        await closed;
      });
    }
  });

  describe('when the upstream leaves the instance list', () => {
    const response = getFramedResponse('length');

    it('receives the whole response of a request in flight', async () => {
      // Guards against streams and answers that are cut although the upstream
      // finishes them.
      const {outcome, body} = await exchange(socket => {
        raw!.upstream.close();
        setTimeout(() => socket.write(response), 20);
      });
      assert.deepEqual({outcome, body}, {outcome: 'end', body: BODY});
    });

    it('closes the connection after the response', async () => {
      // Guards against connections that stay open at an upstream that leaves.
      const closed = new Promise<void>(resolve => {
        void exchange(socket => {
          socket.on('close', () => resolve());
          raw!.upstream.close();
          socket.write(response);
        });
      });
      await closed;
    });

    it('closes an idle connection at once', async () => {
      let closed: Promise<void> | null = null;
      await exchange(socket => {
        closed = new Promise(resolve => socket.on('close', () => resolve()));
        socket.write(response);
      });
      await new Promise(resolve => setImmediate(resolve));
      raw!.upstream.close();
      await closed;
    });
  });

  // Guards against a corrupt byte that ends the process when its head is
  // written to a caller.
  for (const status of ['000', '042', '099']) {
    it(`fails as invalid with status ${status}`, async () => {
      const response = getFramedResponse('length').replace('200', status);
      let isEmitted = false;
      const onHead = () => (isEmitted = true);
      const respond: RawResponder = socket => socket.write(response);
      const {outcome} = await exchange(respond, 'r1', '/', onHead);
      assert.deepEqual([outcome, isEmitted], ['invalid', false]);
    });
  }

  it('fails as invalid if a handler throws (guards against processes that end)', async () => {
    const respond: RawResponder = socket =>
      socket.write(getFramedResponse('length'));
    const {outcome} = await exchange(respond, 'r1', '/', () => {
      throw new Error('can not be handled');
    });
    assert.equal(outcome, 'invalid');
    assert.equal(raw?.upstream.inFlight, 0);
  });

  it('fails as not sent on a connection that is closed before it is written (guards against an unknown outcome of a request that was not sent)', async () => {
    const respond: RawResponder = socket =>
      socket.write(getFramedResponse('length'));
    await exchange(respond);
    await new Promise(resolve => setImmediate(resolve));
    const {agent} = raw!.upstream;
    const [idle] = Object.values(agent.freeSockets).flat();
    const second = exchange(respond, 'r2');
    idle!.destroy();
    assert.deepEqual(await second, {outcome: 'not_sent', body: ''});
  });

  describe('a request that can not be created', () => {
    it('fails as not sent (guards against processes that end)', async () => {
      const {outcome} = await exchange(() => {}, 'r1', '/a b');
      assert.equal(outcome, 'not_sent');
      assert.equal(raw?.upstream.inFlight, 0);
    });

    it('fails as not sent if the port is out of range', async () => {
      raw = await startRawUpstream(() => {});
      const {entry} = raw.upstream;
      raw.upstream.update({...entry, address: '127.0.0.1:99999'});
      const {outcome} = await exchange(() => {});
      assert.equal(outcome, 'not_sent');
    });
  });
});
