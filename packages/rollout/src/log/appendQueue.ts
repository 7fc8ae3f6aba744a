import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {LogFailure, SharedLog} from '../model/index.js';
import {splitEntry} from './entries.js';

/** Outcome of a queued entry. */
export type AppendOutcome =
  /** The store has acknowledged the entry; the offset may be unknown. */
  | {tag: 'stored'; offset: number | null}
  /** The entry was not stored and will not be. */
  | {tag: 'not_stored'}
  /** The entry may have been stored, or may still be. */
  | {tag: 'unknown'};

interface QueuedEntry {
  entry: Buffer;
  /** Time at which the caller stops waiting; null waits indefinitely. */
  deadline: MonotonicMs | null;
  /**
   * Whether the entry may have been stored: an append with it is in flight or
   * had an unknown outcome.
   */
  mayBeStored: boolean;
  resolve: (outcome: AppendOutcome) => void;
}

export interface AppendQueueOptions {
  log: SharedLog;
  stream: string;
  partition: number;
  /** Unique for each start of a process. */
  producerId: string;
  /** Maximum size of a record that the store accepts, bytes. */
  recordBytes: number;
  /** Maximum size of one append, bytes. */
  callBytes: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Time without a response after which an append is retried, ms. */
const APPEND_TIMEOUT_MS = 900;
/** Initial delay before a retry, ms; doubles with each retry. */
const RETRY_BASE_MS = 60;
/** Maximum delay before a retry, ms. */
const RETRY_MAX_MS = 300;

function mayHaveTakenEffect({tag}: LogFailure): boolean {
  return tag === 'unknown' || tag === 'failed';
}

/**
 * Appends entries to one partition in batches. Only one append is in flight at
 * a time. It is retried under the same sequence number until the store answers,
 * so that the store discards duplicates after a lost or late response.
 */
export class AppendQueue {
  /** In order; includes the entries of the append in flight. */
  private queue: QueuedEntry[] = [];
  private sequence = 0;
  private isRunning = false;
  private isClosed = false;

  constructor(private readonly options: AppendQueueOptions) {}

  /** Number of entries that the store has not acknowledged yet. */
  get size(): number {
    return this.queue.length;
  }

  /**
   * Appends an entry. At the deadline, an entry that can't have been stored is
   * removed from the queue and resolves as `not_stored`. Any other entry resolves
   * as `unknown`, but its append is still retried.
   */
  append(entry: Buffer, deadline: MonotonicMs | null): Promise<AppendOutcome> {
    if (this.isClosed) return Promise.resolve({tag: 'not_stored'});
    return new Promise(resolve => {
      const queued = {entry, deadline, mayBeStored: false, resolve};
      this.queue.push(queued);
      if (deadline !== null) {
        this.options.clock.callAt(deadline, () => this.expire(queued));
      }
      void this.run();
    });
  }

  /** Resolves all queued entries as `unknown` and stops appending. */
  close(): void {
    this.isClosed = true;
    for (const queued of this.queue.splice(0)) {
      queued.resolve({tag: 'unknown'});
    }
  }

  private expire(queued: QueuedEntry): void {
    if (queued.mayBeStored) return queued.resolve({tag: 'unknown'});
    this.queue = this.queue.filter(other => other !== queued);
    queued.resolve({tag: 'not_stored'});
  }

  private getNextBatch(): QueuedEntry[] {
    let bytes = 0;
    const batch: QueuedEntry[] = [];
    for (const queued of this.queue) {
      // Adds an allowance for the encoding of the entry in the append.
      bytes += queued.entry.length + 64;
      if (batch.length > 0 && bytes > this.options.callBytes) break;
      batch.push(queued);
    }
    return batch;
  }

  private async run(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    while (this.queue.length > 0) await this.appendBatch(this.getNextBatch());
    this.isRunning = false;
  }

  private async appendBatch(batch: QueuedEntry[]): Promise<void> {
    const {log, stream, partition, recordBytes, clock, metrics} = this.options;
    const chunks = batch.map(q => splitEntry(q.entry, recordBytes));
    const records = chunks.flat();
    // Whether an attempt had an unknown outcome.
    let isUncertain = false;
    for (let attempt = 0; ; attempt++) {
      // An expired entry invalidates the batch, which is then rebuilt without it.
      // Once the batch may have been stored, it must be retried unchanged.
      const stillQueued = isUncertain
        ? batch
        : batch.filter(q => this.isQueued(q));
      if (stillQueued.length === 0) return;
      if (stillQueued.length < batch.length) return;
      for (const queued of batch) queued.mayBeStored = true;
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
      if (outcome.ok) return this.settle(batch, chunks, outcome.value.offset);
      metrics.count('vc_append_retries', {stream, reason: outcome.error.tag});
      if (this.wasStoredEarlier(outcome.error, isUncertain)) {
        return this.settle(batch, chunks, null);
      }
      this.logRetry(outcome.error, batch.length, attempt);
      if (outcome.error.tag === 'out_of_sequence') {
        this.sequence = outcome.error.expected;
      }
      isUncertain ||= mayHaveTakenEffect(outcome.error);
      if (!isUncertain) for (const queued of batch) queued.mayBeStored = false;
      const waitMs = Math.min(RETRY_BASE_MS * 2 ** attempt, RETRY_MAX_MS);
      await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  /**
   * Whether an earlier attempt of unknown outcome was stored: the store now
   * expects a higher sequence number.
   */
  private wasStoredEarlier(failure: LogFailure, isUncertain: boolean): boolean {
    return (
      failure.tag === 'out_of_sequence' &&
      isUncertain &&
      failure.expected > this.sequence
    );
  }

  private isQueued(queued: QueuedEntry): boolean {
    return this.queue.includes(queued);
  }

  private settle(
    batch: QueuedEntry[],
    chunks: Buffer[][],
    offset: number | null,
  ): void {
    this.sequence++;
    const settled = new Set(batch);
    this.queue = this.queue.filter(queued => !settled.has(queued));
    let nextOffset = offset;
    batch.forEach((queued, index) => {
      queued.resolve({tag: 'stored', offset: nextOffset});
      if (nextOffset !== null) nextOffset += chunks[index].length;
    });
  }

  private logRetry(failure: LogFailure, entries: number, attempt: number) {
    const {logger, stream, partition} = this.options;
    logger.warn('append failed, retrying', {
      stream,
      partition,
      entries,
      attempt,
      sequence: this.sequence,
      failure,
    });
  }
}
