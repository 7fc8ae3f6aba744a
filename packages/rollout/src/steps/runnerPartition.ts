/**
 * Number of consecutive samples of a step that are assigned to one partition
 * owner. It limits the CPU time that an account with two open steps can take from
 * one owner; the smallest instances have a quarter of a core.
 */
const SAMPLES_PER_OWNER = 40;

/**
 * Returns the partition whose owner runs the sample at a position of a step. A
 * large step is spread over the owners of its own and the following partitions.
 */
export function getRunnerPartition(
  stepPartition: number,
  position: number,
  partitionCount: number,
): number {
  const partitionOffset = Math.floor(position / SAMPLES_PER_OWNER);
  return (stepPartition + partitionOffset) % partitionCount;
}

/** Returns the partitions whose owners run the samples of a step. */
export function getRunnerPartitions(
  stepPartition: number,
  samples: number,
  partitionCount: number,
): number[] {
  return Array.from({length: getRunnerPartitionCount(samples)}, (_, owner) =>
    getRunnerPartition(
      stepPartition,
      owner * SAMPLES_PER_OWNER,
      partitionCount,
    ),
  );
}

/**
 * Returns the number of partitions whose owners run the samples of a step. It
 * is an upper bound: for a large step it may exceed the partition count.
 */
export function getRunnerPartitionCount(samples: number): number {
  return Math.max(1, Math.ceil(samples / SAMPLES_PER_OWNER));
}
