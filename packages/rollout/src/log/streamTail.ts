import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {LogFailure, SharedLog, StoredRecord} from '../model/index.js';
import {EntryAssembler} from './entries.js';
import {LongPollReader} from './longPollReader.js';
import {applyOrSkip} from './recordFault.js';
import type {StoreHealth} from './storeHealth.js';

/** Delay before a failed read is retried, ms. */
const RETRY_MS = 150;
/** Maximum number of reads to catch up with a partition. */
const MAX_CATCH_UP_PAGES = 4;

export interface StreamTailOptions {
  log: SharedLog;
  stream: string;
  partition: number;
  /** Returns for how long the store waits for records before it answers, ms. */
  getWaitMs: () => number;
  /** Returns the pause after a read that reached the partition's end, ms. */
  getPauseMs: () => number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  health: StoreHealth;
  onEntry: (entry: Buffer, offset: number) => void;
  /** Called when records expired before they were read. */
  onGap?: () => void;
}

/** Follows one partition, starting at its oldest retained record. */
export class StreamTail {
  /** Offset of the next record to apply. */
  nextOffset = 0;
  /**
   * Time at which the last read that reached the end of the partition was sent;
   * null before the first.
   */
  confirmedAt: MonotonicMs | null = null;
  private readonly assembler = new EntryAssembler();
  private readonly stopController = new AbortController();
  private readonly longPoll: LongPollReader;
  private caughtUpResolvers: Array<() => void> = [];
  private endPause: () => void = () => undefined;
  private isStarted = false;
  private watcherCount = 0;

  constructor(private readonly options: StreamTailOptions) {
    this.longPoll = new LongPollReader(
      options.health,
      this.stopController.signal,
    );
  }

  /** Follows the partition from now on; has no effect if it is followed. */
  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
  }

  /**
   * Reads without long polling, a few pages at most. Returns whether every
   * record that the store had when the last read was sent has been applied.
   */
  async catchUp(): Promise<boolean> {
    for (let page = 0; page < MAX_CATCH_UP_PAGES; page++) {
      const sentAt = this.options.clock.now();
      const outcome = await this.read(0);
      if (!outcome.ok) return false;
      this.apply(outcome.value.records);
      if (this.nextOffset < outcome.value.end) continue;
      this.confirm(sentAt);
      return true;
    }
    return false;
  }

  /** Follows without pauses until the returned function is called. */
  watch(): () => void {
    this.start();
    this.watcherCount++;
    this.endPause();
    return () => this.watcherCount--;
  }

  /** Ends a pause between two reads. */
  hurry(): void {
    this.endPause();
  }

  /** Reads anew, as a held read may be on a connection that went silent. */
  restart(): void {
    this.endPause();
    this.longPoll.abort();
  }

  /** Resolves after the first read that reached the end of the partition. */
  whenCaughtUp(): Promise<void> {
    if (this.confirmedAt !== null) return Promise.resolve();
    return new Promise(resolve => this.caughtUpResolvers.push(resolve));
  }

  private confirm(at: MonotonicMs): void {
    if (this.confirmedAt !== null && this.confirmedAt >= at) return;
    this.confirmedAt = at;
    for (const resolve of this.caughtUpResolvers.splice(0)) resolve();
  }

  private async run(): Promise<void> {
    const {clock, health} = this.options;
    while (!this.stopController.signal.aborted) {
      const sentAt = clock.now();
      const outcome = await this.longPoll.send(
        this.confirmedAt === null ? 0 : this.options.getWaitMs(),
        (waitMs, signal) => this.read(waitMs, signal),
      );
      if (this.stopController.signal.aborted) return;
      if (!outcome) continue;
      let delayMs = this.watcherCount > 0 ? 0 : this.options.getPauseMs();
      if (outcome.ok) {
        health.recordSuccess();
        this.apply(outcome.value.records);
        if (this.nextOffset >= outcome.value.end) this.confirm(sentAt);
        else delayMs = 0;
      } else {
        this.handleFailure(outcome.error);
        delayMs = RETRY_MS;
      }
      if (delayMs > 0) await this.pause(getDeadline(clock.now(), delayMs));
    }
  }

  private async pause(deadline: MonotonicMs): Promise<void> {
    const pause = new AbortController();
    this.endPause = () => pause.abort();
    await this.options.clock.waitUntil(deadline, pause.signal);
  }

  private read(waitMs: number, signal?: AbortSignal) {
    const {log, stream, partition} = this.options;
    return log.read({stream, partition, from: this.nextOffset, waitMs, signal});
  }

  private handleFailure(failure: LogFailure): void {
    const {logger, metrics, stream, partition, health} = this.options;
    if (failure.tag === 'trimmed') {
      logger.warn('records expired before they were read', {
        stream,
        partition,
        next: this.nextOffset,
        first: failure.first,
      });
      this.nextOffset = Math.max(this.nextOffset, failure.first);
      this.assembler.reset();
      this.options.onGap?.();
      return;
    }
    metrics.count('vc_read_failures', {stream, reason: failure.tag});
    health.recordFailure(`${stream}: ${failure.tag}`);
  }

  private apply(records: readonly StoredRecord[]): void {
    for (const record of records) {
      // A concurrent read may already have applied this record.
      if (record.offset !== this.nextOffset) continue;
      this.nextOffset = record.offset + 1;
      const entry = this.assembler.push(record.bytes);
      if (!entry) continue;
      const {options} = this;
      const {offset} = record;
      applyOrSkip(options, offset, () => options.onEntry(entry, offset));
    }
  }
}
