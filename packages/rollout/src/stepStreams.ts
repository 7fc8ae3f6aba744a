import type {Clock, Logger, Metrics} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {AppendQueue, StoreHealth} from './log/index.js';
import {StreamTail, TextStore} from './log/index.js';
import type {Deadline, SchedulingPolicy, SharedLog} from './model/index.js';
import type {StepRegistry, StepPartition} from './steps/index.js';
import type {RunnerLayout} from './steps/index.js';
import {decodeStepRecord, getRunnerPartitions} from './steps/index.js';

const STEP_STREAM = 'vc-steps';
const TEXT_STREAM = 'vc-texts';
/**
 * Long-poll times of reads of the step stream, ms. A read on a connection that
 * went silent delays the samples of a runner, but no other process, which reads
 * a partition again before it answers for it.
 */
const STEP_LONG_POLL_MS = {runner: 2_000, other: 10_000};
/**
 * Minimum intervals between reads of a partition, ms, by what this process needs
 * it for.
 */
const READ_INTERVALS_MS = {
  /** This process runs samples of the partition's steps or plans for them. */
  near: 30,
  /** This process runs samples of very large steps of the partition only. */
  far: 250,
  /** This process shares engines with the runners of the partition's steps. */
  shared: 100,
  /** This process runs no samples, as most of a large deployment. */
  unneeded: 1_000,
};
/** Number of samples up to which a step is not very large. */
const USUAL_STEP_SAMPLES = 160;
const DRAIN_POLL_INTERVAL_MS = 10;

export interface StepStreamsOptions {
  log: SharedLog;
  registry: StepRegistry;
  health: StoreHealth;
  layout: RunnerLayout;
  policy: SchedulingPolicy;
  /** Returns the partitions whose samples this process runs. */
  getOwnedPartitions: () => ReadonlySet<number>;
  /** Whether this process holds the lease and plans for all steps. */
  isLeaseHeld: () => boolean;
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

  constructor(private readonly options: StepStreamsOptions) {
    const {log, clock, metrics, health, layout, createQueue} = options;
    const {partitionCount} = layout;
    const shared = {log, clock, metrics, logger: options.logger.child('log')};
    const indexes = Array.from({length: partitionCount}, (_, index) => index);
    this.partitions = indexes.map(partition => ({
      tail: new StreamTail({
        ...shared,
        stream: STEP_STREAM,
        partition,
        getWaitMs: () => this.getWaitMs(),
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

  /**
   * Follows all partitions, as processes with duties for all steps must. Others
   * follow only what they are asked for: when all processes of a deployment
   * start at once, they would otherwise wait for each other at the store, which
   * limits the bytes that all read.
   */
  followAll(): void {
    for (const {tail} of this.partitions) tail.start();
  }

  /** Whether every partition has been read to its end at least once. */
  isCaughtUp(): boolean {
    return this.partitions.every(({tail}) => tail.confirmedAt !== null);
  }

  /**
   * Follows all partitions and resolves when each has been read to its end. A
   * partition that was read before is read again once; if that fails, it stays
   * as it is.
   */
  async catchUpAll(): Promise<void> {
    this.followAll();
    await Promise.all(
      this.partitions.map(({tail}) =>
        tail.confirmedAt === null ? tail.whenCaughtUp() : tail.catchUp(),
      ),
    );
  }

  /** Reads all partitions anew, after this process needs more of them. */
  restart(): void {
    for (const {tail} of this.partitions) tail.restart();
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

  private getPauseMs(partition: number): number {
    const {getOwnedPartitions, isLeaseHeld, layout} = this.options;
    const owned = getOwnedPartitions();
    if (isLeaseHeld()) return READ_INTERVALS_MS.near;
    if (owned.size === 0) return READ_INTERVALS_MS.unneeded;
    const isNear = getRunnerPartitions(
      partition,
      USUAL_STEP_SAMPLES,
      layout,
    ).some(runnerPartition => owned.has(runnerPartition));
    if (isNear) return READ_INTERVALS_MS.near;
    return this.options.policy.placement === 'concentrated'
      ? READ_INTERVALS_MS.shared
      : READ_INTERVALS_MS.far;
  }

  private getWaitMs(): number {
    const {getOwnedPartitions, isLeaseHeld} = this.options;
    const isRunner = getOwnedPartitions().size > 0 || isLeaseHeld();
    return isRunner ? STEP_LONG_POLL_MS.runner : STEP_LONG_POLL_MS.other;
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
