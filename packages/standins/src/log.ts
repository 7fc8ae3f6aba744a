import {EventEmitter, once} from 'node:events';
import {z} from 'zod';

import {
  DEFAULT_APPENDS_PER_SECOND,
  DEFAULT_READ_RECORDS,
  MAX_LONG_POLL_MS,
} from './constants.js';
import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

export interface LogOptions extends ServiceOptions {
  /** Records kept per stream. */
  retainRecords?: number;
  /** Age after which records are dropped, ms. */
  retainMs?: number;
  appendsPerSecond?: number;
}

interface StoredRecord {
  offset: number;
  appendId: string;
  payload: unknown;
  expiresAtMs: number;
}

interface Stream {
  records: StoredRecord[];
  next: number;
  changes: EventEmitter;
}

/** The platform's append-only log. */
export interface LogStandIn extends Service {
  /** During an outage every read and append is answered 503. */
  setOutage(isDown: boolean): void;
  /** Drops all records of a stream below an offset, like its retention. */
  trim(stream: string, earliest: number): void;
  getRecords(stream: string): readonly StoredRecord[];
  /** Appends accepted and refused for rate since the start. */
  getCounts(): {appends: number; limited: number; reads: number};
}

const appendSchema = z.object({
  records: z
    .array(z.object({appendId: z.string(), payload: z.unknown()}))
    .nonempty(),
});
const UNAVAILABLE = {status: 503, body: {error: 'unavailable'}};

/** Allows a number of events a second, with one second of burst. */
function createRateLimit(perSecond: number): () => number {
  let tokens = perSecond;
  let last = performance.now();
  return () => {
    const now = performance.now();
    tokens = Math.min(perSecond, tokens + ((now - last) * perSecond) / 1_000);
    last = now;
    if (tokens < 1) return Math.ceil(((1 - tokens) * 1_000) / perSecond);
    tokens -= 1;
    return 0;
  };
}

export async function createLog(options: LogOptions = {}): Promise<LogStandIn> {
  const streams = new Map<string, Stream>();
  const getWaitMs = createRateLimit(
    options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
  );
  const counts = {appends: 0, limited: 0, reads: 0};
  let isDown = false;

  const getStream = (name: string): Stream => {
    let stream = streams.get(name);
    if (!stream) {
      const changes = new EventEmitter().setMaxListeners(0);
      streams.set(name, (stream = {records: [], next: 0, changes}));
    }
    const kept = options.retainRecords ?? Infinity;
    const first = stream.records.findIndex(r => r.expiresAtMs > Date.now());
    const expired = first < 0 ? stream.records.length : first;
    stream.records.splice(0, Math.max(expired, stream.records.length - kept));
    return stream;
  };
  const getEarliest = (stream: Stream) =>
    stream.records[0]?.offset ?? stream.next;

  const append = (exchange: RouteContext): Reply => {
    if (isDown) return UNAVAILABLE;
    const {records} = exchange.parse(appendSchema);
    const retryAfterMs = getWaitMs();
    if (retryAfterMs > 0) {
      counts.limited++;
      return {status: 429, body: {error: 'rate', retryAfterMs}};
    }
    counts.appends++;
    const stream = getStream(exchange.params[0]);
    const expiresAtMs = Date.now() + (options.retainMs ?? Infinity);
    const offsets = records.map(({appendId, payload}) => {
      const offset = stream.next++;
      stream.records.push({offset, appendId, payload, expiresAtMs});
      return offset;
    });
    stream.changes.emit('change');
    return {status: 200, body: {offsets}};
  };

  const read = async (exchange: RouteContext): Promise<Reply> => {
    counts.reads++;
    const getNumber = (name: string, fallback: number) =>
      z.coerce
        .number()
        .min(0)
        .parse(exchange.query.get(name) ?? fallback);
    const from = getNumber('from', 0);
    const max = getNumber('max', DEFAULT_READ_RECORDS);
    const waitMs = Math.min(getNumber('waitMs', 0), MAX_LONG_POLL_MS);
    const stream = getStream(exchange.params[0]);
    if (!isDown && from >= stream.next && waitMs > 0) {
      const timeout = AbortSignal.timeout(waitMs);
      const signal = AbortSignal.any([timeout, exchange.signal]);
      await once(stream.changes, 'change', {signal}).catch(() => {});
    }
    if (isDown) return UNAVAILABLE;
    getStream(exchange.params[0]);
    const earliest = getEarliest(stream);
    const next = stream.next;
    if (from < earliest) return {status: 410, body: {earliest, next}};
    const start = from - earliest;
    const records = stream.records
      .slice(start, start + max)
      .map(({offset, appendId, payload}) => ({offset, appendId, payload}));
    return {status: 200, body: {records, earliest, next}};
  };

  const setOutage = (value: boolean) => {
    isDown = value;
    for (const stream of streams.values()) stream.changes.emit('change');
  };
  const service = await createService(
    [
      createRoute('POST /v1/streams/:stream/records', append),
      createRoute('GET /v1/streams/:stream/records', read),
      createRoute('PUT /outage', ({parse}) => {
        setOutage(parse(z.object({isDown: z.boolean()})).isDown);
        return {status: 200, body: {isDown}};
      }),
      createRoute('GET /counts', () => ({status: 200, body: counts})),
    ],
    options,
  );
  return {
    ...service,
    setOutage,
    trim: (name, earliest) => {
      const stream = getStream(name);
      stream.records = stream.records.filter(r => r.offset >= earliest);
    },
    getRecords: name => getStream(name).records,
    getCounts: () => ({...counts}),
  };
}
