import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {SharedLog} from '../model/index.js';

/** Interval between join calls while the assignment is stable, ms. */
const JOIN_INTERVAL_MS = 500;
/**
 * Interval between join calls after the assignment has changed, ms. The samples
 * of a partition stand still from its release until its next owner has joined.
 */
const REBALANCING_JOIN_INTERVAL_MS = 100;
/** Time after a change for which partitions may still move, ms. */
const REBALANCING_MS = 1_500;
/** A member that does not join for this long loses its partitions, ms. */
const MEMBER_TTL_MS = 1_800;
/**
 * Time without a successful join after which this process gives up its
 * partitions, because another member may own them, ms. It is longer than the
 * TTL at the store, so that work continues during a store outage.
 */
const EXPIRY_MS = 9_000;

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

/** Keeps this process in the group that assigns a stream's partitions. */
export class MembershipTask {
  private generation = 0;
  private confirmedAt: MonotonicMs | null = null;
  private rebalancingUntil: MonotonicMs | null = null;
  private partitions: readonly number[] = [];
  private isStopped = false;

  constructor(private readonly options: MembershipTaskOptions) {}

  start(): void {
    void this.run();
  }

  /** Releases the partitions and leaves the group. */
  async stop(): Promise<void> {
    const {log, group, member, logger} = this.options;
    this.isStopped = true;
    this.assign([]);
    const outcome = await log.leave(group, member);
    if (!outcome.ok) {
      logger.warn('failed to leave the group', {failure: outcome.error});
    }
  }

  /** Stops without releasing the partitions. */
  halt(): void {
    this.isStopped = true;
  }

  private assign(partitions: readonly number[]): void {
    this.partitions = partitions;
    this.options.onPartitions(partitions);
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopped) {
      await this.join();
      await clock.waitUntil(getDeadline(clock.now(), this.getIntervalMs()));
    }
  }

  private getIntervalMs(): number {
    const now = this.options.clock.now();
    const isRebalancing =
      this.rebalancingUntil !== null && now < this.rebalancingUntil;
    return isRebalancing ? REBALANCING_JOIN_INTERVAL_MS : JOIN_INTERVAL_MS;
  }

  private async join(): Promise<void> {
    const {log, group, member, stream, clock, logger} = this.options;
    const ttlMs = Math.max(MEMBER_TTL_MS, this.options.minTtlMs);
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
      logger.warn('failed to join the group', {failure: outcome.error});
      const elapsedMs = clock.now() - (this.confirmedAt ?? 0);
      if (this.partitions.length > 0 && elapsedMs > EXPIRY_MS) this.assign([]);
      return;
    }
    this.confirmedAt = sentAt;
    if (outcome.value.generation !== this.generation) {
      this.rebalancingUntil = getDeadline(clock.now(), REBALANCING_MS);
    }
    this.generation = outcome.value.generation;
    this.assign(outcome.value.partitions);
  }
}
