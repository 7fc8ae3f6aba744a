import type {Clock, Logger, Metrics, Result} from '@vanillacross/common';
import {getClockOffset, getDeadline, ok} from '@vanillacross/common';

import type {StoreHealth} from '../log/index.js';
import {StreamTail, splitEntry} from '../log/index.js';
import type {LogFailure, SharedLog} from '../model/index.js';
import type {LeaseRecord, LeaseView} from './lease.js';
import {
  decodeLeaseRecord,
  encodeLeaseRecord,
  mayClaim,
  noLease,
  reduceLease,
} from './lease.js';

const PARTITION = 0;
/** Interval between renewals, ms. */
const RENEWAL_INTERVAL_MS = 600;
/**
 * The holder acts on the lease for this fraction of the lease time, counted
 * from when it sent its last successful claim or renewal.
 */
const VALID_LEASE_SHARE = 0.6;
/** Time that a successor waits in addition to the lease time, ms. */
const SUCCESSOR_MARGIN_MS = 300;
/** Maximum random delay before a claim, ms. */
const MAX_CLAIM_JITTER_MS = 500;
/** Additional delay of a claim by a process on a small machine, ms. */
const RESERVE_CLAIM_DELAY_MS = 700;
const APPEND_TIMEOUT_MS = 700;
/** Interval at which a process without the lease checks it, ms. */
const POLL_INTERVAL_MS = 250;
/** Long-poll time of a read of the lease stream, ms. */
const LONG_POLL_MS = 2_000;
/**
 * A larger drift between the wall clock and the monotonic clock means that the
 * process was suspended, ms.
 */
const CLOCK_TOLERANCE_MS = 250;
const RECORD_BYTES = 1_024;

export interface LeaseTaskOptions {
  log: SharedLog;
  stream: string;
  /** Unique for each start of the process. */
  processId: string;
  /** Instance that the process runs on. */
  instance: string;
  leaseMs: number;
  /** Whether other processes are to claim the lease first. */
  isReserve: boolean;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  health: StoreHealth;
  random: () => number;
  /** Called when this process has taken the lease. */
  onTaken: () => void;
}

/**
 * Holds or waits for the deployment's lease. The order of the stream decides
 * who holds it: a record is appended only if the stream still ends where its
 * writer last read it.
 */
export class LeaseTask {
  private view: LeaseView = noLease;
  private validUntil = -Infinity;
  private validClockOffsetMs = 0;
  private lastHeldAt = -Infinity;
  private isStopped = false;
  private wasHeld = false;
  private readonly tail: StreamTail;

  constructor(private readonly options: LeaseTaskOptions) {
    const {log, stream, clock, logger, metrics, health} = options;
    this.tail = new StreamTail({
      log,
      stream,
      partition: PARTITION,
      getWaitMs: () => LONG_POLL_MS,
      getPauseMs: () => POLL_INTERVAL_MS,
      clock,
      logger,
      metrics,
      health,
      onEntry: (entry, offset) => this.apply(entry, offset),
    });
  }

  start(): void {
    this.tail.start();
    void this.run();
  }

  /** Stops and releases the lease if it is held. */
  async stop(): Promise<void> {
    const isHeld = this.isHeld();
    this.halt();
    if (isHeld) await this.append('release', this.view.end);
  }

  /** Stops without releasing the lease. */
  halt(): void {
    this.isStopped = true;
    this.validUntil = -Infinity;
    this.tail.stop();
  }

  /**
   * Name of this process as lease holder, sent with weight orders and usage
   * reports.
   */
  get holder(): string {
    return this.options.processId;
  }

  /** Fencing token of the newest claim. */
  get fencingToken(): number {
    return this.view.fencingToken;
  }

