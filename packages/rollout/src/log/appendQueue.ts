import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {LogFailure, SharedLog} from '../model/index.js';
import {splitEntry} from './entries.js';

/** Outcome of an entry that was handed to the queue. */
export type AppendOutcome =
  /** The store has acknowledged it; the offset may be unknown. */
  | {tag: 'stored'; offset: number | null}
  /** It was not stored and will not be. */
  | {tag: 'not_stored'}
  /** It may have been stored, or may be later. */
  | {tag: 'unknown'};

interface QueuedEntry {
  entry: Buffer;
  /** After that the entry is withdrawn if it was never sent; null: never. */
  deadline: MonotonicMs | null;
  wasSent: boolean;
  resolve: (outcome: AppendOutcome) => void;
}

export interface AppendQueueOptions {
  log: SharedLog;
  stream: string;
  partition: number;
  /** Differs for each process and start. */
  producerId: string;
  /** Largest record that the store takes, bytes. */
  recordBytes: number;
  /** Most bytes of one append. */
  callBytes: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Time after which an append without an answer is repeated, ms. */
const APPEND_TIMEOUT_MS = 900;
/** First wait before an append is repeated, ms; doubled up to the longest. */
const RETRY_BASE_MS = 60;
const RETRY_MAX_MS = 300;

/**
 * Appends entries to one partition, several in one call. One call is under way
 * at a time; it is repeated under the same sequence number until the store
 * answers, so that a lost or late answer doubles nothing.
 */
export class AppendQueue {
  private waiting: QueuedEntry[] = [];
  private sequence = 0;
  private isRunning = false;
  private isClosed = false;

  constructor(private readonly options: AppendQueueOptions) {}

  /** Entries that the store has not acknowledged. */
  get size(): number {
    return this.waiting.length;
  }

  /**
   * Appends an entry. With a deadline the promise settles by then: an entry
   * that was never sent is withdrawn, any other is `unknown` and goes on.
   */
  append(entry: Buffer, deadline: MonotonicMs | null): Promise<AppendOutcome> {
    return new Promise(resolve => {
      const queued = {entry, deadline, wasSent: false, resolve};
      this.waiting.push(queued);
      if (deadline !== null) {
        this.options.clock.callAt(deadline, () => this.expire(queued));
      }
      void this.run();
    });
  }

  /** Withdraws what waits; nothing more is appended. */
  close(): void {
    this.isClosed = true;
    for (const queued of this.waiting.splice(0)) {
      queued.resolve({tag: 'unknown'});
    }
  }

  private expire(queued: QueuedEntry): void {
    if (queued.wasSent) return queued.resolve({tag: 'unknown'});
    this.waiting = this.waiting.filter(other => other !== queued);
    queued.resolve({tag: 'not_stored'});
  }

  private takeBatch(): QueuedEntry[] {
    let bytes = 0;
    const batch: QueuedEntry[] = [];
    for (const queued of this.waiting) {
      bytes += queued.entry.length + 64;
      if (batch.length > 0 && bytes > this.options.callBytes) break;
      batch.push(queued);
    }
    return batch;
  }

  private async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.waiting.length > 0) await this.appendBatch(this.takeBatch());
    this.isRunning = false;
  }

  private async appendBatch(batch: QueuedEntry[]): Promise<void> {
    const {log, stream, partition, recordBytes, clock, metrics} = this.options;
    const parts = batch.map(q => splitEntry(q.entry, recordBytes));
    const records = parts.flat();
    let hasUnknown = false;
    for (let attempt = 0; ; attempt++) {
      // An expired entry may leave a batch only while no part of it was sent.
      const live = hasUnknown ? batch : batch.filter(q => this.isQueued(q));
      if (live.length === 0) return;
      if (live.length < batch.length) return;
      for (const queued of batch) queued.wasSent = true;
      const outcome = await log.append({
        stream,
        partition,
        records,
        producer: {
          id: this.options.producerId,
          epoch: 1,
          sequence: this.sequence,
        },
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (this.isClosed) return;
      if (outcome.ok) return this.settle(batch, parts, outcome.value.offset);
      metrics.count('vc_append_retries', {stream, reason: outcome.error.tag});
      if (this.isRepeatStored(outcome.error, hasUnknown)) {
        return this.settle(batch, parts, null);
      }
      this.logRetry(outcome.error, batch.length, attempt);
      if (outcome.error.tag === 'out_of_sequence') {
        this.sequence = outcome.error.expected;
      }
      hasUnknown ||= outcome.error.tag === 'unknown';
      if (!hasUnknown) for (const queued of batch) queued.wasSent = false;
      const waitMs = Math.min(RETRY_BASE_MS * 2 ** attempt, RETRY_MAX_MS);
      await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  /** A repeat that finds its own sequence number taken was stored before. */
  private isRepeatStored(failure: LogFailure, hasUnknown: boolean): boolean {
    return (
      failure.tag === 'out_of_sequence' &&
      hasUnknown &&
      failure.expected > this.sequence
    );
  }

  private isQueued(queued: QueuedEntry): boolean {
    return this.waiting.includes(queued);
  }

  private settle(
    batch: QueuedEntry[],
    parts: Buffer[][],
    offset: number | null,
  ): void {
    this.sequence++;
    const settled = new Set(batch);
    this.waiting = this.waiting.filter(queued => !settled.has(queued));
    let next = offset;
    batch.forEach((queued, index) => {
      queued.resolve({tag: 'stored', offset: next});
      if (next !== null) next += parts[index].length;
    });
  }

  private logRetry(failure: LogFailure, entries: number, attempt: number) {
    const {logger, stream, partition} = this.options;
    logger.warn('append is repeated', {
      stream,
      partition,
      entries,
      attempt,
      sequence: this.sequence,
      failure,
    });
  }
}
