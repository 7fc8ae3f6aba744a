import type {Clock, Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import PQueue from 'p-queue';

import type {AppendRecord, LogPort, PlatformFailure} from './types.js';

/** Limits of a log client; every field has a default. */
export interface LogClientOptions {
  /** Appends a second that this process may send over all streams. */
  appendsPerSecond?: number;
  /** Appends that may be sent at once after a quiet time. */
  burst?: number;
  /** Attempts of one append before it is given up. */
  maxAttempts?: number;
  /** Delay before the second attempt, ms; doubles with each further one. */
  backoffMs?: number;
  /** Records in one append. */
  maxBatchRecords?: number;
}

/** Appends to streams of the log so that a lost answer repeats nothing. */
export interface LogClient {
  /**
   * Appends records; one offset per record. Records that wait for the same
   * stream share one append. `unknown` means that reading back failed too.
   */
  append(
    stream: string,
    records: AppendRecord[],
  ): Promise<Result<number[], PlatformFailure>>;
  /** Tells of the head of a stream, so that reading back starts there. */
  advanceNextOffset(stream: string, next: number): void;
}

type AppendResult = Result<number[], PlatformFailure>;

interface Waiting {
  records: AppendRecord[];
  resolve: (result: AppendResult) => void;
}

interface Stream {
  name: string;
  queue: PQueue;
  waiting: Waiting[];
  /** Lowest offset that a new record can get; null if not known yet. */
  next: number | null;
}

/** Default share of one process in the few hundred appends a second. */
const APPENDS_PER_SECOND = 5;
const BURST = 10;
const MAX_ATTEMPTS = 5;
const BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
const MAX_BATCH = 256;

/** Creates a wait for the next token of a bucket. */
function createTokenBucket(clock: Clock, perSecond: number, burst: number) {
  let tokens = burst;
  let filledAt = clock.now();
  return async () => {
    const now = clock.now();
    tokens = Math.min(burst, tokens + ((now - filledAt) * perSecond) / 1_000);
    filledAt = now;
    tokens -= 1;
    if (tokens >= 0) return;
    await clock.waitUntil(getDeadline(now, (-tokens / perSecond) * 1_000));
  };
}

/** Creates a client of the log. */
export function createLogClient(
  port: LogPort,
  clock: Clock,
  options: LogClientOptions = {},
): LogClient {
  const maxAttempts = options.maxAttempts ?? MAX_ATTEMPTS;
  const maxBatch = options.maxBatchRecords ?? MAX_BATCH;
  const takeToken = createTokenBucket(
    clock,
    options.appendsPerSecond ?? APPENDS_PER_SECOND,
    options.burst ?? BURST,
  );
  const streams = new Map<string, Stream>();

  const getStream = (name: string): Stream => {
    const known = streams.get(name);
    if (known) return known;
    const queue = new PQueue({concurrency: 1});
    const stream: Stream = {name, queue, waiting: [], next: null};
    streams.set(name, stream);
    return stream;
  };

  const noteNext = (stream: Stream, next: number) => {
    stream.next = Math.max(stream.next ?? 0, next);
  };

  const backOff = (attempt: number, retryAfterMs = 0) => {
    const base = options.backoffMs ?? BACKOFF_MS;
    const delayMs = Math.min(base * 2 ** attempt, MAX_BACKOFF_MS);
    const waitMs = Math.max(delayMs, Math.min(retryAfterMs, MAX_BACKOFF_MS));
    return clock.waitUntil(getDeadline(clock.now(), waitMs));
  };

  /** Finds the head of a stream that this process has not read yet. */
  const findNext = async (
    stream: Stream,
  ): Promise<Result<number, PlatformFailure>> => {
    if (stream.next !== null) return ok(stream.next);
    const range = await port.read(stream.name, 0, 0);
    if (range.ok) noteNext(stream, range.value.next);
    else if (range.error.tag === 'gap') noteNext(stream, range.error.next);
    else return fail(range.error);
    return ok(stream.next ?? 0);
  };

  /** Looks for append ids from an offset up to the head. */
  const readBack = async (
    stream: Stream,
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
    stream: Stream,
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

  /** Sends one batch until its fate is known or the attempts are used up. */
  const send = async (
    stream: Stream,
    records: AppendRecord[],
  ): Promise<AppendResult> => {
    const offsets = new Map<string, number>();
    let failure: PlatformFailure = {tag: 'unavailable', detail: 'not tried'};
    // After one lost answer, the record may still reach the log late.
    let lost: PlatformFailure | null = null;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const before = await findNext(stream);
      if (!before.ok) {
        failure = before.error;
        await backOff(attempt);
        continue;
      }
      const missing = records.filter(record => !offsets.has(record.appendId));
      await takeToken();
      const answer = await port.append(stream.name, missing);
      if (answer.ok) {
        missing.forEach((record, index) =>
          offsets.set(record.appendId, answer.value[index]),
        );
        noteNext(stream, Math.max(...answer.value) + 1);
        return ok(records.map(record => offsets.get(record.appendId) ?? -1));
      }
      failure = answer.error;
      if (failure.tag === 'rejected' || failure.tag === 'stale_fencing') {
        return fail(lost ?? failure);
      }
      if (failure.tag === 'unknown') {
        lost = failure;
        const ids = new Set(missing.map(record => record.appendId));
        const found = await readBackWithRetries(stream, before.value, ids);
        if (!found) return answer;
        for (const [id, offset] of found) offsets.set(id, offset);
        if (offsets.size === records.length) {
          return ok(records.map(record => offsets.get(record.appendId) ?? -1));
        }
      }
      const retryAfterMs =
        failure.tag === 'unavailable' ? failure.retryAfterMs : 0;
      if (attempt < maxAttempts - 1) await backOff(attempt, retryAfterMs);
    }
    return fail(lost ?? failure);
  };

  const takeBatch = (stream: Stream): Waiting[] => {
    const batch: Waiting[] = [];
    let size = 0;
    while (stream.waiting.length > 0) {
      size += stream.waiting[0].records.length;
      if (batch.length > 0 && size > maxBatch) break;
      batch.push(stream.waiting.shift()!);
    }
    return batch;
  };

  const flush = async (stream: Stream) => {
    const batch = takeBatch(stream);
    if (batch.length === 0) return;
    const result = await send(
      stream,
      batch.flatMap(waiting => waiting.records),
    );
    if (!result.ok && result.error.tag === 'rejected' && batch.length > 1) {
      // One bad record must not refuse the others of its batch.
      for (const waiting of batch) {
        waiting.resolve(await send(stream, waiting.records));
      }
      return;
    }
    let start = 0;
    for (const waiting of batch) {
      const end = start + waiting.records.length;
      waiting.resolve(result.ok ? ok(result.value.slice(start, end)) : result);
      start = end;
    }
  };

  return {
    append: (name, records) => {
      if (records.length === 0) return Promise.resolve(ok([]));
      const stream = getStream(name);
      return new Promise(resolve => {
        stream.waiting.push({records, resolve});
        void stream.queue.add(() => flush(stream));
      });
    },
    advanceNextOffset: (name, next) => noteNext(getStream(name), next),
  };
}
