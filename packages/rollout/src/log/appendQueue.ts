import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';

import type {SharedLog} from '../model/index.js';
import {getAppendBytes, splitEntry} from './entries.js';
import type {BatchOutcome} from './partitionProducer.js';
import {PartitionProducer} from './partitionProducer.js';

/** Outcome of a queued entry. */
export type AppendOutcome =
  /** The store has acknowledged the entry; the offset may be unknown. */
  | {tag: 'stored'; offset: number | null}
  /** The entry was not stored and will not be. */
  | {tag: 'not_stored'}
  /**
   * The entry is larger than the store accepts and was not sent; the sizes are
   * those of its append, bytes.
   */
  | {tag: 'too_large'; bytes: number; maxBytes: number}
  /** The store refuses the entry for good; it was not stored and will not be. */
  | {tag: 'refused'; detail: string}
  /** The entry may have been stored, or may still be. */
  | {tag: 'unknown'};

interface QueuedEntry {
  entry: Buffer;
  /** Whether its caller has an outcome and it is no longer needed. */
  isResolved: boolean;
  /** Whether the store didn't take a batch with it, so that it is sent alone. */
  isSuspect: boolean;
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

/** A batch that was sent, with the records of each entry. */
interface SentBatch {
  entries: readonly QueuedEntry[];
  chunks: readonly Buffer[][];
}

type BatchSettlers = {
  [Tag in BatchOutcome['tag']]: (
    batch: SentBatch,
    outcome: BatchOutcome & {tag: Tag},
  ) => void;
};

/**
 * Appends entries to one partition in batches. Only one append is in flight at
 * a time. An entry that the store doesn't take fails alone; those behind it
 * follow in order.
 */
export class AppendQueue {
  /** In order; includes the entries of the append in flight. */
  private queue: QueuedEntry[] = [];
  private sentEntries: readonly QueuedEntry[] = [];
  private isRunning = false;
  private isClosed = false;
  private readonly producer: PartitionProducer;

  constructor(private readonly options: AppendQueueOptions) {
    this.producer = new PartitionProducer(options);
  }

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
    const {recordBytes, callBytes, clock} = this.options;
    if (this.isClosed) return Promise.resolve({tag: 'not_stored'});
    const bytes = getAppendBytes(entry, recordBytes);
    if (bytes > callBytes) {
      this.logRefusal('too_large', {bytes, maxBytes: callBytes});
      return Promise.resolve({tag: 'too_large', bytes, maxBytes: callBytes});
    }
    return new Promise(resolve => {
      const queued: QueuedEntry = {
        entry,
        isResolved: false,
        isSuspect: false,
        resolve: outcome => {
          queued.isResolved = true;
          resolve(outcome);
        },
      };
      this.queue.push(queued);
      if (deadline !== null) clock.callAt(deadline, () => this.expire(queued));
      void this.run();
    });
  }

  /** Resolves all queued entries as `unknown` and stops appending. */
  close(): void {
    this.isClosed = true;
    this.producer.close();
    for (const queued of this.queue.splice(0)) {
      queued.resolve({tag: 'unknown'});
    }
  }

  private expire(queued: QueuedEntry): void {
    const mayBeStored =
      this.sentEntries.includes(queued) && this.producer.mayBeStored;
    if (mayBeStored) return queued.resolve({tag: 'unknown'});
    this.remove([queued]);
    queued.resolve({tag: 'not_stored'});
  }

  private remove(entries: readonly QueuedEntry[]): void {
    const removed = new Set(entries);
    this.queue = this.queue.filter(queued => !removed.has(queued));
  }

  private getNextBatch(): QueuedEntry[] {
    const {recordBytes, callBytes} = this.options;
    const [first] = this.queue;
    if (first.isSuspect) return [first];
    let bytes = 0;
    const batch: QueuedEntry[] = [];
    for (const queued of this.queue) {
      bytes += getAppendBytes(queued.entry, recordBytes);
      if (queued.isSuspect || bytes > callBytes) break;
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

  private async appendBatch(entries: QueuedEntry[]): Promise<void> {
    const {recordBytes} = this.options;
    const chunks = entries.map(q => splitEntry(q.entry, recordBytes));
    this.sentEntries = entries;
    // A batch with an entry that is no longer needed is built again without it.
    const outcome = await this.producer.append(
      chunks.flat(),
      () => !entries.some(queued => queued.isResolved),
    );
    this.sentEntries = [];
    if (this.isClosed) return;
    const settle = this.settlers[outcome.tag] as (
      batch: SentBatch,
      outcome: BatchOutcome,
    ) => void;
    settle({entries, chunks}, outcome);
  }

  private readonly settlers: BatchSettlers = {
    stored: ({entries, chunks}, outcome) => {
      this.remove(entries);
      let {offset} = outcome;
      entries.forEach((queued, index) => {
        queued.resolve({tag: 'stored', offset});
        if (offset !== null) offset += chunks[index].length;
      });
    },
    withdrawn: ({entries}) =>
      this.remove(entries.filter(queued => queued.isResolved)),
    refused: ({entries}, {detail}) => {
      if (entries.length === 1) return this.refuse(entries[0], detail);
      for (const queued of entries) queued.isSuspect = true;
    },
    failed: ({entries}, {detail}) => {
      if (entries[0].isSuspect) return this.refuse(entries[0], detail);
      for (const queued of entries) queued.isSuspect = true;
    },
    unknown: ({entries}) => {
      this.remove(entries);
      for (const queued of entries) queued.resolve({tag: 'unknown'});
    },
  };

  private refuse(queued: QueuedEntry, detail: string): void {
    this.logRefusal('refused', {detail, bytes: queued.entry.length});
    this.remove([queued]);
    queued.resolve({tag: 'refused', detail});
  }

  private logRefusal(reason: string, fields: Record<string, unknown>): void {
    const {logger, metrics, stream, partition} = this.options;
    metrics.count('vc_append_refusals', {stream, reason});
    logger.error('an entry can not be stored', {
      stream,
      partition,
      reason,
      ...fields,
    });
  }
}
