/** The runner of samples, as far as it is told which partitions it owns. */
export interface PartitionRunner {
  getOwnedPartitions(): ReadonlySet<number>;
  setOwnedPartitions(partitions: readonly number[]): void;
}

/** The streams of steps, as far as an owner needs them. */
export interface PartitionStreams {
  /** Follows all partitions and resolves when they have been read. */
  catchUpAll(): Promise<void>;
  /** Reads all partitions anew. */
  restart(): void;
}

export interface PartitionAssignmentOptions {
  /** Number of partitions of the step stream. */
  partitionCount: number;
  runner: PartitionRunner;
  streams: PartitionStreams;
  /** Called when partitions are about to be acquired. */
  onAcquiring: () => void;
}

/**
 * Applies the partitions that the store assigns to this process. Partitions are
 * released at once and acquired when the steps are known, so that samples that
 * are done already are not started again.
 */
export class PartitionAssignment {
  private assigned: readonly number[] = [];
  private isAcquiring = false;
  private isStopped = false;

  constructor(private readonly options: PartitionAssignmentOptions) {}

  /** Applies a new assignment, which may be the same as before. */
  apply(assigned: readonly number[]): void {
    const {partitionCount, runner, streams, onAcquiring} = this.options;
    // The store may deal more partitions than there are for steps.
    this.assigned = assigned.filter(index => index < partitionCount);
    const owned = runner.getOwnedPartitions();
    const kept = this.assigned.filter(partition => owned.has(partition));
    if (kept.length < owned.size) runner.setOwnedPartitions(kept);
    if (kept.length === this.assigned.length || this.isAcquiring) return;
    this.isAcquiring = true;
    onAcquiring();
    void streams.catchUpAll().then(() => {
      this.isAcquiring = false;
      if (this.isStopped) return;
      runner.setOwnedPartitions(this.assigned);
      streams.restart();
    });
  }

  /** Acquires no further partitions. */
  stop(): void {
    this.isStopped = true;
  }
}
