import {EventEmitter, once} from 'node:events';
import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

const LENGTH_BYTES = 4;
/** Appends of a producer whose answers are repeated. */
const REMEMBERED_APPENDS = 5;
const MAX_WAIT_MS = 30_000;

interface ProducerState {
  epoch: number;
  sequence: number;
  /** Answers by sequence number. */
  answers: Map<number, {offset: number; end: number}>;
}

interface Partition {
  records: Buffer[];
  /** Offset of the first retained record. */
  first: number;
  producers: Map<string, ProducerState>;
  newest: Map<string, {value: Buffer; offset: number}>;
  changes: EventEmitter;
}

interface Group {
  generation: number;
  /** Expiry of each member, ms on the steady clock. */
  members: Map<string, number>;
  owners: Map<number, string>;
}

/** The platform's metadata store in its log form. */
export interface MetadataStoreStandIn extends Service {
  /** Writes a key as the operator or an upstream does; null removes it. */
  put(topic: string, key: string, value: unknown): void;
  /** Drops the history of a topic; the newest values stay. */
  dropHistory(topic: string): void;
  /** Deals all partitions of all groups anew. */
  rebalance(): void;
  getRecords(topic: string, part: number): readonly Buffer[];
  /** Calls by path since the start. */
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
    first: 0,
    producers: new Map(),
    newest: new Map(),
    changes: new EventEmitter().setMaxListeners(0),
  };
}

function splitBody(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const start = at + LENGTH_BYTES;
    records.push(Buffer.from(body.subarray(start, start + length)));
    at = start + length;
  }
  return records;
}

function getEnd(partition: Partition): number {
  return partition.first + partition.records.length;
}

