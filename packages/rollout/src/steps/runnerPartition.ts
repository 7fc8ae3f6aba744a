import type {SchedulingPolicy} from '../model/index.js';

/** How the samples of steps are assigned to partition owners. */
export interface RunnerLayout {
  /** Number of partitions of the step stream. */
  partitionCount: number;
  /** Number of consecutive samples of a step that one owner runs. */
  samplesPerOwner: number;
}

/**
 * Number of samples that one owner runs, by placement. 40 limits the CPU time
 * that an account with two open steps can take from an instance with a quarter of
 * a core. Where such instances run no samples, one owner runs most steps whole:
 * it opens fewer connections than several and splits no group.
 */
const SAMPLES_PER_OWNER: Readonly<
  Record<SchedulingPolicy['placement'], number>
> = {spread: 40, concentrated: 96};

export function createRunnerLayout(
  partitionCount: number,
  {placement}: SchedulingPolicy,
): RunnerLayout {
  return {partitionCount, samplesPerOwner: SAMPLES_PER_OWNER[placement]};
}

/**
 * Returns the partition whose owner runs the sample at a position of a step. A
 * large step is spread over the owners of its own and the following partitions.
 */
export function getRunnerPartition(
  stepPartition: number,
  position: number,
  {partitionCount, samplesPerOwner}: RunnerLayout,
): number {
  const partitionOffset = Math.floor(position / samplesPerOwner);
  return (stepPartition + partitionOffset) % partitionCount;
}

/** Returns the partitions whose owners run the samples of a step. */
export function getRunnerPartitions(
  stepPartition: number,
  samples: number,
  layout: RunnerLayout,
): number[] {
  return Array.from(
    {length: getRunnerPartitionCount(samples, layout)},
    (_, owner) =>
      getRunnerPartition(stepPartition, owner * layout.samplesPerOwner, layout),
  );
}

/**
 * Returns the number of partitions whose owners run the samples of a step. It
 * is an upper bound: for a large step it may exceed the partition count.
 */
export function getRunnerPartitionCount(
  samples: number,
  {samplesPerOwner}: RunnerLayout,
): number {
  return Math.max(1, Math.ceil(samples / samplesPerOwner));
}
