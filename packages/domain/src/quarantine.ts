import type {CrashReport} from './messages.js';

/** Maximum number of fingerprints whose crashes are counted. */
export const MAX_COUNTED_FINGERPRINTS = 4_096;
/**
 * Number of distinct upstreams that must crash before a fingerprint is
 * quarantined.
 */
export const MIN_CRASHED_UPSTREAMS = 2;

/** Crashed upstreams by request fingerprint, least recently changed first. */
export type CrashCounts = ReadonlyMap<string, readonly string[]>;

/**
 * Counts crash reports. Besides the new counts, returns the fingerprints that
 * reached the threshold of distinct crashed upstreams with these reports.
 * Repeated reports have no effect.
 */
export function countCrashes(
  counts: CrashCounts,
  reports: readonly CrashReport[],
  threshold = MIN_CRASHED_UPSTREAMS,
): {counts: CrashCounts; reached: string[]} {
  const next = new Map(counts);
  const reached = new Set<string>();
  for (const {upstream, fingerprints} of reports) {
    for (const fingerprint of fingerprints) {
      const upstreams = next.get(fingerprint) ?? [];
      if (upstreams.includes(upstream)) continue;
      if (upstreams.length >= threshold) continue;
      next.delete(fingerprint);
      next.set(fingerprint, [...upstreams, upstream]);
      if (upstreams.length + 1 >= threshold) {
        reached.add(fingerprint);
      }
    }
  }
  for (const fingerprint of next.keys()) {
    if (next.size <= MAX_COUNTED_FINGERPRINTS) break;
    next.delete(fingerprint);
  }
  return {counts: next, reached: [...reached]};
}
