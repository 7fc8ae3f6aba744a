/**
 * Maximum number of samples of one step that one partition owner runs. An
 * account has two steps open at a time, and the smallest instances have a
 * quarter of a core.
 */
const MAX_SAMPLES_PER_OWNER = 40;

/**
 * Returns the partition whose owner runs the sample at a position of a step. A
 * large step is spread over the owners of its own and the following partitions.
 */
export function getRunnerPartition(
  stepPartition: number,
  position: number,
  partitionCount: number,
): number {
  const partitionOffset = Math.floor(position / MAX_SAMPLES_PER_OWNER);
  return (stepPartition + partitionOffset) % partitionCount;
}

/** Returns the number of partitions whose owners run the samples of a step. */
export function getRunnerCount(samples: number): number {
  return Math.max(1, Math.ceil(samples / MAX_SAMPLES_PER_OWNER));
}
