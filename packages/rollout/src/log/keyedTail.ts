import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getClockOffset, getDeadline} from '@vanillacross/common';

import type {KeyedRecord, SharedLog} from '../model/index.js';
import {LongPollReader} from './longPollReader.js';
import type {StoreHealth} from './storeHealth.js';

/** Wait after a failed read, ms. */
const RETRY_MS = 150;
/** Partition that holds all keys of a keyed stream. */
const PARTITION = 0;

export interface KeyedTailOptions {
  log: SharedLog;
  stream: string;
  waitMs: number;
  pauseMs: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  health: StoreHealth;
  onRecord: (record: KeyedRecord) => void;
  /** Called after a read that was applied to its end. */
  onConfirmed?: (at: MonotonicMs, clockOffsetMs: number) => void;
}

/**
 * Follows a stream that keeps the newest value of each key. After records
 * have expired it starts from the newest values again; keys that are missing
 * there are reported as removed.
 */
export class KeyedTail {
  private next: number | null = null;
  private readonly offsets = new Map<string, number>();
  private readonly stopping = new AbortController();
  private readonly heldRead: LongPollReader;
  /** When the newest read that reached the end was sent. */
  confirmedAt: MonotonicMs | null = null;

  constructor(private readonly options: KeyedTailOptions) {
    this.heldRead = new LongPollReader(options.health, this.stopping.signal);
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.stopping.signal.aborted) {
      const isDone =
        this.next === null ? await this.restart() : await this.follow();
      const waitMs = isDone ? this.options.pauseMs : RETRY_MS;
      if (waitMs > 0) await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  private async restart(): Promise<boolean> {
    const {log, stream, clock, health, logger} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const outcome = await log.readNewest(stream, PARTITION);
    if (!outcome.ok) {
      this.noteFailure(outcome.error.tag);
      return false;
    }
    health.recordSuccess();
    const {records, end} = outcome.value;
    const keys = new Set(records.map(record => record.key));
    for (const key of [...this.offsets.keys()]) {
      if (!keys.has(key)) this.apply({offset: end, key, value: null});
    }
    for (const record of records) this.apply(record);
    this.next = end;
    logger.info('newest values were read', {stream, end, keys: keys.size});
    this.confirm(sentAt, offsetMs);
    return true;
  }

  private async follow(): Promise<boolean> {
    const {log, stream, waitMs, clock, health, logger} = this.options;
    const sentAt = clock.now();
    const offsetMs = getClockOffset(clock);
    const from = this.next ?? 0;
    const outcome = await this.heldRead.send(waitMs, (heldMs, signal) =>
      log.readKeyed({
        stream,
        partition: PARTITION,
        from,
        waitMs: heldMs,
        signal,
      }),
    );
    if (!outcome) return true;
    if (!outcome.ok) {
      if (outcome.error.tag === 'trimmed') {
        logger.warn('records expired unread', {stream, from});
        this.next = null;
        return true;
      }
      this.noteFailure(outcome.error.tag);
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

  private noteFailure(reason: string): void {
    const {metrics, stream, health} = this.options;
    metrics.count('vc_read_failures', {stream, reason});
    health.recordFailure(`${stream}: ${reason}`);
  }

  private confirm(at: MonotonicMs, clockOffsetMs: number): void {
    this.confirmedAt = at;
    this.options.onConfirmed?.(at, clockOffsetMs);
  }

  private apply(record: KeyedRecord): void {
    const known = this.offsets.get(record.key);
    if (known !== undefined && known >= record.offset && record.value) return;
    if (record.value) this.offsets.set(record.key, record.offset);
    else this.offsets.delete(record.key);
    this.options.onRecord(record);
  }
}
