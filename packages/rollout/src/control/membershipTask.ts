import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {SharedLog} from '../model/index.js';

/** Interval between two joins, ms. */
const JOIN_MS = 250;
/** A member that is silent this long loses its partitions, ms. */
const TTL_MS = 1_800;
/**
 * Without an answer for this long the partitions may be another's, ms. Longer
 * than the store's limit, as work goes on through an outage of the store.
 */
const GIVE_UP_MS = 9_000;

export interface MembershipTaskOptions {
  log: SharedLog;
  group: string;
  member: string;
  stream: string;
  minTtlMs: number;
  clock: Clock;
  logger: Logger;
  onPartitions: (partitions: readonly number[]) => void;
}

/** Keeps this process in the group that shares out a stream's partitions. */
export class MembershipTask {
  private generation = 0;
  private confirmedAt: MonotonicMs | null = null;
  private partitions: readonly number[] = [];
  private isStopped = false;

  constructor(private readonly options: MembershipTaskOptions) {}

  start(): void {
    void this.run();
  }

  /** Hands the partitions back. */
  async stop(): Promise<void> {
    const {log, group, member, logger} = this.options;
    this.isStopped = true;
    this.take([]);
    const outcome = await log.leave(group, member);
    if (!outcome.ok) {
      logger.warn('group was not left', {failure: outcome.error});
    }
  }

  /** Stops without handing the partitions back. */
  halt(): void {
    this.isStopped = true;
  }

  private take(partitions: readonly number[]): void {
    this.partitions = partitions;
    this.options.onPartitions(partitions);
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      await this.join();
      await clock.waitUntil(getDeadline(clock.now(), JOIN_MS));
    }
  }

  private async join(): Promise<void> {
    const {log, group, member, stream, clock, logger} = this.options;
    const ttlMs = Math.max(TTL_MS, this.options.minTtlMs);
    const sentAt = clock.now();
    const outcome = await log.join(
      group,
      member,
      stream,
      ttlMs,
      this.generation,
    );
    if (this.isStopped) return;
    if (!outcome.ok) {
      logger.warn('group was not joined', {failure: outcome.error});
      const silentMs = clock.now() - (this.confirmedAt ?? 0);
      if (this.partitions.length > 0 && silentMs > GIVE_UP_MS) this.take([]);
      return;
    }
    this.confirmedAt = sentAt;
    this.generation = outcome.value.generation;
    this.take(outcome.value.partitions);
  }
}
