import type {StreamingResponse} from './attempt.js';
import type {ResponseSummary} from './types.js';

/** Largest answer that is kept until it is whole, bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** The first part of an answer, read before anything is passed on. */
export type ResponseStart =
  | {tag: 'whole'; body: Buffer; end: ResponseSummary}
  /** Nothing has been passed on, so the request may be sent again. */
  | {tag: 'cut'}
  /** The rest of the answer is passed on while it arrives. */
  | {tag: 'streaming'; body: AsyncIterable<Buffer>};

/** True for server-sent events. */
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
 * Reads an answer until it is over or must be passed on: event streams from
 * their first part on, others when they exceed the limit in bytes.
 */
export async function readResponseStart(
  answer: StreamingResponse,
  limitBytes = MAX_BUFFERED_RESPONSE_BYTES,
): Promise<ResponseStart> {
  const isStream = isEventStream(answer.headers['content-type']);
  const limit = isStream ? 0 : limitBytes;
  const first: Buffer[] = [];
  let size = 0;
  for (;;) {
    const next = await answer.chunks.next();
    if (next.done) break;
    first.push(next.value);
    size += next.value.length;
    if (size > limit) {
      return {tag: 'streaming', body: joinChunks(first, answer.chunks)};
    }
  }
  const end = await answer.ended;
  if (!end) return {tag: 'cut'};
  return {tag: 'whole', body: Buffer.concat(first), end};
}
