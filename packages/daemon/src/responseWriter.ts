import type {Result} from '@vanillacross/common';
import type {ServerResponse} from 'node:http';

import {isEventStream} from './responseBuffer.js';
import {createEventFilter, getErrorEvent} from './eventStream.js';
import {getErrorBody} from './refusals.js';
import type {ResponseSummary, Refusal, UpstreamResponse} from './types.js';

/** How forwarding a response to the caller ended. */
export type WriteOutcome =
  | {tag: 'whole'}
  /** The response was truncated; the caller received an error. */
  | {tag: 'cut'; refusal: Refusal}
  /** The caller disconnected or reads too slowly. */
  | {tag: 'callerGone'};

/**
 * Waits until the write buffer drains; resolves to false if the connection
 * closes or `stallTimeoutMs` passes first.
 */
export function waitForDrain(
  response: ServerResponse,
  stallTimeoutMs: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const settle = (isDrained: boolean) => {
      clearTimeout(timer);
      response.off('drain', onDrain);
      response.off('close', onClose);
      resolve(isDrained);
    };
    const onDrain = () => settle(true);
    const onClose = () => settle(false);
    const timer = setTimeout(() => settle(false), stallTimeoutMs);
    response.on('drain', onDrain);
    response.on('close', onClose);
  });
}

/** Writes bytes; returns a promise only if the write buffer must drain. */
function write(
  response: ServerResponse,
  bytes: Buffer,
  stallTimeoutMs: number,
): boolean | Promise<boolean> {
  if (bytes.length === 0) return true;
  if (response.destroyed) return false;
  return response.write(bytes) || waitForDrain(response, stallTimeoutMs);
}

function endWithError(response: ServerResponse, refusal: Refusal): void {
  const isStream = isEventStream(String(response.getHeader('content-type')));
  if (!isStream) {
    response.destroy();
    return;
  }
  response.end(getErrorEvent(getErrorBody(refusal)));
}

function endResponse(
  response: ServerResponse,
  rest: Buffer,
  summary: Result<ResponseSummary, Refusal>,
): WriteOutcome {
  if (!summary.ok) {
    endWithError(response, summary.error);
    return {tag: 'cut', refusal: summary.error};
  }
  response.end(rest);
  return {tag: 'whole'};
}

/**
 * Forwards a response to the caller, with backpressure. A truncated event
 * stream ends with an `error` event, any other truncated response with a closed
 * connection (R11). `stallTimeoutMs` is how long a write may block before the
 * caller is disconnected.
 */
export async function writeResponse(
  response: ServerResponse,
  upstreamResponse: UpstreamResponse,
  stallTimeoutMs: number,
  extraHeaders: Record<string, string>,
): Promise<WriteOutcome> {
  const isStream = isEventStream(upstreamResponse.headers['content-type']);
  const headers = {...upstreamResponse.headers, ...extraHeaders};
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, value);
  }
  response.statusCode = upstreamResponse.status;
  if (isStream) response.flushHeaders();
  const {bufferedBody} = upstreamResponse;
  // A body below the high-water mark is sent in one write, without backpressure.
  if (bufferedBody && bufferedBody.length < response.writableHighWaterMark) {
    const summary = await upstreamResponse.finished;
    if (response.destroyed) return {tag: 'callerGone'};
    return endResponse(response, bufferedBody, summary);
  }
  const filter = isStream ? createEventFilter() : null;
  for await (const chunk of upstreamResponse.body) {
    const bytes = filter ? filter.push(chunk) : chunk;
    const written = write(response, bytes, stallTimeoutMs);
    if (written === true || (await written)) continue;
    response.destroy();
    return {tag: 'callerGone'};
  }
  const summary = await upstreamResponse.finished;
  if (response.destroyed) return {tag: 'callerGone'};
  return endResponse(response, filter?.flush() ?? Buffer.alloc(0), summary);
}
