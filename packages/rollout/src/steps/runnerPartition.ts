/**
 * Samples of one step that one process runs at most. Two steps of an account
 * are open at a time, and the smallest instances have a quarter of a core.
 */
const SAMPLES_PER_OWNER = 40;

/**
 * The partition whose owner runs the sample at a position of a step. Large
 * steps spread over the owners of the partitions that follow their own.
 */
export function getRunnerPartition(
  stepPartition: number,
  position: number,
  partitionCount: number,
): number {
  const shift = Math.floor(position / SAMPLES_PER_OWNER);
  return (stepPartition + shift) % partitionCount;
}

/** Owners that run the samples of a step. */
export function getRunnerCount(samples: number): number {
  return Math.max(1, Math.ceil(samples / SAMPLES_PER_OWNER));
}
