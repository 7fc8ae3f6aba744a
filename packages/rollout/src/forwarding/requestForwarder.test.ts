import type {RequestId} from '@vanillacross/common';
import {
  createLogger,
  getDeadline,
  systemClock,
  toBranded,
} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {beforeEach, describe, it} from 'node:test';

import type {Route} from '../model/index.js';
import {
  createForwardContext,
  createForwardRequest,
} from '../testing/forwardFixture.js';
import {startRawUpstream} from '../testing/rawUpstream.js';
import type {Exclusion} from '../upstreams/index.js';
import {CrashTracker} from '../upstreams/index.js';
import {RequestForwarder} from './requestForwarder.js';

describe('RequestForwarder', () => {
  describe('with an upstream that answers 500', () => {
    /** Forwards a request that is permitted for some attempts. */
    const forward = async (permittedAttempts: number) => {
      const upstreams = await Promise.all(
        [1, 2, 3].map(() =>
          startRawUpstream(socket => {
            socket.write(
              'HTTP/1.1 500 Error\r\nid: r1\r\ncontent-length: 0\r\n\r\n',
            );
          }),
        ),
      );
      let asked = 0;
      const forwarder = new RequestForwarder(
        createForwardContext(upstreams.map(({upstream}) => upstream)),
        createForwardRequest('idempotent', {
          isPermitted: () => ++asked <= permittedAttempts,
        }),
      );
      const outcome = await forwarder.run();
      const sent = upstreams.reduce(
        (sum, raw) => sum + raw.getConnectionCount(),
        0,
      );
      await Promise.all(upstreams.map(raw => raw.close()));
      return {tag: outcome.tag, sent};
    };

    it('sends as many attempts as the route allows', async () => {
      assert.deepEqual(await forward(3), {tag: 'answered', sent: 3});
    });

    it('sends no further attempt once the request is no longer permitted', async () => {
      // Guards against a request that runs on a key that was withdrawn while it
      // waited for another attempt.
      assert.deepEqual(await forward(1), {tag: 'answered', sent: 1});
      assert.deepEqual(await forward(0), {tag: 'not_run', sent: 0});
    });
  });

  describe('with a pool that has lost all upstreams', () => {
    it('refuses at once and says when to return', async () => {
      // Guards against callers that are held although nobody can serve them.
      const forwarder = new RequestForwarder(
        createForwardContext([]),
        createForwardRequest('idempotent'),
      );
      const outcome = await forwarder.run();
      assert.ok(outcome.tag === 'not_run');
      assert.ok(outcome.retryAfterMs > 2_000 && outcome.retryAfterMs < 3_334);
    });
  });

  describe('with an upstream that repeats its first response late', () => {
    const refusal =
      'HTTP/1.1 503 Busy\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
    const serverError =
      'HTTP/1.1 500 Error\r\nid: r1\r\ncontent-length: 0\r\n\r\n';
    const success =
      'HTTP/1.1 200 OK\r\nid: r1\r\nproof: p\r\ncontent-length: 0\r\n\r\n';

    /**
     * Starts an upstream whose first response may come a second time, before
     * the next response on its connection.
     */
    const startRepeating = async (first: string) => {
      let requests = 0;
      let successes = 0;
      const raw = await startRawUpstream((socket, onConnection) => {
        if (onConnection > 1) socket.write(first);
        if (++requests === 1) {
          socket.write(first);
          return;
        }
        successes++;
        setTimeout(() => socket.write(success), 30);
      });
      const context = createForwardContext([raw.upstream]);
      const forward = (kind: Route['kind'], maxAttempts = 3) => {
        const request = createForwardRequest(kind);
        const route = {...request.route, maxAttempts};
        return new RequestForwarder(context, {...request, route}).run();
      };
      return {forward, close: raw.close, getSuccesses: () => successes};
    };

    it('runs a request that is not idempotent once after a refusal', async () => {
      // Guards against the copy of a refusal that passes for the response to
      // the next attempt, so that the request runs twice.
      const fixture = await startRepeating(refusal);
      const {tag} = await fixture.forward('non_idempotent');
      await fixture.close();
      const runs = fixture.getSuccesses();
      assert.deepEqual({tag, runs}, {tag: 'answered', runs: 1});
    });

    it('counts a server error once when the same request is sent later', async () => {
      // Guards against scoring calls, which are sent again under their id, that
      // count the copy of an error as a further one and give up too early.
      const fixture = await startRepeating(serverError);
      const first = await fixture.forward('idempotent', 1);
      await new Promise(resolve => setImmediate(resolve));
      const second = await fixture.forward('idempotent', 1);
      await fixture.close();
      assert.ok(first.tag === 'answered' && second.tag === 'answered');
      assert.deepEqual([first.head.status, second.head.status], [500, 200]);
    });
  });

  describe('with a full upstream that refuses without any copy', () => {
    const REFUSALS = 3;

    it('runs a request that is not idempotent once it has room', async () => {
      // Guards against an attempt on a connection that this process has closed:
      // the caller learns that the outcome is unknown, though nothing has run.
      const refusal =
        'HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n';
      const success =
        'HTTP/1.1 200 OK\r\nproof: p\r\ncontent-length: 0\r\n\r\n';
      let isFull = false;
      let refusals = 0;
      const raw = await startRawUpstream(socket => {
        if (isFull && refusals < REFUSALS) {
          refusals++;
          socket.write(refusal);
          return;
        }
        setTimeout(() => socket.write(success), 10);
      });
      const context = createForwardContext([raw.upstream]);
      const forward = (id: string) => {
        const overrides = {id: toBranded<RequestId>(id)};
        const request = createForwardRequest('non_idempotent', overrides);
        return new RequestForwarder(context, request).run();
      };
      await Promise.all(['w1', 'w2', 'w3'].map(forward));
      await new Promise(resolve => setImmediate(resolve));
      isFull = true;
      const outcome = await forward('r1');
      await raw.close();
      const {tag} = outcome;
      assert.deepEqual({tag, refusals}, {tag: 'answered', refusals: REFUSALS});
    });
  });

  describe('with upstreams whose connections break during a request', () => {
    /** Forwards the same request until three upstreams have closed on it. */
    const forward = async (exclusion: Exclusion | null) => {
      const raws = await Promise.all(
        [1, 2, 3].map(() => startRawUpstream(socket => socket.destroy())),
      );
      let last = '';
      for (const {upstream} of raws) {
        const context = createForwardContext([upstream]);
        context.directory.getExclusion = () => exclusion;
        context.crashes = crashes;
        const request = createForwardRequest('non_idempotent');
        last = (await new RequestForwarder(context, request).run()).tag;
      }
      await Promise.all(raws.map(raw => raw.close()));
      return last;
    };
    let crashes: CrashTracker;
    beforeEach(() => {
      let count = 0;
      const logger = createLogger('test', 'silent');
      const tracker = new CrashTracker(systemClock, logger, () => {});
      // Each raw upstream has the same id.
      crashes = Object.assign(tracker, {
        reportCrash: (fingerprint: string) =>
          tracker.applyCrash(fingerprint, `u${++count}`),
      });
    });
    const isQuarantined = async () => {
      const raw = await startRawUpstream(() => {});
      const context = createForwardContext([raw.upstream]);
      context.crashes = crashes;
      const request = createForwardRequest('non_idempotent', {
        deadline: getDeadline(systemClock.now(), 100),
      });
      const {tag} = await new RequestForwarder(context, request).run();
      await raw.close();
      return tag === 'quarantined';
    };

    it('refuses it everywhere once three have crashed', async () => {
      assert.equal(await forward(null), 'failed');
      assert.equal(await isQuarantined(), true);
    });

    for (const exclusion of ['draining', 'leaving', 'unlisted'] as const) {
      it(`does not count those that are ${exclusion} (guards against sound requests that are refused after a release)`, async () => {
        assert.equal(await forward(exclusion), 'failed');
        assert.equal(await isQuarantined(), false);
      });
    }
  });

  describe('with an upstream that left and never answers', () => {
    it('closes its connection at the deadline (guards against connections that retired upstreams keep for ever)', async () => {
      let closed: Promise<unknown> | null = null;
      const raw = await startRawUpstream(socket => {
        closed = once(socket, 'close');
        raw.upstream.close();
      });
      const request = createForwardRequest('non_idempotent', {
        deadline: getDeadline(systemClock.now(), 100),
      });
      const context = createForwardContext([raw.upstream]);
      const {tag} = await new RequestForwarder(context, request).run();
      await closed;
      await raw.close();
      assert.equal(tag, 'timed_out');
    });
  });
});
