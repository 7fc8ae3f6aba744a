import type {Clock, Logger, Metrics} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {AppendQueue, StoreHealth} from './log/index.js';
import {StreamTail, TextStore} from './log/index.js';
import type {Deadline, SharedLog} from './model/index.js';
import type {StepRegistry, StepPartition} from './steps/index.js';
import {decodeStepRecord} from './steps/index.js';

const STEP_STREAM = 'vc-steps';
const TEXT_STREAM = 'vc-texts';
/** Long-poll time of reads of the step stream, ms. */
const STEP_LONG_POLL_MS = 2_000;
/**
 * Minimum interval between reads of a partition for whose results no caller
 * waits here, ms. It applies to processes that run no samples, which are most of
 * a large deployment.
 */
const UNWATCHED_READ_INTERVAL_MS = 250;
const DRAIN_POLL_INTERVAL_MS = 10;

export interface StepStreamsOptions {
  log: SharedLog;
  registry: StepRegistry;
  health: StoreHealth;
  partitionCount: number;
  /** Whether this process runs the samples of any partition. */
  isRunner: () => boolean;
  createQueue: (stream: string, partition: number) => AppendQueue;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Tails and append queues for the streams of steps and of sample texts. */
export class StepStreams {
  /** Name of the stream whose partitions are assigned to owners. */
  readonly name = STEP_STREAM;
  readonly partitions: readonly StepPartition[];
  readonly texts: TextStore;
  private readonly textQueues: readonly AppendQueue[];
  /** For each partition, the number of callers that wait for its results. */
  private readonly watchers = new Map<number, number>();

  constructor(private readonly options: StepStreamsOptions) {
    const {log, clock, metrics, health, partitionCount, createQueue} = options;
    const shared = {log, clock, metrics, logger: options.logger.child('log')};
    const indexes = Array.from({length: partitionCount}, (_, index) => index);
    this.partitions = indexes.map(partition => ({
      tail: new StreamTail({
        ...shared,
        stream: STEP_STREAM,
        partition,
        waitMs: STEP_LONG_POLL_MS,
        getPauseMs: () => this.getPauseMs(partition),
        health,
        onEntry: (entry, offset) => this.apply(entry, offset, partition),
      }),
      queue: createQueue(STEP_STREAM, partition),
    }));
    this.textQueues = indexes.map(index => createQueue(TEXT_STREAM, index));
    const queues = this.textQueues;
    this.texts = new TextStore({...shared, stream: TEXT_STREAM, queues});
  }

  start(): void {
    for (const {tail} of this.partitions) tail.start();
  }

  /** Resolves when each partition has been read to its end at least once. */
  async whenCaughtUp(): Promise<void> {
    await Promise.all(this.partitions.map(({tail}) => tail.whenCaughtUp()));
  }

  /** Reads a partition without pauses until the returned function is called. */
  watch(partition: number): () => void {
    this.addWatchers(partition, 1);
    this.partitions[partition].tail.hurry();
    return () => this.addWatchers(partition, -1);
  }

  /** Returns the number of texts of a partition that are not yet stored. */
  getPendingTextCount(partition: number): number {
    return this.textQueues[partition].size;
  }

  /** Whether any append is not yet acknowledged by the store. */
  hasPendingAppends(): boolean {
    const queues = this.partitions.map(({queue}) => queue);
    return [...queues, ...this.textQueues].some(queue => queue.size > 0);
  }

  /** Resolves when all appends are stored, or at the deadline. */
  async drain(deadline: Deadline): Promise<void> {
    const {clock} = this.options;
    while (this.hasPendingAppends() && clock.now() < deadline) {
      await clock.waitUntil(getDeadline(clock.now(), DRAIN_POLL_INTERVAL_MS));
    }
  }

  /** Stops the tails and discards queued appends. */
  close(): void {
    for (const {tail, queue} of this.partitions) {
      tail.stop();
      queue.close();
    }
    for (const queue of this.textQueues) queue.close();
  }

  private addWatchers(partition: number, count: number): void {
    this.watchers.set(partition, (this.watchers.get(partition) ?? 0) + count);
  }

  private getPauseMs(partition: number): number {
    const isWatched = (this.watchers.get(partition) ?? 0) > 0;
    const {isRunner} = this.options;
    return isWatched || isRunner() ? 0 : UNWATCHED_READ_INTERVAL_MS;
  }

  private apply(entry: Buffer, offset: number, partition: number): void {
    const {registry, logger} = this.options;
    const record = decodeStepRecord(entry);
    if (record.ok) return registry.apply(record.value, partition);
    logger.child('steps').error('skipped unreadable step record', {
      partition,
      offset,
      reason: record.error,
    });
  }
}