  /** Whether this process holds the lease and may send orders now. */
  isHeld(): boolean {
    const {clock} = this.options;
    if (this.isStopped || this.view.holder !== this.options.processId) {
      return false;
    }
    const driftMs = Math.abs(getClockOffset(clock) - this.validClockOffsetMs);
    if (driftMs > CLOCK_TOLERANCE_MS) return false;
    const isValid = clock.now() < this.validUntil;
    if (isValid) this.lastHeldAt = clock.now();
    return isValid;
  }

  private apply(entry: Buffer, offset: number): void {
    const {clock, logger} = this.options;
    const record = decodeLeaseRecord(entry);
    if (!record.ok) {
      logger.warn('skipped unreadable lease record', {
        offset,
        reason: record.error,
      });
      this.view = {...this.view, end: offset + 1};
      return;
    }
    const before = this.view.holder;
    this.view = reduceLease(this.view, record.value, offset, clock.now());
    if (this.view.holder !== before) {
      logger.info('lease changed', {
        holder: this.view.holder,
        fencingToken: this.view.fencingToken,
        before,
      });
    }
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    await this.tail.whenCaughtUp();
    while (!this.isStopped) {
      const waitMs = await this.claimOrRenewIfDue();
      this.handleHeldChange();
      await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  /** Returns the delay until the next step, ms. */
  private async claimOrRenewIfDue(): Promise<number> {
    if (this.view.holder === this.options.processId) {
      await this.claimOrRenew('renewal');
      return RENEWAL_INTERVAL_MS;
    }
    const {clock, processId, instance, leaseMs, random} = this.options;
    const waitMs = leaseMs + SUCCESSOR_MARGIN_MS;
    // A recent holder must not claim the lease again right away, so that the
    // lease does not alternate between processes.
    if (clock.now() - this.lastHeldAt < waitMs) return POLL_INTERVAL_MS;
    if (!mayClaim(this.view, processId, instance, clock.now(), waitMs)) {
      return POLL_INTERVAL_MS;
    }
    const reserveMs = this.options.isReserve ? RESERVE_CLAIM_DELAY_MS : 0;
    const jitterMs = random() * MAX_CLAIM_JITTER_MS + reserveMs;
    await clock.waitUntil(getDeadline(clock.now(), jitterMs));
    if (!mayClaim(this.view, processId, instance, clock.now(), waitMs)) {
      return POLL_INTERVAL_MS;
    }
    await this.claimOrRenew('claim');
    return this.view.holder === processId
      ? RENEWAL_INTERVAL_MS
      : POLL_INTERVAL_MS;
  }

  /** Appends a claim or renewal. The lease runs from the send time. */
  private async claimOrRenew(type: LeaseRecord['type']): Promise<void> {
    const {clock, leaseMs, logger, metrics} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const outcome = await this.append(type, this.view.end);
    if (outcome.ok) {
      await this.tail.catchUp();
      this.validUntil = sentAt + leaseMs * VALID_LEASE_SHARE;
      this.validClockOffsetMs = offsetMs;
      return;
    }
    metrics.count('vc_lease_failures', {type, reason: outcome.error.tag});
    logger.warn('failed to append lease record', {
      type,
      end: this.view.end,
      failure: outcome.error,
    });
    // The append may have taken effect, or another process may have claimed.
    await this.tail.catchUp();
  }

  private handleHeldChange(): void {
    const isHeld = this.isHeld();
    if (isHeld === this.wasHeld) return;
    this.wasHeld = isHeld;
    this.options.logger.info(isHeld ? 'lease taken' : 'lease lost', {
      fencingToken: this.view.fencingToken,
    });
    if (isHeld) this.options.onTaken();
  }

  private async append(
    type: LeaseRecord['type'],
    end: number,
  ): Promise<Result<null, LogFailure>> {
    const {log, stream, processId, instance} = this.options;
    const entry = encodeLeaseRecord({type, holder: processId, instance});
    const outcome = await log.append({
      stream,
      partition: PARTITION,
      records: splitEntry(entry, RECORD_BYTES),
      expectedEnd: end,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    return outcome.ok ? ok(null) : outcome;
  }
}
