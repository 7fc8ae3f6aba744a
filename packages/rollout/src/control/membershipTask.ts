import type {Clock, Logger, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {idleReserve, updateReserve} from '@vanillacross/domain';

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

/** Interval at which a reserve process looks at the owners, ms. */
const RESERVE_CHECK_INTERVAL_MS = 1_000;

export interface MembershipTaskOptions {
  log: SharedLog;
  group: string;
  member: string;
  stream: string;
  partitionCount: number;
  minTtlMs: number;
  /** Whether this process joins only while the other members are too few. */
  isReserve: boolean;
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
  private isJoined = false;
  private reserve = idleReserve;

  constructor(private readonly options: MembershipTaskOptions) {}

  start(): void {
    void this.run();
  }

  /** Whether this process takes part in the assignment. */
  get isMember(): boolean {
    return this.isJoined;
  }

  /** Releases the partitions and leaves the group. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.leave();
  }

  private async leave(): Promise<void> {
    const {log, group, member, logger} = this.options;
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
      const isNeeded = await this.checkNeed();
      // A join after the leave of a stop would keep partitions without an owner.
      if (this.isStopped) return;
      if (isNeeded) await this.join();
      else if (this.isJoined) await this.leave();
      this.isJoined = isNeeded;
      const intervalMs = isNeeded
        ? this.getIntervalMs()
        : RESERVE_CHECK_INTERVAL_MS;
      await clock.waitUntil(getDeadline(clock.now(), intervalMs));
    }
  }

  /** Returns whether this process has to be a member now. */
  private async checkNeed(): Promise<boolean> {
    const {isReserve, log, group, stream, clock, logger} = this.options;
    if (!isReserve) return true;
    const owners = await log.getOwners(group, stream);
    // Without the store, nobody can be assigned partitions anyway.
    if (!owners.ok) return this.reserve.isNeeded;
    const {partitionCount, member: self} = this.options;
    const ownership = {partitionCount, owners: owners.value, self};
    const before = this.reserve.isNeeded;
    this.reserve = updateReserve(this.reserve, ownership, clock.now());
    const {isNeeded} = this.reserve;
    if (isNeeded !== before) logger.info('need for this process', {isNeeded});
    return isNeeded;
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
