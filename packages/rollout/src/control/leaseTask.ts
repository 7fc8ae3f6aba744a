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
const RENEWAL_MS = 600;
/** Part of the lease during which its holder acts after a renewal was sent. */
const HOLDER_SHARE = 0.6;
/** The successor waits this much longer than the lease, ms. */
const SUCCESSOR_MARGIN_MS = 300;
/** Claims are spread over this time, ms. */
const CLAIM_SPREAD_MS = 500;
const APPEND_TIMEOUT_MS = 700;
/** Interval at which a process without the lease looks at it, ms. */
const WATCH_MS = 250;
/** Time for which the store holds a read of the lease stream, ms. */
const READ_WAIT_MS = 2_000;
/** Clocks that drift apart more than this tell of a suspension, ms. */
const CLOCK_TOLERANCE_MS = 250;
const RECORD_BYTES = 1_024;

export interface LeaseTaskOptions {
  log: SharedLog;
  stream: string;
  /** Unique for each start of a process. */
  processId: string;
  /** Instance that the process runs on. */
  instance: string;
  leaseMs: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  health: StoreHealth;
  random: () => number;
}

/**
 * Holds or awaits the one lease of the deployment. The stream's order decides:
 * every record is appended only where the stream ends as its writer read it.
 */
export class LeaseTask {
  private view: LeaseView = noLease;
  private actUntil = -Infinity;
  private actOffsetMs = 0;
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
      waitMs: READ_WAIT_MS,
      pauseMs: WATCH_MS,
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

  /** Gives the lease back, if it is held. */
  async stop(): Promise<void> {
    const isHeld = this.isHeld();
    this.halt();
    if (isHeld) await this.append('release', this.view.end);
  }

  /** Stops without giving the lease back. */
  halt(): void {
    this.isStopped = true;
    this.actUntil = -Infinity;
    this.tail.stop();
  }

  /** Name under which orders are given. */
  get holder(): string {
    return this.options.processId;
  }

  /** Token of the lease that this process holds. */
  get fencingToken(): number {
    return this.view.fencingToken;
  }

  /** Whether an order may be written to a socket right now. */
  isHeld(): boolean {
    const {clock} = this.options;
    if (this.isStopped || this.view.holder !== this.options.processId) {
      return false;
    }
    const driftMs = Math.abs(getClockOffset(clock) - this.actOffsetMs);
    if (driftMs > CLOCK_TOLERANCE_MS) return false;
    const isValid = clock.now() < this.actUntil;
    if (isValid) this.lastHeldAt = clock.now();
    return isValid;
  }

  private apply(entry: Buffer, offset: number): void {
    const {clock, logger} = this.options;
    const record = decodeLeaseRecord(entry);
    if (!record.ok) {
      logger.warn('unreadable lease record', {offset, reason: record.error});
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
      const waitMs = await this.step();
      this.noteHeld();
      await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  private async step(): Promise<number> {
    if (this.view.holder === this.options.processId) {
      await this.extend('renewal');
      return RENEWAL_MS;
    }
    const {clock, processId: self, instance, leaseMs, random} = this.options;
    const waitMs = leaseMs + SUCCESSOR_MARGIN_MS;
    // A former holder that acted a moment ago must not take turns.
    if (clock.now() - this.lastHeldAt < waitMs) return WATCH_MS;
    if (!mayClaim(this.view, self, instance, clock.now(), waitMs)) {
      return WATCH_MS;
    }
    const spreadMs = random() * CLAIM_SPREAD_MS;
    await clock.waitUntil(getDeadline(clock.now(), spreadMs));
    if (!mayClaim(this.view, self, instance, clock.now(), waitMs)) {
      return WATCH_MS;
    }
    await this.extend('claim');
    return this.view.holder === self ? RENEWAL_MS : WATCH_MS;
  }

  /** Appends a claim or renewal; on success the lease runs from its sending. */
  private async extend(type: LeaseRecord['type']): Promise<void> {
    const {clock, leaseMs, logger, metrics} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const outcome = await this.append(type, this.view.end);
    if (outcome.ok) {
      await this.tail.catchUp();
      this.actUntil = sentAt + leaseMs * HOLDER_SHARE;
      this.actOffsetMs = offsetMs;
      return;
    }
    metrics.count('vc_lease_failures', {type, reason: outcome.error.tag});
    logger.warn('lease was not extended', {
      type,
      end: this.view.end,
      failure: outcome.error,
    });
    // The record may have landed, or another process may have claimed.
    await this.tail.catchUp();
  }

  private noteHeld(): void {
    const isHeld = this.isHeld();
    if (isHeld === this.wasHeld) return;
    this.wasHeld = isHeld;
    this.options.logger.info(isHeld ? 'lease taken' : 'lease lost', {
      fencingToken: this.view.fencingToken,
    });
  }

  private async append(
    type: LeaseRecord['type'],
    end: number,
  ): Promise<Result<null, LogFailure>> {
    const {log, stream, processId: self, instance} = this.options;
    const entry = encodeLeaseRecord({type, holder: self, instance});
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
