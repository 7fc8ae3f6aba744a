/** What the order in which samples start depends on. */
export interface QueuedSample {
  /** Wall-clock time at which its step was accepted, ms. */
  acceptedAt: number;
  /** Number of samples of its group that have no result yet. */
  unfinishedInGroup: number;
  /** Estimated number of tokens; the estimate may be far off. */
  expectedTokens: number;
  /** Index in the step. */
  position: number;
}

/**
 * Order in which queued samples start. It answers a load of more samples than
 * the engines have slots for.
 *
 * A trainer uses complete groups only. While all samples of a step can finish in
 * time, the longest should start first, because the last one to finish decides
 * when its group is complete. If there are too few slots for that, all groups
 * would finish too late together. So the group that is nearest to complete goes
 * first, and the longest samples among groups that are equally near: groups of a
 * step that was just accepted are equal, and the first of them to make progress
 * are completed before the others.
 */
export function compareQueuedSamples(a: QueuedSample, b: QueuedSample): number {
  return (
    a.acceptedAt - b.acceptedAt ||
    a.unfinishedInGroup - b.unfinishedInGroup ||
    b.expectedTokens - a.expectedTokens ||
    a.position - b.position
  );
}
