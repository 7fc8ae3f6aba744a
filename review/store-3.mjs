// The platform's store (log form) as PROTOCOL.md describes it.
import {URL} from 'node:url';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {performance} from 'node:perf_hooks';
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import {EventEmitter} from 'node:events';

/** Time that the store takes for an answer, ms (SYSTEM.md). */
const ANSWER_MS = 4;
const MAX_WAIT_MS = 30_000;
/** Interval at which records expire, ms. */
const EXPIRY_INTERVAL_MS = 500;
const MAX_KEPT_RESPONSES = 5;
const LENGTH_BYTES = 4;
const KEYED = 'keyed.';
const DEFAULT_MAX_KB = 1_024;
const BYTES_PER_KB = 1_024;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const start = at + LENGTH_BYTES;
    records.push(Buffer.from(body.subarray(start, start + length)));
    at = start + length;
  }
  return records;
}

class Partition {
  /** The retained records, and when each was appended, ms. */
  records = [];
  times = [];
  first = 0;
  producers = new Map();
  newest = new Map();
  changes = new EventEmitter().setMaxListeners(0);

  get end() {
    return this.first + this.records.length;
  }

  /** Drops the records that were appended before a time. */
  expire(before) {
    let count = 0;
    while (count < this.times.length && this.times[count] < before) count++;
    if (count === 0) return;
    this.records.splice(0, count);
    this.times.splice(0, count);
    this.first += count;
  }

  push(records, isKeyed) {
    const offset = this.end;
    if (isKeyed) {
      records.forEach((record, index) => {
        const key = record.toString('utf8', 1, 1 + record[0]);
        const value = record.subarray(1 + record[0]);
        if (value.length === 0) this.newest.delete(key);
        else this.newest.set(key, {value, offset: offset + index});
      });
    }
    this.records.push(...records);
    const now = performance.now();
    this.times.push(...records.map(() => now));
    this.changes.emit('append');
    return {offset, end: this.end};
  }
}

/**
 * Starts a store; `parts` is the number of partitions that a group shares. As
 * records expire after `retentionS`, the newest of each key of a keyed topic stay.
 */
