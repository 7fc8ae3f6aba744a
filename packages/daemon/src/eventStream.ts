/** Partial event that is kept until its end arrives, bytes. */
const MAX_PARTIAL_EVENT = 1024 * 1024;

/** Passes on whole server-sent events and holds back the normal end. */
export interface EventFilter {
  /** Takes part of a stream; returns the bytes that may be passed on. */
  push(chunk: Buffer): Buffer;
  /** The bytes that were held back; only for a whole stream. */
  flush(): Buffer;
}

/** Room for a partial event at the start, bytes. */
const INITIAL_BYTES = 4 * 1024;
/** Longest beginning of a blank line that may end a part, bytes. */
const BLANK_LINE_BYTES = 3;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/** Index after the first blank line from `from` on, or -1. */
function getEventEnd(bytes: Buffer, from: number): number {
  for (let i = bytes.indexOf(LINE_FEED, from); i >= 0;) {
    let next = i + 1;
    if (bytes[next] === CARRIAGE_RETURN) next += 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    i = bytes.indexOf(LINE_FEED, i + 1);
  }
  return -1;
}

function isDone(event: string): boolean {
  return /^data: ?\[DONE\]\r?$/m.test(event);
}

/**
 * Creates a filter for one stream. `data: [DONE]` and what follows is held
 * back until the stream is known to be whole, and a partial event is never
 * passed on, so that a cut stream can end with an error event (R11).
 */
export function createEventFilter(): EventFilter {
  // Grows by doubling: copying every byte held at each part of an event takes
  // quadratic time when an upstream sends small parts.
  let store = Buffer.allocUnsafe(INITIAL_BYTES);
  let size = 0;
  let searched = 0;
  let hasDone = false;

  const append = (chunk: Buffer) => {
    if (size + chunk.length > store.length) {
      const grown = Buffer.allocUnsafe(2 * (size + chunk.length));
      store.copy(grown, 0, 0, size);
      store = grown;
    }
    chunk.copy(store, size);
    size += chunk.length;
  };
  const take = (length: number): Buffer => {
    if (length === 0) return EMPTY;
    const out = Buffer.from(store.subarray(0, length));
    store.copyWithin(0, length, size);
    size -= length;
    return out;
  };
  return {
    push: chunk => {
      // Nothing after the end event is part of the answer.
      if (hasDone && size > MAX_PARTIAL_EVENT) return EMPTY;
      append(chunk);
      if (hasDone) return EMPTY;
      const held = store.subarray(0, size);
      let passed = 0;
      for (;;) {
        const end = getEventEnd(held, Math.max(passed, searched));
        if (end < 0) break;
        if (isDone(held.toString('latin1', passed, end))) {
          hasDone = true;
          break;
        }
        passed = end;
      }
      if (!hasDone && size - passed > MAX_PARTIAL_EVENT) passed = size;
      const out = take(passed);
      searched = Math.max(0, size - BLANK_LINE_BYTES);
      return out;
    },
    flush: () => take(size),
  };
}

/** The event that tells a caller that its stream ended with an error. */
export function getErrorEvent(body: unknown): string {
  return `event: error\ndata: ${JSON.stringify(body)}\n\n`;
}
