import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getClockOffset} from '@vanillacross/common';

/** Readings older than this are not used, ms. */
const MAX_AGE_MS = 4_000;
/** With fewer readings the own clock is used. */
const MIN_READINGS = 3;

interface Reading {
  /** How far the other wall clock was ahead of the steady clock here, ms. */
  offsetMs: number;
  at: MonotonicMs;
}

/**
 * The time of day as most processes see it. Single wall clocks may be set by
 * seconds; the median of all is right as long as most are.
 */
export class TimeConsensus {
  private readonly readings = new Map<string, Reading>();

  constructor(private readonly clock: Clock) {}

  /** Takes the wall clock that another process has just told, ms. */
  addReading(process: string, wallMs: number): void {
    const at = this.clock.now();
    const offsetMs = wallMs - at;
    const before = this.readings.get(process);
    // A reading that was under way for long shows too early a time.
    const isFresh = before !== undefined && at - before.at <= MAX_AGE_MS;
    if (isFresh && before.offsetMs > offsetMs) return;
    this.readings.set(process, {offsetMs, at});
  }

  /** Processes that have told their wall clock, this one included. */
  get processCount(): number {
    return this.readings.size + 1;
  }

  /** The time of day, ms since 1970. */
  now(): number {
    const now = this.clock.now();
    const offsets = [getClockOffset(this.clock)];
    for (const [process, {offsetMs, at}] of this.readings) {
      if (now - at > MAX_AGE_MS) this.readings.delete(process);
      else offsets.push(offsetMs);
    }
    if (offsets.length < MIN_READINGS) return this.clock.wallNow();
    offsets.sort((a, b) => a - b);
    return now + offsets[Math.floor(offsets.length / 2)];
  }
}
