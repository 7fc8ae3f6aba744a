import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getClockOffset} from '@vanillacross/common';

/** Readings older than this are discarded, ms. */
const MAX_AGE_MS = 4_000;
/**
 * Minimum number of readings, including the local one, for a median; with
 * fewer, the local time is used.
 */
const MIN_READINGS = 3;

interface Reading {
  /** Offset of the remote wall clock from the local monotonic clock, ms. */
  offsetMs: number;
  at: MonotonicMs;
}

/**
 * The time of day as the majority of processes see it. Individual wall clocks
 * may be off by seconds; the median is right as long as most of them are.
 */
export class TimeConsensus {
  private readonly readings = new Map<string, Reading>();

  constructor(private readonly clock: Clock) {}

  /** Adds the wall clock that another process has published, ms. */
  addReading(process: string, wallMs: number): void {
    const at = this.clock.now();
    const offsetMs = wallMs - at;
    const previous = this.readings.get(process);
    // Transit delays lower the offset, so the largest recent offset is the most
    // accurate.
    const isFresh = previous !== undefined && at - previous.at <= MAX_AGE_MS;
    if (isFresh && previous.offsetMs > offsetMs) return;
    this.readings.set(process, {offsetMs, at});
  }

  /** Number of processes with a known wall clock, this one included. */
  get processCount(): number {
    return this.readings.size + 1;
  }

  /** Returns the time of day, ms since the Unix epoch. */
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
