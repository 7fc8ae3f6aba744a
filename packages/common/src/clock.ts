import type {MonotonicMs} from './brand.js';

/** Source of time and timers; tests pass a manual one. */
export interface Clock {
  /** Milliseconds on a clock that never goes back. */
  now(): MonotonicMs;
  /** Wall-clock milliseconds since 1970, for display and window numbers. */
  wallNow(): number;
  /** Resolves when the deadline has passed, or early when aborted. */
  waitUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void>;
  /**
   * Calls back once the deadline has passed, unless the returned function
   * cancelled it. Costs less than `waitUntil` with a signal of its own.
   */
  callAt(deadline: MonotonicMs, callback: () => void): () => void;
}

/** The longest delay that Node's timers take, ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Adds a span in milliseconds to a point in time. */
export function getDeadline(now: MonotonicMs, spanMs: number): MonotonicMs {
  return (now + spanMs) as MonotonicMs;
}

/**
 * How far the wall clock is ahead of the steady clock, ms. It changes when the
 * wall clock is set or when the machine was suspended.
 */
export function getClockOffset(clock: Clock): number {
  return clock.wallNow() - clock.now();
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now() as MonotonicMs,
  wallNow: () => Date.now(),
  waitUntil: (deadline, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) return resolve();
      const delay = Math.max(0, deadline - performance.now());
      const done = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = setTimeout(done, Math.min(delay, MAX_TIMER_MS));
      signal?.addEventListener('abort', done, {once: true});
    }),
  callAt: (deadline, callback) => {
    const delay = Math.max(0, deadline - performance.now());
    const timer = setTimeout(callback, Math.min(delay, MAX_TIMER_MS));
    return () => clearTimeout(timer);
  },
};

interface Sleeper {
  deadline: MonotonicMs;
  wake: () => void;
  /** A wake of the same `advance` may cancel another one. */
  isCancelled: boolean;
}

/** A clock that moves only when a test advances it. */
export class ManualClock implements Clock {
  private current = 0;
  private sleepers: Sleeper[] = [];

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
      const cancel = this.addSleeper(deadline, done);
      signal?.addEventListener('abort', done);
    });
  }

  callAt(deadline: MonotonicMs, callback: () => void): () => void {
    const cancel = this.addSleeper(deadline, callback);
    if (deadline <= this.current) queueMicrotask(() => this.advance(0));
    return cancel;
  }

  /** Moves time forward and wakes all whose deadline has passed. */
  advance(spanMs: number): void {
    this.current += spanMs;
    const due = this.sleepers.filter(s => s.deadline <= this.current);
    this.sleepers = this.sleepers.filter(s => s.deadline > this.current);
    for (const sleeper of due) {
      if (!sleeper.isCancelled) sleeper.wake();
    }
  }

  private addSleeper(deadline: MonotonicMs, wake: () => void): () => void {
    const sleeper: Sleeper = {deadline, wake, isCancelled: false};
    this.sleepers.push(sleeper);
    return () => {
      sleeper.isCancelled = true;
      this.sleepers = this.sleepers.filter(s => s !== sleeper);
    };
  }
}