export async function startStore({parts = 12, retentionS = 300} = {}) {
  const partitions = new Map();
  const groups = new Map();
  const getPartition = (topic, part) => {
    const name = `${topic}/${part}`;
    if (!partitions.has(name)) partitions.set(name, new Partition());
    return partitions.get(name);
  };

  const append = (query, body) => {
    const topic = query.get('topic');
    const partition = getPartition(topic, query.get('part'));
    const at = query.get('at');
    if (at !== null && Number(at) !== partition.end) {
      return [412, {end: partition.end}];
    }
    const id = query.get('producer');
    let producer = null;
    const sequence = Number(query.get('seq'));
    if (id !== null) {
      const epoch = Number(query.get('epoch'));
      producer = partition.producers.get(id);
      if (!producer || epoch > producer.epoch) {
        producer = {epoch, sequence: sequence - 1, responses: new Map()};
        partition.producers.set(id, producer);
      }
      if (epoch < producer.epoch) return [409, {why: 'fenced'}];
      const repeated = producer.responses.get(sequence);
      if (repeated) return [200, repeated];
      if (sequence !== producer.sequence + 1) {
        return [409, {why: 'seq', expected: producer.sequence + 1}];
      }
      producer.sequence = sequence;
    }
    const records = splitRecords(body);
    const response = partition.push(records, topic.startsWith(KEYED));
    if (producer) {
      producer.responses.set(sequence, response);
      for (const old of producer.responses.keys()) {
        if (producer.responses.size <= MAX_KEPT_RESPONSES) break;
        producer.responses.delete(old);
      }
    }
    return [200, response];
  };

  const read = async (query, response) => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    if (from < partition.first) return [410, {first: partition.first}];
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS);
    if (partition.end <= from && waitMs > 0) {
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer);
          partition.changes.off('append', finish);
          response.off('close', finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        partition.changes.on('append', finish);
        response.on('close', finish);
      });
    }
    const maxBytes =
      Number(query.get('max_kb') ?? DEFAULT_MAX_KB) * BYTES_PER_KB;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), LENGTH_BYTES * 2);
    const chunks = [head];
    let bytes = 0;
    const start = Math.max(0, from - partition.first);
    for (const record of partition.records.slice(start)) {
      bytes += record.length + LENGTH_BYTES;
      if (chunks.length > 1 && bytes > maxBytes) break;
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      chunks.push(length, record);
    }
    return [200, Buffer.concat(chunks)];
  };

  const readNewest = query => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    const items = [...partition.newest].map(([key, {value, offset}]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    return [200, {items, more_pages: false, end: partition.end}];
  };

  const deal = group => {
    group.generation++;
    group.owners = new Map();
    const members = [...group.members.keys()].sort();
    for (let part = 0; part < parts && members.length > 0; part++) {
      group.owners.set(part, members[part % members.length]);
    }
  };
  const getGroup = name => {
    if (!groups.has(name)) {
      const group = {generation: 0, members: new Map(), owners: new Map()};
      groups.set(name, group);
    }
    const group = groups.get(name);
    const now = performance.now();
    const expired = [...group.members].filter(([, until]) => until < now);
    for (const [member] of expired) group.members.delete(member);
    if (expired.length > 0) deal(group);
    return group;
  };
  const join = ({group: name, member, topics, ttl_ms: ttlMs}) => {
    const group = getGroup(name);
    const isNew = !group.members.has(member);
    group.topic = topics[0];
    group.members.set(member, performance.now() + ttlMs);
    if (isNew) deal(group);
    const owned = [...group.owners].filter(([, owner]) => owner === member);
    const rows = owned.map(([part]) => [topics[0], part, 0]);
    return [200, {generation: group.generation, parts: rows}];
  };
  const leave = ({group: name, member}) => {
    const group = getGroup(name);
    if (group.members.delete(member)) deal(group);
    return [200, {}];
  };
  const listOwners = query => {
    const group = getGroup(query.get('group'));
    const rows = [...group.owners].map(([part, owner]) => [
      group.topic,
      part,
      owner,
      0,
    ]);
    return [200, {generation: group.generation, parts: rows}];
  };

  const handle = async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const call = url.pathname.split('/').at(-1);
    await sleep(ANSWER_MS / 2);
    const handlers = {
      'log-read': () => read(query, response),
      'log-append': () => append(query, body),
      'log-newest': () => readNewest(query),
      'log-join': () => join(JSON.parse(body)),
      'log-leave': () => leave(JSON.parse(body)),
      'log-owners': () => listOwners(query),
      'log-commit': () => [200, {}],
    };
    const [status, answer] = (await handlers[call]?.()) ?? [400, {}];
    const reply = Buffer.isBuffer(answer)
      ? answer
      : Buffer.from(JSON.stringify(answer));
    await sleep(ANSWER_MS / 2);
    if (response.destroyed) return;
    response.writeHead(status, {'content-length': reply.length});
    response.end(reply);
  };
  const server = http.createServer(
    (request, response) =>
      void handle(request, response).catch(() => response.destroy()),
  );
  server.keepAliveTimeout = 60_000;
  const expiry = setInterval(() => {
    const before = performance.now() - retentionS * 1_000;
    for (const partition of partitions.values()) partition.expire(before);
  }, EXPIRY_INTERVAL_MS);
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a key as the operator or a replica; null removes it. */
    put: (topic, key, value) => {
      const name = Buffer.from(key);
      const text = value === null ? '' : JSON.stringify(value);
      const record = [Buffer.from([name.length]), name, Buffer.from(text)];
      getPartition(topic, 0).push([Buffer.concat(record)], true);
    },
    getRecords: (topic, part) => getPartition(topic, part).records,
    close: () => {
      clearInterval(expiry);
      server.close();
      server.closeAllConnections();
    },
  };
}
