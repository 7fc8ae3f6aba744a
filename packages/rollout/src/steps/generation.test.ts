import type {RequestId, UpstreamId} from '@vanillacross/common';
import {Metrics, systemClock, toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';

import type {RawResponder, RawUpstream} from '../testing/rawUpstream.js';
import {rawDialect, startRawUpstream} from '../testing/rawUpstream.js';
import {ResponseMemory} from '../upstreams/index.js';
import type {GenerationOutcome} from './generation.js';
import {Generation} from './generation.js';
import {SampleText} from './sampleText.js';

const HEAD =
  'HTTP/1.1 200 OK\r\nid: r1\r\nproof: p\r\nversion: 1\r\nconnection: close\r\n\r\n';
const MAX_EVENTS = 10;
/** Time by which a stalled run must have ended, ms. */
const STALL_LIMIT_MS = 2_500;

describe('Generation', () => {
  let raw: RawUpstream | null = null;
  afterEach(async () => {
    await raw?.close();
    raw = null;
  });

  const generate = async (respond: RawResponder, mayQueue = false) => {
    const started = await startRawUpstream(respond);
    raw = started;
    const {upstream} = started;
    const text = new SampleText();
    const outcome = await new Promise<GenerationOutcome>(resolve => {
      new Generation({
        memory: new ResponseMemory(new Metrics()),
        upstream,
        dialect: rawDialect,
        clock: systemClock,
        call: {
          id: toBranded<RequestId>('r1'),
          method: 'POST',
          target: '/',
          host: 'h',
          headers: {},
          account: null,
          upstream: toBranded<UpstreamId>('raw'),
          budgetMs: 10_000,
          lastEventId: 0,
          priority: null,
        },
        body: Buffer.alloc(0),
        text,
        maxEvents: MAX_EVENTS,
        model: 'm',
        minVersion: 1,
        isSingleVersion: false,
        mayQueue,
        onDone: resolve,
      });
    });
    return {outcome, output: text.getOutput().toString('utf8')};
  };

  /** Writes pieces at an interval until the connection closes. */
  const repeat =
    (getPiece: (index: number) => string, intervalMs: number): RawResponder =>
    socket => {
      socket.write(HEAD);
      let index = 0;
      const timer = setInterval(
        () => socket.write(getPiece(index++)),
        intervalMs,
      );
      socket.on('close', () => clearInterval(timer));
    };

  it('completes a slow stream', async () => {
    // Guards against sound streams that are cut because they are slow.
    const {outcome, output} = await generate(socket => {
      socket.write(HEAD);
      let id = 0;
      const timer = setInterval(() => {
        socket.write(`id: ${++id}\ndata: ${id}\n\n`);
        if (id < 4) return;
        clearInterval(timer);
        socket.end();
      }, 600);
    });
    assert.deepEqual(
      {outcome, output},
      {outcome: {tag: 'complete'}, output: '1\n2\n3\n4'},
    );
  });

  // Guards against a result that no process can decode, so that its sample is
  // never listed.
  for (const version of ['x', '', '-1', '1.5', '1e300', '9'.repeat(20)]) {
    it(`breaks at an unreadable version (${version})`, async () => {
      const {outcome, output} = await generate(socket =>
        socket.end(`${HEAD}version: ${version}\nid: 1\ndata: a\n\n`),
      );
      assert.deepEqual(
        {outcome, output},
        {outcome: {tag: 'broken', reason: 'unreadable version'}, output: ''},
      );
    });
  }

  it('keeps a character that is split between two chunks', async () => {
    // Guards against a result whose text differs from what the engine sent.
    const event = Buffer.from('id: 1\ndata: ışık\n\n');
    const {output} = await generate(socket => {
      socket.write(HEAD);
      let sent = 0;
      const timer = setInterval(() => {
        socket.write(event.subarray(sent, ++sent));
        if (sent < event.length) return;
        clearInterval(timer);
        socket.end();
      }, 3);
    });
    assert.equal(output, 'ışık');
  });

  describe('with a stream that breaks off', () => {
    const HEAD_WITHOUT_END = HEAD.slice(0, -6);
    const ERROR_TEXT = 'id: 1\ndata: error\n\n';
    const broken: Record<string, {sent: string; tag: string; output: string}> =
      {
        'in the middle of its head': {
          sent: HEAD_WITHOUT_END,
          tag: 'lost',
          output: '',
        },
        'in the middle of an event': {
          sent: `${HEAD}id: 1\ndata: a\n\nid: 2\nda`,
          tag: 'broken',
          output: 'a',
        },
        'between the lines of an event': {
          sent: `${HEAD}id: 1\ndata: a\n\nid: 2\ndata: b\n`,
          tag: 'broken',
          output: 'a',
        },
        'with the text of an error': {
          sent: `HTTP/1.1 500 Error\r\nid: r1\r\nconnection: close\r\n\r\n${ERROR_TEXT}`,
          tag: 'failed',
          output: '',
        },
      };
    for (const [where, {sent, tag, output}] of Object.entries(broken)) {
      // Guards against a result that misses events or holds an error's text.
      it(`keeps the whole events only (${where})`, async () => {
        const generated = await generate(socket => socket.end(sent));
        assert.equal(generated.outcome.tag, tag);
        assert.equal(generated.output, output);
      });
    }
  });

  describe('with a stream that never ends', () => {
    const stalled: Record<string, {respond: RawResponder; reason: RegExp}> = {
      'a byte of an event now and then': {
        respond: repeat(index => (index === 0 ? 'data: ' : 'x'), 100),
        reason: /silent/,
      },
      'comments only': {
        respond: repeat(() => ': still here\n\n', 100),
        reason: /silent/,
      },
      'an event without an end': {
        respond: repeat(() => 'x'.repeat(64 * 1_024), 1),
        reason: /too large/,
      },
      'more events than the sample has tokens': {
        respond: repeat(index => `id: ${index + 1}\ndata: x\n\n`, 1),
        reason: /unexpected event 11/,
      },
    };

    for (const [content, {respond, reason}] of Object.entries(stalled)) {
      // Guards against a sample that occupies an engine, and memory, forever.
      it(`gives up the run (${content})`, async () => {
        const startedAt = systemClock.now();
        const {outcome} = await generate(respond);
        assert.equal(outcome.tag, 'broken');
        assert.match(JSON.stringify(outcome), reason);
        assert.ok(systemClock.now() - startedAt < STALL_LIMIT_MS);
      });
    }
  });

  describe('in the queue of an engine', () => {
    const QUEUE_MS = 1_900;
    const EVENT_MS = 100;
    /** Answers after a wait; makes events for others meanwhile if it works. */
    const answerLate =
      (isWorking: boolean): RawResponder =>
      socket => {
        const timer = setInterval(() => {
          if (isWorking) raw?.upstream.recordEventInterval(EVENT_MS);
        }, EVENT_MS);
        socket.on('close', () => clearInterval(timer));
        setTimeout(() => {
          if (socket.writable) socket.end(`${HEAD}id: 1\ndata: 1\n\n`);
        }, QUEUE_MS);
      };

    it('waits while the engine makes events for others (guards against runs that lose their place again and again)', async () => {
      const {outcome} = await generate(answerLate(true), true);
      assert.equal(outcome.tag, 'complete');
    });

    it('gives up an engine that makes no events (guards against samples that wait for a dead engine)', async () => {
      const {outcome} = await generate(answerLate(false), true);
      assert.deepEqual(outcome, {tag: 'broken', reason: 'silent'});
    });
  });
});
