import type {MonotonicMs} from './brand.js';

/** Source of time and timers; tests use `ManualClock`. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): MonotonicMs;
  /**
   * Wall-clock milliseconds since the Unix epoch, for display and to number the
   * usage windows.
   */
  wallNow(): number;
  /** Resolves once the deadline has passed, or earlier if the signal aborts. */
  waitUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void>;
  /**
   * Calls back once the deadline has passed, unless cancelled by the returned
   * function. Cheaper than `waitUntil` with an abort signal that serves only to
   * cancel it.
   */
  callAt(deadline: MonotonicMs, callback: () => void): () => void;
}

/** Longest delay that Node's timers support, ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Returns the point in time `spanMs` after `now`. */
export function getDeadline(now: MonotonicMs, spanMs: number): MonotonicMs {
  return (now + spanMs) as MonotonicMs;
}

/**
 * Offset of the wall clock from the monotonic clock, ms. It changes when the
 * wall clock is set or after the machine was suspended.
 */
export function getClockOffset(clock: Clock): number {
  return clock.wallNow() - clock.now();
}

/**
 * Calls back at the deadline, never before it. Node drops the fraction of a
 * delay, so a timer may fire up to 1 ms early.
 */
function setDeadlineTimer(
  deadline: MonotonicMs,
  callback: () => void,
): () => void {
  let timer: NodeJS.Timeout;
  const schedule = () => {
    const delay = Math.max(0, Math.ceil(deadline - performance.now()));
    timer = setTimeout(handleTimer, Math.min(delay, MAX_TIMER_MS));
  };
  const handleTimer = () => {
    if (performance.now() < deadline) schedule();
    else callback();
  };
  schedule();
  return () => clearTimeout(timer);
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now() as MonotonicMs,
  wallNow: () => Date.now(),
  waitUntil: (deadline, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) return resolve();
      const done = () => {
        cancelTimer();
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const cancelTimer = setDeadlineTimer(deadline, done);
      signal?.addEventListener('abort', done, {once: true});
    }),
  callAt: setDeadlineTimer,
};

interface ManualTimer {
  deadline: MonotonicMs;
  callback: () => void;
  /**
   * `advance` checks this, because a callback may cancel a timer that is due in
   * the same call.
   */
  isCancelled: boolean;
}

/** A clock for tests that moves only by `advance`. */
export class ManualClock implements Clock {
  private current = 0;
  private timers: ManualTimer[] = [];

  now(): MonotonicMs {
    return this.current as MonotonicMs;
  }

  wallNow(): number {
    return this.current;
  }

  waitUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void> {
    if (deadline <= this.current || signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const done = () => {
        cancel();
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const cancel = this.addTimer(deadline, done);
      signal?.addEventListener('abort', done);
    });
  }

  callAt(deadline: MonotonicMs, callback: () => void): () => void {
    const cancel = this.addTimer(deadline, callback);
    if (deadline <= this.current) queueMicrotask(() => this.advance(0));
    return cancel;
  }

  /** Advances the time and calls back all timers whose deadline has passed. */
  advance(spanMs: number): void {
    this.current += spanMs;
    const due = this.timers.filter(t => t.deadline <= this.current);
    this.timers = this.timers.filter(t => t.deadline > this.current);
    for (const timer of due) {
      if (!timer.isCancelled) timer.callback();
    }
  }

  private addTimer(deadline: MonotonicMs, callback: () => void): () => void {
    const timer: ManualTimer = {deadline, callback, isCancelled: false};
    this.timers.push(timer);
    return () => {
      timer.isCancelled = true;
      this.timers = this.timers.filter(t => t !== timer);
    };
  }
}
