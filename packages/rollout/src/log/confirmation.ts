import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getClockOffset} from '@vanillacross/common';

/** Tolerated drift between the wall clock and the monotonic clock, ms. */
const CLOCK_TOLERANCE_MS = 250;

/** When this process's view of a stream was last confirmed to be the newest. */
export class Confirmation {
  private confirmedAt: MonotonicMs | null = null;
  private clockOffsetMs = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Records that the view was the newest one at a point in time.
   *
   * @param at The time of the confirmation.
   * @param clockOffsetMs Offset of the wall clock from the monotonic clock at
   * that time, ms.
   */
  record(at: MonotonicMs, clockOffsetMs: number): void {
    if (this.confirmedAt !== null && at <= this.confirmedAt) return;
    this.confirmedAt = at;
    this.clockOffsetMs = clockOffsetMs;
  }

  /** Returns the age of the newest confirmation, ms; infinite without one. */
  getAgeMs(): number {
    if (this.confirmedAt === null) return Infinity;
    return this.clock.now() - this.confirmedAt;
  }

  /**
   * Returns for how long the process may have been suspended since then, ms. The
   * monotonic clock stops meanwhile and drifts from the wall clock.
   */
  getSuspensionMs(): number {
    const driftMs = Math.abs(getClockOffset(this.clock) - this.clockOffsetMs);
    return driftMs > CLOCK_TOLERANCE_MS ? driftMs : 0;
  }

  /** Returns the age that the newest confirmation may have at most, ms. */
  getMaxAgeMs(): number {
    return this.getAgeMs() + this.getSuspensionMs();
  }
}
