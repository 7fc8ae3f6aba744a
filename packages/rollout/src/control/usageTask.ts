import type {
  AccountId,
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
} from '@vanillacross/common';
import {as, getDeadline} from '@vanillacross/common';

import type {AppendOutcome, AppendQueue} from '../log/index.js';
import type {LeaseHolderClient} from '../model/index.js';
import type {ControlRecord} from './controlRecords.js';
import {encodeControlRecord} from './controlRecords.js';
import type {LeaseTask} from './leaseTask.js';
import type {TimeConsensus} from './timeConsensus.js';
import type {UsageLedger} from './usageLedger.js';

/** Interval at which counts are told and windows are looked at, ms. */
const TICK_MS = 500;
/** A window is sealed this much after its end, ms. */
const SEAL_AFTER_MS = 2_500;
/** Time that the store has to acknowledge a seal, ms. */
const SEAL_BUDGET_MS = 3_000;
/** Windows before the current one that are still reported. */
const REPORTED_WINDOWS = 4;
/** Windows whose counts are kept for telling. */
const KEPT_WINDOWS = 6;

export interface UsageTaskOptions {
  /** Unique for each start of a process. */
  processId: string;
  windowMs: number;
  /** A report later than this after its window's end is pointless, ms. */
  lateMs: number;
  queue: AppendQueue;
  ledger: UsageLedger;
  lease: LeaseTask;
  leaseHolderClient: LeaseHolderClient;
  time: TimeConsensus;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Counts the requests that began and tells all processes; the lease holder
 * seals each window's figures in the store before it reports them.
 */
export class UsageTask {
  private readonly counts = new Map<number, Map<string, number>>();
  private readonly untold = new Set<number>();
  private readonly sending = new Set<number>();
  private readonly startedWindow: number;
  private isStopped = false;

  constructor(private readonly options: UsageTaskOptions) {
    this.startedWindow = this.getWindow(options.time.now());
  }

  start(): void {
    void this.run();
  }

  /** Tells the last counts. */
  stop(): void {
    this.isStopped = true;
    this.tell();
  }

  /** Stops without telling the last counts. */
  halt(): void {
    this.isStopped = true;
  }

  /** Counts a request that an upstream began to run. */
  countRequest(account: AccountId | null): void {
    if (account === null) return;
    const window = this.getWindow(this.options.time.now());
    const counts = this.counts.get(window) ?? new Map<string, number>();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.counts.set(window, counts);
    this.untold.add(window);
  }

  private getWindow(wallMs: number): number {
    return Math.floor(wallMs / this.options.windowMs);
  }

  private append(
    record: ControlRecord,
    deadline: MonotonicMs | null,
  ): Promise<AppendOutcome> {
    return this.options.queue.append(encodeControlRecord(record), deadline);
  }

  private async run(): Promise<void> {
    const {clock, lease} = this.options;
    while (!this.isStopped) {
      this.tell();
      if (lease.isHeld()) this.reportDue();
      await clock.waitUntil(getDeadline(clock.now(), TICK_MS));
    }
  }

  private tell(): void {
    for (const window of this.untold) {
      const counts = Object.fromEntries(this.counts.get(window) ?? []);
      const {processId: process} = this.options;
      const wallMs = this.options.clock.wallNow();
      void this.append({type: 'usage', process, wallMs, window, counts}, null);
    }
    this.untold.clear();
    for (const window of this.counts.keys()) {
      if (this.counts.size <= KEPT_WINDOWS) break;
      this.counts.delete(window);
    }
  }

  private reportDue(): void {
    const {time, windowMs, ledger} = this.options;
    const now = time.now();
    const current = this.getWindow(now);
    const first = Math.max(this.startedWindow, current - REPORTED_WINDOWS);
    for (let window = first; window < current; window++) {
      const endedMs = now - (window + 1) * windowMs;
      if (endedMs < SEAL_AFTER_MS || ledger.isReported(window)) continue;
      if (this.sending.has(window)) continue;
      this.sending.add(window);
      void this.report(window).finally(() => this.sending.delete(window));
    }
  }

  private async report(window: number): Promise<void> {
    const {
      clock,
      ledger,
      lease,
      leaseHolderClient: duty,
      logger,
      metrics,
    } = this.options;
    if (!ledger.getSeal(window)) {
      const counts = {...ledger.getTotal(window)};
      const deadline = getDeadline(clock.now(), SEAL_BUDGET_MS);
      await this.append({type: 'seal', window, counts}, deadline);
    }
    // The first seal that the stream tells is the one, also another's.
    const seal = ledger.getSeal(window);
    if (!seal || !lease.isHeld()) return;
    const counts = new Map(
      Object.entries(seal).map(([id, count]) => [as<AccountId>(id), count]),
    );
    const {fencingToken} = lease;
    const outcome = await duty.send(
      {tag: 'usage', window, counts},
      lease.holder,
      fencingToken,
      () => lease.isHeld() && lease.fencingToken === fencingToken,
    );
    metrics.count('vc_usage_reports', {
      outcome: outcome.ok ? 'accepted' : outcome.error.tag,
    });
    logger.info('usage report', {window, fencingToken, outcome, counts: seal});
    if (outcome.ok) await this.append({type: 'reported', window}, null);
  }
}
