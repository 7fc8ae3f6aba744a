/** Partial event that is kept until its end arrives, bytes. */
const MAX_PARTIAL_EVENT = 1024 * 1024;

/** Passes on whole server-sent events and holds back the normal end. */
export interface EventFilter {
  /** Takes part of a stream; returns the bytes that may be passed on. */
  push(chunk: Buffer): Buffer;
  /** The bytes that were held back; only for a whole stream. */
  flush(): Buffer;
}

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
  let held: Buffer = EMPTY;
  let hasDone = false;
  return {
    push: chunk => {
      held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
      if (hasDone) return EMPTY;
      let passed = 0;
      for (;;) {
        const end = getEventEnd(held, passed);
        if (end < 0) break;
        if (isDone(held.toString('latin1', passed, end))) {
          hasDone = true;
          break;
        }
        passed = end;
      }
      if (!hasDone && held.length - passed > MAX_PARTIAL_EVENT) {
        passed = held.length;
      }
      const out = held.subarray(0, passed);
      held = held.subarray(passed);
      return out;
    },
    flush: () => {
      const out = held;
      held = EMPTY;
      return out;
    },
  };
}

/** The event that tells a caller that its stream ended with an error. */
export function getErrorEvent(body: unknown): string {
  return `event: error\ndata: ${JSON.stringify(body)}\n\n`;
}
