import {EventEmitter} from 'node:events';
import {z} from 'zod';

import {waitForEvent} from './longPoll.js';
import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

const LENGTH_BYTES = 4;
/** Appends per producer whose responses are kept for retries. */
const MAX_RETAINED_RESPONSES = 5;
const MAX_WAIT_MS = 30_000;
/** Topics with this prefix keep the newest value of each key. */
const KEYED_PREFIX = 'keyed.';

interface ProducerState {
  epoch: number;
  sequence: number;
  /** Responses by sequence number. */
  responses: Map<number, {offset: number; end: number}>;
}

interface Partition {
  records: Buffer[];
  /** Offset of the first retained record. */
  firstOffset: number;
  producers: Map<string, ProducerState>;
  /** Newest value of each key, and its offset. */
  newest: Map<string, {value: Buffer; offset: number}>;
  changes: EventEmitter;
}

interface Group {
  generation: number;
  /** Expiry of each member on the monotonic clock, ms. */
  topic: string;
  members: Map<string, number>;
  owners: Map<number, string>;
}

/** The platform's metadata store with its log interface. */
export interface MetadataStoreStandIn extends Service {
  /** Writes a key as an operator or upstream would; null deletes it. */
  put(topic: string, key: string, value: unknown): void;
  /** Writes any text as the value of a key. */
  putText(topic: string, key: string, text: string): void;
  /** Drops the records of a topic but keeps the newest value of each key. */
  dropHistory(topic: string): void;
  /** Reassigns all partitions of all groups. */
  rebalance(): void;
  getRecords(topic: string, part: number): readonly Buffer[];
  /** Number of requests by operation since the start. */
  getCallCounts(): Readonly<Record<string, number>>;
}

const joinSchema = z.object({
  group: z.string(),
  member: z.string(),
  topics: z.array(z.string()),
  ttl_ms: z.number(),
});
const leaveSchema = z.object({group: z.string(), member: z.string()});

function createPartition(): Partition {
  return {
    records: [],
    firstOffset: 0,
    producers: new Map(),
    newest: new Map(),
    changes: new EventEmitter().setMaxListeners(0),
  };
}

function parseRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const start = at + LENGTH_BYTES;
    records.push(Buffer.from(body.subarray(start, start + length)));
    at = start + length;
  }
  return records;
}

function areTooLarge(
  records: readonly Buffer[],
  recordBytes: number,
  callBytes: number,
): boolean {
  const bytes = records.reduce((sum, record) => sum + record.length, 0);
  return bytes > callBytes || records.some(({length}) => length > recordBytes);
}

function getEnd(partition: Partition): number {
  return partition.firstOffset + partition.records.length;
}

