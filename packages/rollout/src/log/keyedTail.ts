import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getClockOffset, getDeadline} from '@vanillacross/common';

import type {KeyedRecord, SharedLog} from '../model/index.js';
import {LongPollReader} from './longPollReader.js';
import {applyOrSkip} from './recordFault.js';
import type {StoreHealth} from './storeHealth.js';

/** Delay before a failed read is retried, ms. */
const RETRY_MS = 150;
/** All keys of a keyed stream are in this partition. */
const PARTITION = 0;

export interface KeyedTailOptions {
  log: SharedLog;
  stream: string;
  /** Time for which the store waits for records before it answers, ms. */
  waitMs: number;
  /** Pause after a successful read, ms. */
  pauseMs: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  health: StoreHealth;
  onRecord: (record: KeyedRecord) => void;
  /**
   * Called when every record up to the end of the stream has been applied.
   * `at` is the time at which the read was sent, and `clockOffsetMs` is how far
   * the wall clock was ahead of the monotonic clock at that time.
   */
  onConfirmed?: (at: MonotonicMs, clockOffsetMs: number) => void;
}

/**
 * Follows a stream that retains only the newest value of each key. If unread
 * records have expired, it restarts from the newest values and reports keys
 * that are missing there as deleted.
 */
export class KeyedTail {
  /**
   * Offset of the next record to read; null if the newest values have to be read
   * first.
   */
  private next: number | null = null;
  /** Offset of the last applied value of each key that is not deleted. */
  private readonly appliedOffsets = new Map<string, number>();
  private readonly stopController = new AbortController();
  private readonly longPoll: LongPollReader;
  /**
   * Time at which the last read that reached the end of the stream was sent; null
   * before the first.
   */
  confirmedAt: MonotonicMs | null = null;

  constructor(private readonly options: KeyedTailOptions) {
    this.longPoll = new LongPollReader(
      options.health,
      this.stopController.signal,
    );
  }

  /** Offset up to which the stream has been read; 0 before the first read. */
  get end(): number {
    return this.next ?? 0;
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.stopController.signal.aborted) {
      const isSuccess =
        this.next === null
          ? await this.readNewestValues()
          : await this.readNextRecords();
      const delayMs = isSuccess ? this.options.pauseMs : RETRY_MS;
      if (delayMs > 0) await clock.waitUntil(getDeadline(clock.now(), delayMs));
    }
  }

  private async readNewestValues(): Promise<boolean> {
    const {log, stream, clock, health, logger} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const outcome = await log.readNewest(stream, PARTITION);
    if (!outcome.ok) {
      this.handleFailure(outcome.error.tag);
      return false;
    }
    health.recordSuccess();
    const {records, end} = outcome.value;
    const keys = new Set(records.map(record => record.key));
    for (const key of [...this.appliedOffsets.keys()]) {
      if (!keys.has(key)) this.apply({offset: end, key, value: null});
    }
    for (const record of records) this.apply(record);
    this.next = end;
    logger.info('newest values read', {stream, end, keys: keys.size});
    this.confirm(sentAt, offsetMs);
    return true;
  }

  private async readNextRecords(): Promise<boolean> {
    const {log, stream, waitMs, clock, health, logger} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const from = this.next ?? 0;
    const outcome = await this.longPoll.send(waitMs, (pollMs, signal) =>
      log.readKeyed({
        stream,
        partition: PARTITION,
        from,
        waitMs: pollMs,
        signal,
      }),
    );
    if (!outcome) return true;
    if (!outcome.ok) {
      if (outcome.error.tag === 'trimmed') {
        logger.warn('records expired before they were read', {stream, from});
        this.next = null;
        return true;
      }
      this.handleFailure(outcome.error.tag);
      return false;
    }
    health.recordSuccess();
    for (const record of outcome.value.records) {
      this.apply(record);
      this.next = record.offset + 1;
    }
    if ((this.next ?? 0) >= outcome.value.end) this.confirm(sentAt, offsetMs);
    return true;
  }

  private handleFailure(reason: string): void {
    const {metrics, stream, health} = this.options;
    metrics.count('vc_read_failures', {stream, reason});
    health.recordFailure(`${stream}: ${reason}`);
  }

  private confirm(at: MonotonicMs, clockOffsetMs: number): void {
    this.confirmedAt = at;
    this.options.onConfirmed?.(at, clockOffsetMs);
  }

  private apply(record: KeyedRecord): void {
    // Skips values that were applied before and are read again after a restart.
    // A deletion is always applied.
    const latest = this.appliedOffsets.get(record.key);
    if (latest !== undefined && latest >= record.offset && record.value) return;
    if (record.value) this.appliedOffsets.set(record.key, record.offset);
    else this.appliedOffsets.delete(record.key);
    const {options} = this;
    applyOrSkip(options, record.offset, () => options.onRecord(record));
  }
}
