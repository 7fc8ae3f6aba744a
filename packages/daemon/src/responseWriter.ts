import type {Result} from '@vanillacross/common';
import type {ServerResponse} from 'node:http';

import {isEventStream} from './responseBuffer.js';
import {createEventFilter, getErrorEvent} from './eventStream.js';
import {getErrorBody} from './refusals.js';
import type {ResponseSummary, Refusal, UpstreamResponse} from './types.js';

/** How passing on an answer ended. */
export type WriteOutcome =
  | {tag: 'whole'}
  /** The caller saw an error, not a normal end. */
  | {tag: 'cut'; refusal: Refusal}
  /** The caller is gone or reads too slowly. */
  | {tag: 'callerGone'};

/** Waits until the caller takes more bytes; false if it does not. */
export function waitForDrain(
  response: ServerResponse,
  stallMs: number,
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
    const timer = setTimeout(() => settle(false), stallMs);
    response.on('drain', onDrain);
    response.on('close', onClose);
  });
}

/** Writes at once; a promise only if the caller must read first. */
function write(
  response: ServerResponse,
  bytes: Buffer,
  stallMs: number,
): boolean | Promise<boolean> {
  if (bytes.length === 0) return true;
  if (response.destroyed) return false;
  return response.write(bytes) || waitForDrain(response, stallMs);
}

function endWithError(response: ServerResponse, refusal: Refusal): void {
  const isStream = isEventStream(String(response.getHeader('content-type')));
  if (!isStream) {
    response.destroy();
    return;
  }
  response.end(getErrorEvent(getErrorBody(refusal)));
}

function endWhole(
  response: ServerResponse,
  rest: Buffer,
  finished: Result<ResponseSummary, Refusal>,
): WriteOutcome {
  if (!finished.ok) {
    endWithError(response, finished.error);
    return {tag: 'cut', refusal: finished.error};
  }
  response.end(rest);
  return {tag: 'whole'};
}

/**
 * Passes an answer on to the caller as fast as the caller reads. A cut answer
 * ends with an `error` event on an event stream and with a broken connection
 * otherwise (R11). `stallMs` is how long the caller may read nothing.
 */
export async function writeResponse(
  response: ServerResponse,
  answer: UpstreamResponse,
  stallMs: number,
  extraHeaders: Record<string, string>,
): Promise<WriteOutcome> {
  const isStream = isEventStream(answer.headers['content-type']);
  const headers = {...answer.headers, ...extraHeaders};
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, value);
  }
  response.statusCode = answer.status;
  if (isStream) response.flushHeaders();
  const {bufferedBody: whole} = answer;
  // What fits into the socket's buffer needs no wait and leaves in one write.
  if (whole && whole.length < response.writableHighWaterMark) {
    const finished = await answer.finished;
    if (response.destroyed) return {tag: 'callerGone'};
    return endWhole(response, whole, finished);
  }
  const filter = isStream ? createEventFilter() : null;
  for await (const chunk of answer.body) {
    const bytes = filter ? filter.push(chunk) : chunk;
    const written = write(response, bytes, stallMs);
    if (written === true || (await written)) continue;
    response.destroy();
    return {tag: 'callerGone'};
  }
  const finished = await answer.finished;
  if (response.destroyed) return {tag: 'callerGone'};
  return endWhole(response, filter?.flush() ?? Buffer.alloc(0), finished);
}
