import type {StreamingResponse} from './attempt.js';
import type {ResponseSummary} from './types.js';

/** Largest response that is buffered completely before forwarding, bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** The start of a response, read before any of it is forwarded. */
export type ResponseStart =
  | {tag: 'whole'; body: Buffer; summary: ResponseSummary}
  /** Truncated; as nothing was forwarded, the request may be retried. */
  | {tag: 'cut'}
  /** To be forwarded as it arrives. */
  | {tag: 'streaming'; body: AsyncIterable<Buffer>};

/** Whether a content type denotes server-sent events. */
export function isEventStream(contentType: string | undefined): boolean {
  return /^text\/event-stream\b/i.test(contentType ?? '');
}

function joinChunks(
  first: Buffer[],
  rest: StreamingResponse['chunks'],
): AsyncIterable<Buffer> {
  const iterator: AsyncIterator<Buffer, void, undefined> = {
    next: () => {
      const value = first.shift();
      return value ? Promise.resolve({done: false, value}) : rest.next();
    },
    return: async () => {
      await rest.return?.();
      return {done: true, value: undefined};
    },
  };
  return {[Symbol.asyncIterator]: () => iterator};
}

/**
 * Reads a response until it ends or must be streamed. Event streams are
 * streamed from the first chunk, other responses once they exceed the limit.
 */
export async function readResponseStart(
  response: StreamingResponse,
  limitBytes = MAX_BUFFERED_RESPONSE_BYTES,
): Promise<ResponseStart> {
  const isStream = isEventStream(response.headers['content-type']);
  const limit = isStream ? 0 : limitBytes;
  const first: Buffer[] = [];
  let size = 0;
  for (;;) {
    const next = await response.chunks.next();
    if (next.done) break;
    first.push(next.value);
    size += next.value.length;
    if (size > limit) {
      return {tag: 'streaming', body: joinChunks(first, response.chunks)};
    }
  }
  const summary = await response.ended;
  if (!summary) return {tag: 'cut'};
  return {tag: 'whole', body: Buffer.concat(first), summary};
}
