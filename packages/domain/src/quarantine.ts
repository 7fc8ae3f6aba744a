import type {CrashReport} from './messages.js';

/** Fingerprints whose crashes are counted at the same time. */
export const MAX_COUNTED_FINGERPRINTS = 4_096;
/** Distinct upstreams that must crash before a fingerprint is refused. */
export const MIN_CRASHED_UPSTREAMS = 2;

/** Upstreams that crashed by request fingerprint; oldest entries first. */
export type CrashCounts = ReadonlyMap<string, readonly string[]>;

/**
 * Counts crash reports. Returns the fingerprints that have now been in flight
 * at crashes of enough distinct upstreams; a repeated report changes nothing.
 */
export function countCrashes(
  counts: CrashCounts,
  reports: readonly CrashReport[],
  enoughUpstreams = MIN_CRASHED_UPSTREAMS,
): {counts: CrashCounts; reached: string[]} {
  const next = new Map(counts);
  const reached = new Set<string>();
  for (const {upstream, fingerprints} of reports) {
    for (const fingerprint of fingerprints) {
      const upstreams = next.get(fingerprint) ?? [];
      if (upstreams.includes(upstream)) continue;
      if (upstreams.length >= enoughUpstreams) continue;
      next.delete(fingerprint);
      next.set(fingerprint, [...upstreams, upstream]);
      if (upstreams.length + 1 >= enoughUpstreams) {
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
