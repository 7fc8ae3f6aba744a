import {getFuzzSeed} from '@vanillacross/common';
import {noLiveVersions, withConfirmedVersion} from '@vanillacross/domain';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import type * as http from 'node:http';
import {describe, it} from 'node:test';

import {createResponseObserver} from './responseObserver.js';
import {getNumberHeader} from './agentHeaders.js';
import {createEventFilter} from './eventStream.js';

const options = {seed: getFuzzSeed(), numRuns: 200};
const MAX_TOKENS = 1_000_000_000;
const EVENT_STREAM = 'text/event-stream';
/**
 * Number of one-byte chunks, large enough that processing in quadratic time takes
 * minutes.
 */
const ONE_BYTE_CHUNKS = 400_000;

/** Splits bytes into chunks of the given lengths; the last one has the rest. */
function split(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const parts: Buffer[] = [];
  let at = 0;
  for (const length of lengths) {
    parts.push(bytes.subarray(at, at + length));
    at += length;
  }
  return [...parts, bytes.subarray(at)];
}

const event = fc.oneof(
  fc.jsonValue({maxDepth: 3}).map(value => `data: ${JSON.stringify(value)}`),
  fc
    .record({
      weight_version: fc.oneof(fc.integer(), fc.double(), fc.string()),
      tokens: fc.oneof(fc.integer(), fc.constant(1e300), fc.array(fc.nat())),
      choices: fc.jsonValue({maxDepth: 3}),
      usage: fc.oneof(
        fc.jsonValue({maxDepth: 1}),
        fc.record({completion_tokens: fc.constantFrom(-1, 0.5, 1e300, 7)}),
      ),
    })
    .map(value => `data:${JSON.stringify(value)}`),
  fc.constantFrom('data: [DONE]', ': comment', 'event: error', '\r', ''),
  fc.string(),
);
const stream = fc
  .array(fc.tuple(event, fc.constantFrom('\n\n', '\r\n\r\n', '\n', '\n\r\n')))
  .map(events => Buffer.from(events.flat().join('')));
const lengths = fc.array(fc.nat({max: 40}), {maxLength: 40});

function observe(type: string, parts: readonly Buffer[]) {
  const live = withConfirmedVersion(noLiveVersions, 1, 0);
  const headers = {'content-type': type};
  const observer = createResponseObserver(
    'engine',
    200,
    headers,
    live,
    () => live,
    () => 0,
  );
  for (const part of parts) observer.write(part);
  return observer.end();
}

describe('malformed event streams', () => {
  it('pass through the filter with each byte once and in order', () => {
    fc.assert(
      fc.property(stream, lengths, (bytes, chunkLengths) => {
        const filter = createEventFilter();
        const out = split(bytes, chunkLengths).map(part => filter.push(part));
        // The end event must be held back until the stream is complete (R11).
        const passed = Buffer.concat(out).toString();
        assert.doesNotMatch(passed, /^data: ?\[DONE\]\r?$/m);
        const all = Buffer.concat([...out, filter.flush()]);
        assert.ok(all.equals(bytes));
      }),
      options,
    );
  });

  it('have a bounded number of bytes buffered after their end event', () => {
    const filter = createEventFilter();
    filter.push(Buffer.from('data: [DONE]\n\n'));
    const part = Buffer.alloc(64 * 1024, 'x');
    for (let i = 0; i < 200; i++) filter.push(part);
    assert.ok(filter.flush().length < 2 * 1024 * 1024);
  });

  it('in one-byte chunks are processed in linear time', () => {
    const filter = createEventFilter();
    const part = Buffer.from('x');
    for (let i = 0; i < ONE_BYTE_CHUNKS; i++) filter.push(part);
    assert.equal(filter.flush().length, ONE_BYTE_CHUNKS);
    const parts = Array.from({length: ONE_BYTE_CHUNKS}, () => part);
    assert.equal(observe(EVENT_STREAM, parts).isEnded, false);
  });
});

describe('malformed engine responses', () => {
  it('produce token counts that polls and seals accept', () => {
    const type = fc.constantFrom(EVENT_STREAM, 'application/json', 'x');
    const text = fc.oneof(
      stream,
      fc.jsonValue().map(value => Buffer.from(JSON.stringify(value))),
      fc
        .record({
          usage: fc.constantFrom({completion_tokens: 1e300}, 'x', null),
          weight_spans: fc.oneof(
            fc.array(fc.tuple(fc.integer(), fc.double())),
            fc.jsonValue(),
          ),
        })
        .map(value => Buffer.from(JSON.stringify(value))),
    );
    fc.assert(
      fc.property(type, text, lengths, (name, bytes, chunkLengths) => {
        const {usage, spans} = observe(name, split(bytes, chunkLengths));
        const counts = [usage.prompt, usage.generated, ...spans.map(s => s[1])];
        for (const count of counts) {
          assert.ok(Number.isSafeInteger(count) && count >= 0, String(count));
        }
        assert.ok(usage.generated <= MAX_TOKENS);
      }),
      options,
    );
  });
});

describe('malformed headers between entry and agent', () => {
  it('are parsed to a finite number or null', () => {
    const value = fc.oneof(
      fc.string(),
      fc.constantFrom(
        '1e9',
        'Infinity',
        'NaN',
        '0x10',
        ' 1',
        '-',
        '9'.repeat(40),
      ),
      fc.array(fc.string()),
    );
    fc.assert(
      fc.property(value, text => {
        const headers = {'vc-offset': text} as unknown;
        const request = {headers} as http.IncomingMessage;
        const number = getNumberHeader(request, 'vc-offset');
        assert.ok(number === null || Number.isFinite(number));
      }),
      options,
    );
  });
});
