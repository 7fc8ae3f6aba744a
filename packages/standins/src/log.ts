import {EventEmitter} from 'node:events';
import {z} from 'zod';

import {
  DEFAULT_APPENDS_PER_SECOND,
  DEFAULT_READ_RECORDS,
  MAX_LONG_POLL_MS,
} from './constants.js';
import {waitForEvent} from './longPoll.js';
import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

export interface LogOptions extends ServiceOptions {
  /** Maximum number of records kept per stream. */
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
  nextOffset: number;
  changes: EventEmitter;
}

/** The platform's append-only log. */
export interface LogStandIn extends Service {
  /** During an outage, every read and append gets status 503. */
  setOutage(isDown: boolean): void;
  /** Drops the records of a stream below an offset, as retention does. */
  trim(stream: string, earliest: number): void;
  getRecords(stream: string): readonly StoredRecord[];
  /**
   * Appends accepted, appends refused by the rate limit, and reads since the
   * start.
   */
  getCounts(): {appends: number; limited: number; reads: number};
}

const appendSchema = z.object({
  records: z
    .array(z.object({appendId: z.string(), payload: z.unknown()}))
    .nonempty(),
});
const UNAVAILABLE = {status: 503, body: {error: 'unavailable'}};

/**
 * Creates a token bucket with a burst of one second. The function takes a token
 * and returns 0, or returns the time until the next token, ms.
 */
function createRateLimiter(perSecond: number): () => number {
  let tokens = perSecond;
  let lastRefillMs = performance.now();
  return () => {
    const now = performance.now();
    tokens = Math.min(
      perSecond,
      tokens + ((now - lastRefillMs) * perSecond) / 1_000,
    );
    lastRefillMs = now;
    if (tokens < 1) return Math.ceil(((1 - tokens) * 1_000) / perSecond);
    tokens -= 1;
    return 0;
  };
}

export async function createLog(options: LogOptions = {}): Promise<LogStandIn> {
  const streams = new Map<string, Stream>();
  const takeToken = createRateLimiter(
    options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
  );
  const counts = {appends: 0, limited: 0, reads: 0};
  let isDown = false;

  const getStream = (name: string): Stream => {
    let stream = streams.get(name);
    if (!stream) {
      const changes = new EventEmitter().setMaxListeners(0);
      streams.set(name, (stream = {records: [], nextOffset: 0, changes}));
    }
    const maxRecords = options.retainRecords ?? Infinity;
    const firstLive = stream.records.findIndex(r => r.expiresAtMs > Date.now());
    const expired = firstLive < 0 ? stream.records.length : firstLive;
    stream.records.splice(
      0,
      Math.max(expired, stream.records.length - maxRecords),
    );
    return stream;
  };
  const getEarliest = (stream: Stream) =>
    stream.records[0]?.offset ?? stream.nextOffset;

  const append = (context: RouteContext): Reply => {
    if (isDown) return UNAVAILABLE;
    const {records} = context.parse(appendSchema);
    const retryAfterMs = takeToken();
    if (retryAfterMs > 0) {
      counts.limited++;
      return {status: 429, body: {error: 'rate', retryAfterMs}};
    }
    counts.appends++;
    const stream = getStream(context.params[0]);
    const expiresAtMs = Date.now() + (options.retainMs ?? Infinity);
    const offsets = records.map(({appendId, payload}) => {
      const offset = stream.nextOffset++;
      stream.records.push({offset, appendId, payload, expiresAtMs});
      return offset;
    });
    stream.changes.emit('change');
    return {status: 200, body: {offsets}};
  };

  const read = async (context: RouteContext): Promise<Reply> => {
    counts.reads++;
    const getNumber = (name: string, fallback: number) =>
      z.coerce
        .number()
        .min(0)
        .parse(context.query.get(name) ?? fallback);
    const from = getNumber('from', 0);
    const max = getNumber('max', DEFAULT_READ_RECORDS);
    const waitMs = Math.min(getNumber('waitMs', 0), MAX_LONG_POLL_MS);
    const stream = getStream(context.params[0]);
    if (!isDown && from >= stream.nextOffset && waitMs > 0) {
      await waitForEvent(stream.changes, 'change', waitMs, context.signal);
    }
    if (isDown) return UNAVAILABLE;
    getStream(context.params[0]);
    const earliest = getEarliest(stream);
    const next = stream.nextOffset;
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