function encodeKeyedRecord(key: string, value: Buffer): Buffer {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

/** Sets the newest values of the keys of appended records. */
function applyKeyedRecords(partition: Partition, records: Buffer[]): void {
  const end = getEnd(partition);
  records.forEach((record, index) => {
    const key = record.toString('utf8', 1, 1 + record[0]);
    const value = record.subarray(1 + record[0]);
    if (value.length === 0) partition.newest.delete(key);
    else partition.newest.set(key, {value, offset: end + index});
  });
}

function appendRecords(partition: Partition, records: Buffer[]): Reply {
  const offset = getEnd(partition);
  partition.records.push(...records);
  partition.changes.emit('append');
  return {status: 200, body: {offset, end: getEnd(partition)}};
}

/**
 * Checks the producer's epoch and sequence number; returns undefined if the
 * append may proceed.
 */
function checkProducer(partition: Partition, query: URLSearchParams): Reply {
  const id = query.get('producer');
  if (id === null) return undefined;
  const epoch = Number(query.get('epoch'));
  const sequence = Number(query.get('seq'));
  const producer = partition.producers.get(id);
  if (!producer || epoch > producer.epoch) {
    partition.producers.set(id, {epoch, sequence, responses: new Map()});
    return undefined;
  }
  if (epoch < producer.epoch) return {status: 409, body: {why: 'fenced'}};
  const repeated = producer.responses.get(sequence);
  if (repeated) return {status: 200, body: repeated};
  if (sequence !== producer.sequence + 1) {
    return {status: 409, body: {why: 'seq', seq: producer.sequence + 1}};
  }
  producer.sequence = sequence;
  return undefined;
}

function storeResponse(
  partition: Partition,
  query: URLSearchParams,
  reply: Reply,
): void {
  const producer = partition.producers.get(query.get('producer') ?? '');
  if (!producer || !reply) return;
  producer.responses.set(
    Number(query.get('seq')),
    reply.body as {offset: number; end: number},
  );
  for (const sequence of producer.responses.keys()) {
    if (producer.responses.size <= MAX_RETAINED_RESPONSES) break;
    producer.responses.delete(sequence);
  }
}

export interface MetadataStoreOptions extends ServiceOptions {
  parts?: number;
  /** Maximum size of a record, bytes. */
  recordBytes?: number;
  /** Maximum size of the records of one append, bytes. */
  callBytes?: number;
}

export async function createMetadataStore(
  options: MetadataStoreOptions = {},
): Promise<MetadataStoreStandIn> {
  const {parts = 1, recordBytes = Infinity, callBytes = Infinity} = options;
  const partitions = new Map<string, Partition>();
  const groups = new Map<string, Group>();
  const calls: Record<string, number> = {};

  const getPartition = (topic: string, part: number): Partition => {
    const name = `${topic}/${part}`;
    let partition = partitions.get(name);
    if (!partition) partitions.set(name, (partition = createPartition()));
    return partition;
  };
  const countCall = (path: string) => {
    calls[path] = (calls[path] ?? 0) + 1;
  };
  const getRequestedPartition = ({query}: RouteContext): Partition =>
    getPartition(query.get('topic') ?? '', Number(query.get('part')));

  const append = (context: RouteContext): Reply => {
    countCall('append');
    const {query, body} = context;
    const partition = getRequestedPartition(context);
    const records = parseRecords(body);
    if (areTooLarge(records, recordBytes, callBytes)) {
      return {status: 413, body: {error: 'too large'}};
    }
    const at = query.get('at');
    const end = getEnd(partition);
    if (at !== null && Number(at) !== end) return {status: 412, body: {end}};
    const earlyReply = checkProducer(partition, query);
    if (earlyReply) return earlyReply;
    if (query.get('topic')?.startsWith(KEYED_PREFIX)) {
      applyKeyedRecords(partition, records);
    }
    const reply = appendRecords(partition, records);
    storeResponse(partition, query, reply);
    return reply;
  };

  const read = async (context: RouteContext): Promise<Reply> => {
    countCall('read');
    const {query, signal, response} = context;
    const partition = getRequestedPartition(context);
    const from = Number(query.get('from'));
    if (from < partition.firstOffset) {
      return {status: 410, body: {first: partition.firstOffset}};
    }
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS);
    if (getEnd(partition) <= from && waitMs > 0) {
      await waitForEvent(partition.changes, 'append', waitMs, signal);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(getEnd(partition)), 0);
    head.writeBigUInt64BE(BigInt(partition.firstOffset), 8);
    const chunks: Buffer[] = [head];
    for (const record of partition.records.slice(
      from - partition.firstOffset,
    )) {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      chunks.push(length, record);
    }
    const payload = Buffer.concat(chunks);
    response.writeHead(200, {'content-length': payload.length});
    response.end(payload);
    return undefined;
  };

  const readNewest = (context: RouteContext): Reply => {
    countCall('newest');
    const partition = getRequestedPartition(context);
    const items = [...partition.newest].map(([key, {value, offset}]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const end = getEnd(partition);
    return {status: 200, body: {items, more_pages: false, end}};
  };

  const assignPartitions = (group: Group) => {
    const members = [...group.members.keys()].sort();
    group.generation++;
    group.owners.clear();
    for (let part = 0; part < parts && members.length > 0; part++) {
      group.owners.set(part, members[part % members.length]);
    }
  };

  const removeExpiredMembers = (group: Group) => {
    const now = performance.now();
    const expired = [...group.members].filter(([, at]) => at < now);
    for (const [member] of expired) group.members.delete(member);
    if (expired.length > 0) assignPartitions(group);
  };

  const join = (context: RouteContext): Reply => {
    countCall('join');
    const body = context.parse(joinSchema);
    let group = groups.get(body.group);
    if (!group) {
      group = {
        topic: body.topics[0],
        generation: 0,
        members: new Map(),
        owners: new Map(),
      };
      groups.set(body.group, group);
    }
    removeExpiredMembers(group);
    const isNew = !group.members.has(body.member);
    group.members.set(body.member, performance.now() + body.ttl_ms);
    if (isNew) assignPartitions(group);
    const owned = [...group.owners]
      .filter(([, owner]) => owner === body.member)
      .map(([part]) => [body.topics[0], part, 0]);
    return {
      status: 200,
      body: {generation: group.generation, parts: owned},
    };
  };

  const leave = (context: RouteContext): Reply => {
    countCall('leave');
    const body = context.parse(leaveSchema);
    const group = groups.get(body.group);
    if (group?.members.delete(body.member)) assignPartitions(group);
    return {status: 200, body: {}};
  };

  const listOwners = (context: RouteContext): Reply => {
    countCall('owners');
    const group = groups.get(context.query.get('group') ?? '');
    if (group) removeExpiredMembers(group);
    const rows = [...(group?.owners ?? [])];
    return {
      status: 200,
      body: {
        generation: group?.generation ?? 0,
        parts: rows.map(([part, owner]) => [group?.topic, part, owner, 0]),
      },
    };
  };

  const service = await createService(
    [
      createRoute('POST /vanillacross/log-append', append),
      createRoute('GET /vanillacross/log-read', read),
      createRoute('GET /vanillacross/log-newest', readNewest),
      createRoute('POST /vanillacross/log-join', join),
      createRoute('POST /vanillacross/log-leave', leave),
      createRoute('GET /vanillacross/log-owners', listOwners),
    ],
    options,
  );
  const putText = (topic: string, key: string, text: string) => {
    const partition = getPartition(topic, 0);
    const records = [encodeKeyedRecord(key, Buffer.from(text))];
    applyKeyedRecords(partition, records);
    appendRecords(partition, records);
  };

  return {
    ...service,
    put: (topic, key, value) =>
      putText(topic, key, value === null ? '' : JSON.stringify(value)),
    putText,
    dropHistory: topic => {
      const partition = getPartition(topic, 0);
      partition.firstOffset = getEnd(partition);
      partition.records = [];
    },
    rebalance: () => {
      for (const group of groups.values()) assignPartitions(group);
    },
    getRecords: (topic, part) => getPartition(topic, part).records,
    getCallCounts: () => calls,
  };
}
