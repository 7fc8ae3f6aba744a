import type {Logger, Metrics} from '@vanillacross/common';

import type {SharedLog, TextLocation} from '../model/index.js';
import type {AppendQueue} from './appendQueue.js';
import {EntryAssembler} from './entries.js';

/** Texts that this process holds, bytes. */
const MAX_CACHED_BYTES = 16 * 1024 * 1024;
/** Size of one read; texts that were stored together come together, KB. */
const READ_KB = 128;
const BYTES_PER_KB = 1_024;

export interface TextStoreOptions {
  log: SharedLog;
  stream: string;
  queues: readonly AppendQueue[];
  logger: Logger;
  metrics: Metrics;
}

/**
 * Texts in the shared log. Other streams name them by their place, so that a
 * process reads only the texts that it is asked for.
 */
export class TextStore {
  private readonly cache = new Map<string, Buffer>();
  private readonly reads = new Map<string, Promise<Buffer | null>>();
  /** The newest read of each partition; one is under way at a time. */
  private readonly turns = new Map<number, Promise<unknown>>();
  /** Failed reads of each partition. */
  private readonly failures = new Map<number, number>();
  private cachedBytes = 0;

  constructor(private readonly options: TextStoreOptions) {}

  /** Stores a text, however long that takes; null only at the end. */
  async put(partition: number, text: Buffer): Promise<TextLocation | null> {
    for (;;) {
      const queue = this.options.queues[partition];
      const outcome = await queue.append(text, null);
      if (outcome.tag !== 'stored') return null;
      // After some lost answers the place is not known.
      if (outcome.offset === null) continue;
      const place = {partition, offset: outcome.offset, bytes: text.length};
      this.keep(place, text);
      return place;
    }
  }

  /** Reads a text; null if the store does not give it now. */
  get(place: TextLocation): Promise<Buffer | null> {
    const key = getKey(place);
    const cached = this.cache.get(key);
    if (cached) return Promise.resolve(cached);
    const running = this.reads.get(key);
    if (running) return running;
    const read = this.readInTurn(place).finally(() => this.reads.delete(key));
    this.reads.set(key, read);
    return read;
  }

  /**
   * Waits for the reads of the partition before, which often bring this text
   * too. After one of them has failed the store is not asked once for each.
   */
  private readInTurn(place: TextLocation): Promise<Buffer | null> {
    const {partition} = place;
    const before = this.turns.get(partition) ?? Promise.resolve();
    const failures = this.getFailures(partition);
    const turn = before.then(() => {
      const cached = this.cache.get(getKey(place));
      if (cached) return cached;
      return this.getFailures(partition) === failures ? this.read(place) : null;
    });
    this.turns.set(partition, turn);
    return turn;
  }

  private getFailures(partition: number): number {
    return this.failures.get(partition) ?? 0;
  }

  private async read(place: TextLocation): Promise<Buffer | null> {
    const {log, stream, logger, metrics} = this.options;
    const {partition, offset, bytes} = place;
    const outcome = await log.read({
      stream,
      partition,
      from: offset,
      waitMs: 0,
      maxKb: Math.max(READ_KB, Math.ceil((bytes * 2) / BYTES_PER_KB)),
    });
    if (!outcome.ok) {
      logger.warn('text was not read', {...place, failure: outcome.error});
      metrics.count('vc_text_read_failures', {reason: outcome.error.tag});
      this.failures.set(partition, this.getFailures(partition) + 1);
      return null;
    }
    metrics.count('vc_text_reads');
    const assembly = new EntryAssembler();
    let start = offset;
    for (const record of outcome.value.records) {
      const entry = assembly.push(record.bytes);
      if (!entry) continue;
      const next = {partition, offset: start, bytes: entry.length};
      this.keep(next, Buffer.from(entry));
      start = record.offset + 1;
    }
    return this.cache.get(getKey(place)) ?? null;
  }

  private keep(place: TextLocation, text: Buffer): void {
    const key = getKey(place);
    if (this.cache.has(key)) return;
    this.cache.set(key, text);
    this.cachedBytes += text.length;
    for (const [oldest, old] of this.cache) {
      if (this.cachedBytes <= MAX_CACHED_BYTES || oldest === key) break;
      this.cache.delete(oldest);
      this.cachedBytes -= old.length;
    }
  }
}

function getKey(place: TextLocation): string {
  return `${place.partition}/${place.offset}`;
}