function encodeKeyed(key: string, value: Buffer): Buffer {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

function appendRecords(partition: Partition, records: Buffer[]): Reply {
  const offset = getEnd(partition);
  partition.records.push(...records);
  partition.changes.emit('append');
  return {status: 200, body: {offset, end: getEnd(partition)}};
}

/** Checks the producer's epoch and sequence; null lets the append go on. */
function checkProducer(partition: Partition, query: URLSearchParams): Reply {
  const id = query.get('producer');
  if (id === null) return undefined;
  const epoch = Number(query.get('epoch'));
  const sequence = Number(query.get('seq'));
  const known = partition.producers.get(id);
  if (!known || epoch > known.epoch) {
    partition.producers.set(id, {epoch, sequence, answers: new Map()});
    return undefined;
  }
  if (epoch < known.epoch) return {status: 409, body: {why: 'fenced'}};
  const repeated = known.answers.get(sequence);
  if (repeated) return {status: 200, body: repeated};
  if (sequence !== known.sequence + 1) {
    return {status: 409, body: {why: 'seq', seq: known.sequence + 1}};
  }
  known.sequence = sequence;
  return undefined;
}

function rememberAnswer(
  partition: Partition,
  query: URLSearchParams,
  reply: Reply,
): void {
  const known = partition.producers.get(query.get('producer') ?? '');
  if (!known || !reply) return;
  known.answers.set(
    Number(query.get('seq')),
    reply.body as {offset: number; end: number},
  );
  for (const sequence of known.answers.keys()) {
    if (known.answers.size <= REMEMBERED_APPENDS) break;
    known.answers.delete(sequence);
  }
}

export async function createMetadataStore(
  options: ServiceOptions & {parts?: number} = {},
): Promise<MetadataStoreStandIn> {
  const parts = options.parts ?? 1;
  const topics = new Map<string, Partition>();
  const groups = new Map<string, Group>();
  const calls: Record<string, number> = {};

  const getPartition = (topic: string, part: number): Partition => {
    const name = `${topic}/${part}`;
    let partition = topics.get(name);
    if (!partition) topics.set(name, (partition = createPartition()));
    return partition;
  };
  const count = (path: string) => {
    calls[path] = (calls[path] ?? 0) + 1;
  };
  const getAsked = ({query}: RouteContext): Partition =>
    getPartition(query.get('topic') ?? '', Number(query.get('part')));

  const append = (exchange: RouteContext): Reply => {
    count('append');
    const {query, body} = exchange;
    const partition = getAsked(exchange);
    const at = query.get('at');
    const end = getEnd(partition);
    if (at !== null && Number(at) !== end) return {status: 412, body: {end}};
    const refusal = checkProducer(partition, query);
    if (refusal) return refusal;
    const reply = appendRecords(partition, splitBody(body));
    rememberAnswer(partition, query, reply);
    return reply;
  };

  const read = async (exchange: RouteContext): Promise<Reply> => {
    count('read');
    const {query, signal, response} = exchange;
    const partition = getAsked(exchange);
    const from = Number(query.get('from'));
    if (from < partition.first) {
      return {status: 410, body: {first: partition.first}};
    }
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS);
    if (getEnd(partition) <= from && waitMs > 0) {
      const timeout = AbortSignal.any([signal, AbortSignal.timeout(waitMs)]);
      await once(partition.changes, 'append', {signal: timeout}).catch(
        () => undefined,
      );
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(getEnd(partition)), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const chunks: Buffer[] = [head];
    for (const record of partition.records.slice(from - partition.first)) {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      chunks.push(length, record);
    }
    const answer = Buffer.concat(chunks);
    response.writeHead(200, {'content-length': answer.length});
    response.end(answer);
    return undefined;
  };

  const readNewest = (exchange: RouteContext): Reply => {
    count('newest');
    const partition = getAsked(exchange);
    const items = [...partition.newest].map(([key, {value, offset}]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const end = getEnd(partition);
    return {status: 200, body: {items, more_pages: false, end}};
  };

  const deal = (group: Group) => {
    const members = [...group.members.keys()].sort();
    group.generation++;
    group.owners.clear();
    for (let part = 0; part < parts && members.length > 0; part++) {
      group.owners.set(part, members[part % members.length]);
    }
  };

  const expire = (group: Group) => {
    const now = performance.now();
    const lapsed = [...group.members].filter(([, at]) => at < now);
    for (const [member] of lapsed) group.members.delete(member);
    if (lapsed.length > 0) deal(group);
  };

  const join = (exchange: RouteContext): Reply => {
    count('join');
    const body = exchange.parse(joinSchema);
    let group = groups.get(body.group);
    if (!group) {
      group = {generation: 0, members: new Map(), owners: new Map()};
      groups.set(body.group, group);
    }
    expire(group);
    const isNew = !group.members.has(body.member);
    group.members.set(body.member, performance.now() + body.ttl_ms);
    if (isNew) deal(group);
    const owned = [...group.owners]
      .filter(([, owner]) => owner === body.member)
      .map(([part]) => [body.topics[0], part, 0]);
    return {
      status: 200,
      body: {generation: group.generation, parts: owned},
    };
  };

  const leave = (exchange: RouteContext): Reply => {
    count('leave');
    const body = exchange.parse(leaveSchema);
    const group = groups.get(body.group);
    if (group?.members.delete(body.member)) deal(group);
    return {status: 200, body: {}};
  };

  const service = await createService(
    [
      createRoute('POST /vanillacross/log-append', append),
      createRoute('GET /vanillacross/log-read', read),
      createRoute('GET /vanillacross/log-newest', readNewest),
      createRoute('POST /vanillacross/log-join', join),
      createRoute('POST /vanillacross/log-leave', leave),
    ],
    options,
  );
  return {
    ...service,
    put: (topic, key, value) => {
      const partition = getPartition(topic, 0);
      const bytes =
        value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      if (value === null) partition.newest.delete(key);
      else partition.newest.set(key, {value: bytes, offset: getEnd(partition)});
      appendRecords(partition, [encodeKeyed(key, bytes)]);
    },
    dropHistory: topic => {
      const partition = getPartition(topic, 0);
      partition.first = getEnd(partition);
      partition.records = [];
    },
    rebalance: () => {
      for (const group of groups.values()) deal(group);
    },
    getRecords: (topic, part) => getPartition(topic, part).records,
    getCallCounts: () => calls,
  };
}
