import type {MonotonicMs} from '@vanillacross/common';

/** Length of one part of the window, ms. */
const PART_MS = 500;
/** Parts that together cover at least the last 2 s. */
const PARTS = 5;

/** Highest value of the last 2 to 2.5 s; immutable and of fixed size. */
export interface PeakWindow {
  /** Highest value of each part, newest first. */
  parts: readonly number[];
  /** Number of the newest part since the start of the clock. */
  newest: number;
}

export const emptyPeakWindow: PeakWindow = {parts: [], newest: 0};

function shift(window: PeakWindow, now: MonotonicMs): PeakWindow {
  const newest = Math.floor(now / PART_MS);
  const passed = Math.min(PARTS, Math.max(0, newest - window.newest));
  if (passed === 0) return window;
  const empty = new Array<number>(passed).fill(0);
  return {parts: [...empty, ...window.parts].slice(0, PARTS), newest};
}

/** Adds a value that was reached now. */
export function addPeak(
  window: PeakWindow,
  value: number,
  now: MonotonicMs,
): PeakWindow {
  const {parts, newest} = shift(window, now);
  const [current = 0, ...older] = parts;
  return {parts: [Math.max(current, value), ...older], newest};
}

/** Returns the highest recent value; 0 if there was none. */
export function getPeak(window: PeakWindow, now: MonotonicMs): number {
  return Math.max(0, ...shift(window, now).parts);
}
