import type {EventEmitter} from 'node:events';
import {once} from 'node:events';

/** Waits for an event; ends at the timeout or when the signal aborts. */
export async function waitForEvent(
  emitter: EventEmitter,
  event: string,
  timeoutMs: number,
  signal: AbortSignal,
): Promise<void> {
  // `AbortSignal.timeout` within `AbortSignal.any` may be collected as garbage
  // before it fires.
  const wait = new AbortController();
  const abort = () => wait.abort();
  const timer = setTimeout(abort, timeoutMs);
  signal.addEventListener('abort', abort);
  await once(emitter, event, {signal: wait.signal}).catch(() => undefined);
  clearTimeout(timer);
  signal.removeEventListener('abort', abort);
}
