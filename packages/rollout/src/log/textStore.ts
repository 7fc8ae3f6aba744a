import type {Clock, Logger, Metrics} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {SharedLog, TextLocation} from '../model/index.js';
import type {AppendQueue} from './appendQueue.js';
import {EntryAssembler} from './entries.js';

/** Delay before a text that the store refused is stored again, ms. */
const REFUSED_RETRY_MS = 1_000;
/** Maximum total size of the cached texts, bytes. */
const MAX_CACHED_BYTES = 16 * 1024 * 1024;
/**
 * Minimum size limit of a read, KB; a read of this size usually covers texts that
 * were stored together.
 */
const MIN_READ_KB = 128;
const BYTES_PER_KB = 1_024;

export interface TextStoreOptions {
  log: SharedLog;
  stream: string;
  queues: readonly AppendQueue[];
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Stores texts in the shared log. Other streams refer to a text by its location,
 * so that a process reads only the texts that it needs.
 */
export class TextStore {
  private readonly cache = new Map<string, Buffer>();
  private readonly pendingReads = new Map<string, Promise<Buffer | null>>();
  /**
   * The last queued read of each partition; only one is in flight at a time.
   */
  private readonly lastReads = new Map<number, Promise<unknown>>();
  /** Number of failed reads of each partition. */
  private readonly failureCounts = new Map<number, number>();
  private cachedBytes = 0;

  constructor(private readonly options: TextStoreOptions) {}

  /**
   * Stores a text and retries until the queue is closed. Returns null if the text
   * was not stored.
   *
   * @param isWanted Whether to retry although the store refuses the text.
   */
  async put(
    partition: number,
    text: Buffer,
    isWanted: () => boolean,
  ): Promise<TextLocation | null> {
    const {queues, clock} = this.options;
    for (;;) {
      const outcome = await queues[partition].append(text, null);
      if (outcome.tag === 'not_stored' || outcome.tag === 'too_large') {
        return null;
      }
      if (outcome.tag === 'stored' && outcome.offset !== null) {
        const {offset} = outcome;
        const location = {partition, offset, bytes: text.length};
        this.addToCache(location, text);
        return location;
      }
      // Where its location is unknown, a new copy of the text is stored.
      if (outcome.tag !== 'refused') continue;
      if (!isWanted()) return null;
      await clock.waitUntil(getDeadline(clock.now(), REFUSED_RETRY_MS));
      if (!isWanted()) return null;
    }
  }

  /** Reads a text; null if it can't be read now. */
  get(location: TextLocation): Promise<Buffer | null> {
    const key = getCacheKey(location);
    const cached = this.cache.get(key);
    if (cached) return Promise.resolve(cached);
    const pendingRead = this.pendingReads.get(key);
    if (pendingRead) return pendingRead;
    const read = this.readInOrder(location).finally(() =>
      this.pendingReads.delete(key),
    );
    this.pendingReads.set(key, read);
    return read;
  }

  /**
   * Waits for earlier reads of the partition, which often return this text as
   * well. If one of them fails, this read fails too, so that an outage costs one
   * timeout instead of one for each queued read.
   */
  private readInOrder(location: TextLocation): Promise<Buffer | null> {
    const {partition} = location;
    const previousRead = this.lastReads.get(partition) ?? Promise.resolve();
    const failureCount = this.getFailureCount(partition);
    const queuedRead = previousRead.then(() => {
      const cached = this.cache.get(getCacheKey(location));
      if (cached) return cached;
      return this.getFailureCount(partition) === failureCount
        ? this.read(location)
        : null;
    });
    this.lastReads.set(partition, queuedRead);
    return queuedRead;
  }

  private getFailureCount(partition: number): number {
    return this.failureCounts.get(partition) ?? 0;
  }

  private async read(location: TextLocation): Promise<Buffer | null> {
    const {log, stream, logger, metrics} = this.options;
    const {partition, offset, bytes} = location;
    const outcome = await log.read({
      stream,
      partition,
      from: offset,
      waitMs: 0,
      // Twice the size of the text leaves room for the encoding of its records.
      maxKb: Math.max(MIN_READ_KB, Math.ceil((bytes * 2) / BYTES_PER_KB)),
    });
    if (!outcome.ok) {
      logger.warn('reading a text failed', {
        ...location,
        failure: outcome.error,
      });
      metrics.count('vc_text_read_failures', {reason: outcome.error.tag});
      this.failureCounts.set(partition, this.getFailureCount(partition) + 1);
      return null;
    }
    metrics.count('vc_text_reads');
    const assembler = new EntryAssembler();
    let entryOffset = offset;
    for (const record of outcome.value.records) {
      const entry = assembler.push(record.bytes);
      if (!entry) continue;
      const entryLocation = {
        partition,
        offset: entryOffset,
        bytes: entry.length,
      };
      this.addToCache(entryLocation, Buffer.from(entry));
      entryOffset = record.offset + 1;
    }
    return this.cache.get(getCacheKey(location)) ?? null;
  }

  private addToCache(location: TextLocation, text: Buffer): void {
    const key = getCacheKey(location);
    if (this.cache.has(key)) return;
    this.cache.set(key, text);
    this.cachedBytes += text.length;
    for (const [oldestKey, evicted] of this.cache) {
      if (this.cachedBytes <= MAX_CACHED_BYTES || oldestKey === key) break;
      this.cache.delete(oldestKey);
      this.cachedBytes -= evicted.length;
    }
  }
}

function getCacheKey(location: TextLocation): string {
  return `${location.partition}/${location.offset}`;
}
