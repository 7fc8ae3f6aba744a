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
  const exchange = async (respond: RawResponder, id = 'r1') => {
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
          target: '/',
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
          onHead: () => {},
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
});
