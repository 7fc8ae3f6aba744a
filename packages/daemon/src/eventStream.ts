/**
 * Limit of the bytes held back. A longer incomplete event is forwarded as it
 * arrives; after the end event, chunks that arrive above the limit are dropped.
 */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Forwards complete server-sent events and holds back the end event. */
export interface EventFilter {
  /** Adds a chunk of the stream; returns the bytes that may be forwarded. */
  push(chunk: Buffer): Buffer;
  /** Returns the bytes held back; call only if the stream is complete. */
  flush(): Buffer;
}

/** Initial buffer size, bytes. */
const INITIAL_BUFFER_BYTES = 4 * 1024;
/**
 * Number of bytes at the end of the buffer that may be the start of a blank
 * line. They are searched again when the next chunk arrives.
 */
const MAX_PARTIAL_BLANK_LINE_BYTES = 3;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/** Index after the first blank line at or after `from`, or -1. */
function getEventEnd(bytes: Buffer, from: number): number {
  for (let i = bytes.indexOf(LINE_FEED, from); i >= 0;) {
    let next = i + 1;
    if (bytes[next] === CARRIAGE_RETURN) next += 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    i = bytes.indexOf(LINE_FEED, i + 1);
  }
  return -1;
}

function isEndEvent(event: string): boolean {
  return /^data: ?\[DONE\]\r?$/m.test(event);
}

/**
 * Creates a filter for one stream. `data: [DONE]` and everything after it is
 * held back until the stream is known to be complete. Incomplete events are
 * held back too, so that a truncated stream can end with an error event (R11).
 */
export function createEventFilter(): EventFilter {
  // Grows by doubling: copying the pending bytes for each chunk would take
  // quadratic time if an upstream sends small chunks.
  let buffer = Buffer.allocUnsafe(INITIAL_BUFFER_BYTES);
  let size = 0;
  let searchFrom = 0;
  let hasEndEvent = false;

  const append = (chunk: Buffer) => {
    if (size + chunk.length > buffer.length) {
      const grown = Buffer.allocUnsafe(2 * (size + chunk.length));
      buffer.copy(grown, 0, 0, size);
      buffer = grown;
    }
    chunk.copy(buffer, size);
    size += chunk.length;
  };
  const take = (length: number): Buffer => {
    if (length === 0) return EMPTY;
    const out = Buffer.from(buffer.subarray(0, length));
    buffer.copyWithin(0, length, size);
    size -= length;
    return out;
  };
  return {
    push: chunk => {
      // Bytes after the end event are not part of the response. Chunks that
      // arrive above the limit are dropped.
      if (hasEndEvent && size > MAX_EVENT_BYTES) return EMPTY;
      append(chunk);
      if (hasEndEvent) return EMPTY;
      const pending = buffer.subarray(0, size);
      let readyEnd = 0;
      for (;;) {
        const end = getEventEnd(pending, Math.max(readyEnd, searchFrom));
        if (end < 0) break;
        if (isEndEvent(pending.toString('latin1', readyEnd, end))) {
          hasEndEvent = true;
          break;
        }
        readyEnd = end;
      }
      if (!hasEndEvent && size - readyEnd > MAX_EVENT_BYTES) readyEnd = size;
      const out = take(readyEnd);
      searchFrom = Math.max(0, size - MAX_PARTIAL_BLANK_LINE_BYTES);
      return out;
    },
    flush: () => take(size),
  };
}

/** Returns the event that reports an error at the end of a stream. */
export function getErrorEvent(body: unknown): string {
  return `event: error\ndata: ${JSON.stringify(body)}\n\n`;
}
