import type {Clock, Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import PQueue from 'p-queue';

import type {AppendRecord, LogPort, PlatformFailure} from './types.js';

/** Limits of a log client; every field has a default. */
export interface LogClientOptions {
  /** Maximum rate of appends of this process over all streams, per second. */
  appendsPerSecond?: number;
  /** Maximum number of appends sent at once after an idle period. */
  burst?: number;
  /** Maximum number of attempts of one append. */
  maxAttempts?: number;
  /** Delay before the second attempt, ms; doubles with each further attempt. */
  backoffMs?: number;
  /** Maximum number of records in one batched append. */
  maxBatchRecords?: number;
}

/**
 * Appends to streams of the log. After a lost response it reads the stream back
 * and appends only the missing records again.
 */
export interface LogClient {
  /**
   * Appends records and returns one offset per record. Records that are queued
   * for the same stream share one append. `unknown` means that a response was
   * lost and reading the stream did not show that all records were appended.
   */
  append(
    stream: string,
    records: AppendRecord[],
  ): Promise<Result<number[], PlatformFailure>>;
  /**
   * Tells the client that a stream has reached the offset `next`. Reading back
   * after a lost response starts there.
   */
  advanceNextOffset(stream: string, next: number): void;
}

type AppendResult = Result<number[], PlatformFailure>;

interface PendingAppend {
  records: AppendRecord[];
  resolve: (result: AppendResult) => void;
}

interface StreamState {
  name: string;
  queue: PQueue;
  pendingAppends: PendingAppend[];
  /** Lowest offset that a new record can get; null if not known yet. */
  nextOffset: number | null;
}

/**
 * Default maximum rate of appends of one process. The log accepts a few hundred
 * appends per second from all processes together.
 */
const DEFAULT_APPENDS_PER_SECOND = 5;
const DEFAULT_BURST = 10;
const DEFAULT_MAX_ATTEMPTS = 5;
const DEFAULT_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
const DEFAULT_MAX_BATCH_RECORDS = 256;

/**
 * Returns a function that resolves when the next append is permitted (token
 * bucket).
 */
function createRateLimiter(clock: Clock, perSecond: number, burst: number) {
  let tokens = burst;
  let refilledAt = clock.now();
  return async () => {
    const now = clock.now();
    tokens = Math.min(burst, tokens + ((now - refilledAt) * perSecond) / 1_000);
    refilledAt = now;
    tokens -= 1;
    if (tokens >= 0) return;
    await clock.waitUntil(getDeadline(now, (-tokens / perSecond) * 1_000));
  };
}

export function createLogClient(
  port: LogPort,
  clock: Clock,
  options: LogClientOptions = {},
): LogClient {
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const maxBatchRecords = options.maxBatchRecords ?? DEFAULT_MAX_BATCH_RECORDS;
  const takeToken = createRateLimiter(
    clock,
    options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
    options.burst ?? DEFAULT_BURST,
  );
  const streams = new Map<string, StreamState>();

  const getStream = (name: string): StreamState => {
    const known = streams.get(name);
    if (known) return known;
    const queue = new PQueue({concurrency: 1});
    const stream: StreamState = {
      name,
      queue,
      pendingAppends: [],
      nextOffset: null,
    };
    streams.set(name, stream);
    return stream;
  };

  const advanceOffset = (stream: StreamState, next: number) => {
    stream.nextOffset = Math.max(stream.nextOffset ?? 0, next);
  };

  const backOff = (attempt: number, retryAfterMs = 0) => {
    const base = options.backoffMs ?? DEFAULT_BACKOFF_MS;
    const delayMs = Math.min(base * 2 ** attempt, MAX_BACKOFF_MS);
    const waitMs = Math.max(delayMs, Math.min(retryAfterMs, MAX_BACKOFF_MS));
    return clock.waitUntil(getDeadline(clock.now(), waitMs));
  };

  /**
   * Returns the next offset of a stream, read from the log if not known yet.
   */
  const findNextOffset = async (
    stream: StreamState,
  ): Promise<Result<number, PlatformFailure>> => {
    if (stream.nextOffset !== null) return ok(stream.nextOffset);
    const range = await port.read(stream.name, 0, 0);
    if (range.ok) advanceOffset(stream, range.value.next);
    else if (range.error.tag === 'gap') advanceOffset(stream, range.error.next);
    else return fail(range.error);
    return ok(stream.nextOffset ?? 0);
  };

  /**
   * Reads a stream from an offset to the end and returns the offsets of the
   * given append ids, or null if a read fails.
   */
  const readBack = async (
    stream: StreamState,
    from: number,
    ids: ReadonlySet<string>,
  ): Promise<Map<string, number> | null> => {
    const found = new Map<string, number>();
    let position = from;
    let next = from + 1;
    while (position < next) {
      const range = await port.read(stream.name, position, 0);
      if (!range.ok) return null;
      next = range.value.next;
      for (const record of range.value.records) {
        if (ids.has(record.appendId) && !found.has(record.appendId)) {
          found.set(record.appendId, record.offset);
        }
      }
      const last = range.value.records.at(-1);
      if (!last) break;
      position = last.offset + 1;
    }
    return found;
  };

  const readBackWithRetries = async (
    stream: StreamState,
    from: number,
    ids: ReadonlySet<string>,
  ) => {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const found = await readBack(stream, from, ids);
      if (found) return found;
      await backOff(attempt);
    }
    return null;
  };

  /**
   * Sends one batch, with retries, until its outcome is known or the attempts
   * are used up.
   */
  const send = async (
    stream: StreamState,
    records: AppendRecord[],
  ): Promise<AppendResult> => {
    const offsets = new Map<string, number>();
    let failure: PlatformFailure = {
      tag: 'unavailable',
      detail: 'not tried',
    };
    // After a lost response the records may still reach the log late, so later
    // failures are reported as `unknown` too.
    let lostResponseFailure: PlatformFailure | null = null;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const startOffset = await findNextOffset(stream);
      if (!startOffset.ok) {
        failure = startOffset.error;
        await backOff(attempt);
        continue;
      }
      const missing = records.filter(record => !offsets.has(record.appendId));
      await takeToken();
      const response = await port.append(stream.name, missing);
      if (response.ok) {
        missing.forEach((record, index) =>
          offsets.set(record.appendId, response.value[index]),
        );
        advanceOffset(stream, Math.max(...response.value) + 1);
        return ok(records.map(record => offsets.get(record.appendId) ?? -1));
      }
      failure = response.error;
      if (failure.tag === 'rejected' || failure.tag === 'stale_fencing') {
        return fail(lostResponseFailure ?? failure);
      }
      if (failure.tag === 'unknown') {
        lostResponseFailure = failure;
        const ids = new Set(missing.map(record => record.appendId));
        const found = await readBackWithRetries(stream, startOffset.value, ids);
        if (!found) return response;
        for (const [id, offset] of found) offsets.set(id, offset);
        if (offsets.size === records.length) {
          return ok(records.map(record => offsets.get(record.appendId) ?? -1));
        }
      }
      const retryAfterMs =
        failure.tag === 'unavailable' ? failure.retryAfterMs : 0;
      if (attempt < maxAttempts - 1) await backOff(attempt, retryAfterMs);
    }
    return fail(lostResponseFailure ?? failure);
  };

  const takeBatch = (stream: StreamState): PendingAppend[] => {
    const batch: PendingAppend[] = [];
    let size = 0;
    while (stream.pendingAppends.length > 0) {
      size += stream.pendingAppends[0].records.length;
      if (batch.length > 0 && size > maxBatchRecords) break;
      batch.push(stream.pendingAppends.shift()!);
    }
    return batch;
  };

  const flush = async (stream: StreamState) => {
    const batch = takeBatch(stream);
    if (batch.length === 0) return;
    const result = await send(
      stream,
      batch.flatMap(pendingAppend => pendingAppend.records),
    );
    if (!result.ok && result.error.tag === 'rejected' && batch.length > 1) {
      // Sends the appends separately, so that a rejected record does not fail
      // the others in its batch.
      for (const pendingAppend of batch) {
        pendingAppend.resolve(await send(stream, pendingAppend.records));
      }
      return;
    }
    let start = 0;
    for (const pendingAppend of batch) {
      const end = start + pendingAppend.records.length;
      pendingAppend.resolve(
        result.ok ? ok(result.value.slice(start, end)) : result,
      );
      start = end;
    }
  };

  return {
    append: (name, records) => {
      if (records.length === 0) return Promise.resolve(ok([]));
      const stream = getStream(name);
      return new Promise(resolve => {
        stream.pendingAppends.push({records, resolve});
        void stream.queue.add(() => flush(stream));
      });
    },
    advanceNextOffset: (name, next) => advanceOffset(getStream(name), next),
  };
}
