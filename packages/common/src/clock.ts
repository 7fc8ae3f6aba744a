import type {MonotonicMs} from './brand.js';

/** Source of time and timers; tests pass a manual one. */
export interface Clock {
  /** Milliseconds on a clock that never goes back. */
  now(): MonotonicMs;
  /** Wall-clock milliseconds since 1970, for display and window numbers. */
  wallNow(): number;
  /** Resolves when the deadline has passed, or early when aborted. */
  waitUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void>;
}

/** The longest delay that Node's timers take, ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Adds a span in milliseconds to a point in time. */
export function getDeadline(now: MonotonicMs, spanMs: number): MonotonicMs {
  return (now + spanMs) as MonotonicMs;
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
};

interface Sleeper {
  deadline: MonotonicMs;
  wake: () => void;
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
      const sleeper = {deadline, wake: resolve};
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', () => {
        this.sleepers = this.sleepers.filter(s => s !== sleeper);
        resolve();
      });
    });
  }

  /** Moves time forward and wakes all whose deadline has passed. */
  advance(spanMs: number): void {
    this.current += spanMs;
    const due = this.sleepers.filter(s => s.deadline <= this.current);
    this.sleepers = this.sleepers.filter(s => s.deadline > this.current);
    for (const sleeper of due) sleeper.wake();
  }
}
