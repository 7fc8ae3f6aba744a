import type {
  AccountId,
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
} from '@vanillacross/common';
import {toBranded, getDeadline} from '@vanillacross/common';

import type {AppendOutcome, AppendQueue} from '../log/index.js';
import type {LeaseHolderClient} from '../model/index.js';
import type {ControlRecord} from './controlRecords.js';
import {encodeControlRecord} from './controlRecords.js';
import type {LeaseTask} from './leaseTask.js';
import type {TimeConsensus} from './timeConsensus.js';
import type {UsageLedger} from './usageLedger.js';

/** Interval at which counts are published and windows are checked, ms. */
const POLL_INTERVAL_MS = 500;
/** Delay between the end of a window and its seal, ms. */
const SEAL_DELAY_MS = 2_500;
/** Time within which the store must acknowledge a seal, ms. */
const SEAL_TIMEOUT_MS = 3_000;
/** Number of windows before the current one that may still be reported. */
const REPORTABLE_WINDOWS = 4;
/** Number of windows whose counts are kept for publishing. */
const RETAINED_WINDOWS = 6;

export interface UsageTaskOptions {
  /** Unique for each start of the process. */
  processId: string;
  windowMs: number;
  /**
   * Time after a window's end at which a report is no longer useful, ms. Not
   * used by this task, which reports the last `REPORTABLE_WINDOWS` windows.
   */
  maxReportDelayMs: number;
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
 * Counts the requests that upstreams executed or may have executed and
 * publishes the counts to all processes. Before the lease holder reports a
 * window, it appends the window's final totals (the seal) to the control
 * stream.
 */
export class UsageTask {
  private readonly counts = new Map<number, Map<string, number>>();
  private readonly unpublished = new Set<number>();
  private readonly reporting = new Set<number>();
  private readonly startWindow: number;
  private isStopped = false;

  constructor(private readonly options: UsageTaskOptions) {
    this.startWindow = this.getWindow(options.time.now());
  }

  start(): void {
    void this.run();
  }

  /** Stops and publishes the last counts. */
  stop(): void {
    this.isStopped = true;
    this.publishCounts();
  }

  /** Stops without publishing the last counts. */
  halt(): void {
    this.isStopped = true;
  }

  /** Counts a request that an upstream executed or may have executed. */
  countRequest(account: AccountId | null): void {
    if (account === null) return;
    const window = this.getWindow(this.options.time.now());
    const counts = this.counts.get(window) ?? new Map<string, number>();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.counts.set(window, counts);
    this.unpublished.add(window);
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
      this.publishCounts();
      if (lease.isHeld()) this.reportEndedWindows();
      await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
    }
  }

  private publishCounts(): void {
    for (const window of this.unpublished) {
      const counts = Object.fromEntries(this.counts.get(window) ?? []);
      const {processId} = this.options;
      const wallMs = this.options.clock.wallNow();
      void this.append(
        {type: 'usage', process: processId, wallMs, window, counts},
        null,
      );
    }
    this.unpublished.clear();
    for (const window of this.counts.keys()) {
      if (this.counts.size <= RETAINED_WINDOWS) break;
      this.counts.delete(window);
    }
  }

  private reportEndedWindows(): void {
    const {time, windowMs, ledger} = this.options;
    const now = time.now();
    const current = this.getWindow(now);
    const first = Math.max(this.startWindow, current - REPORTABLE_WINDOWS);
    for (let window = first; window < current; window++) {
      const endedMs = now - (window + 1) * windowMs;
      if (endedMs < SEAL_DELAY_MS || ledger.isReported(window)) continue;
      if (this.reporting.has(window)) continue;
      this.reporting.add(window);
      void this.report(window).finally(() => this.reporting.delete(window));
    }
  }

  private async report(window: number): Promise<void> {
    const {clock, ledger, lease, leaseHolderClient, logger, metrics} =
      this.options;
    if (!ledger.getSeal(window)) {
      const counts = {...ledger.getTotal(window)};
      const deadline = getDeadline(clock.now(), SEAL_TIMEOUT_MS);
      await this.append({type: 'seal', window, counts}, deadline);
    }
    // The first seal in the stream is final, even if another process wrote it.
    const seal = ledger.getSeal(window);
    if (!seal || !lease.isHeld()) return;
    const counts = new Map(
      Object.entries(seal).map(([id, count]) => [
        toBranded<AccountId>(id),
        count,
      ]),
    );
    const {fencingToken} = lease;
    const outcome = await leaseHolderClient.send(
      {tag: 'usage', window, counts},
      lease.holder,
      fencingToken,
      () => lease.isHeld() && lease.fencingToken === fencingToken,
    );
    metrics.count('vc_usage_reports', {
      outcome: outcome.ok ? 'accepted' : outcome.error.tag,
    });
    logger.info('usage report attempted', {
      window,
      fencingToken,
      outcome,
      counts: seal,
    });
    if (outcome.ok) await this.append({type: 'reported', window}, null);
  }
}
