// Stand-in of the platform's metadata store in its log form, as PROTOCOL.md
// describes it, and of the platform's API for single duties.

import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';

import {listen, readAll, sendJson} from './http-2.mjs';

const RETAINED_APPENDS = 5;
const MAX_WAIT_MS = 30_000;
const ANSWER_MS = 4;
const PAGE_KEYS = 500;

function decodeRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    records.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
    at += 4 + length;
  }
  return records;
}

function encodeKeyed(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

class Partition {
  records = [];
  producers = new Map();
  newest = new Map();
  events = new EventEmitter().setMaxListeners(0);

  get end() {
    return this.records.length;
  }

  append(records, isKeyed) {
    const offset = this.end;
    for (const record of records) {
      if (isKeyed) {
        const key = record.toString('utf8', 1, 1 + record[0]);
        const value = record.subarray(1 + record[0]);
        if (value.length === 0) this.newest.delete(key);
        else this.newest.set(key, {value, offset: this.end});
      }
      this.records.push(record);
    }
    this.events.emit('append');
    return {offset, end: this.end};
  }
}

/** Members of a group; a partition moves once its owner knows of the change. */
class Group {
  generation = 0;
  members = new Map();
  owners = new Map();
  wanted = new Map();

  constructor(parts) {
    this.parts = parts;
  }

  plan() {
    const names = [...this.members.keys()].sort();
    this.generation++;
    this.wanted.clear();
    for (let part = 0; part < this.parts && names.length > 0; part++) {
      this.wanted.set(part, names[part % names.length]);
    }
    this.move();
  }

  move() {
    for (const [part, wanted] of this.wanted) {
      const owner = this.owners.get(part);
      if (owner === wanted) continue;
      const member = this.members.get(owner);
      if (!member || member.generation >= this.generation) {
        this.owners.set(part, wanted);
      }
    }
  }

  expire() {
    const now = performance.now();
    let hasChanged = false;
    for (const [name, {until}] of this.members) {
      if (until > now) continue;
      this.members.delete(name);
      hasChanged = true;
    }
    if (hasChanged) this.plan();
  }

  join(name, ttlMs, generation) {
    this.expire();
    const isNew = !this.members.has(name);
    const until = performance.now() + ttlMs;
    this.members.set(name, {until, generation});
    if (isNew) this.plan();
    else this.move();
    return [...this.owners].filter(([, owner]) => owner === name);
  }

  leave(name) {
    if (this.members.delete(name)) this.plan();
  }
}

/**
 * @param options.parts Partitions of a topic.
 * @param options.recordBytes Largest record.
 * @param options.callBytes Largest sum of the records of one append.
 */
export async function createStore({parts, recordBytes, callBytes}) {
  const partitions = new Map();
  const groups = new Map();
  const duties = [];
  let beforeCall = async () => true;

  const getPartition = (topic, part) => {
    const name = `${topic}/${part}`;
    if (!partitions.has(name)) partitions.set(name, new Partition());
    return partitions.get(name);
  };

  const checkProducer = (partition, query) => {
    const id = query.get('producer');
    if (id === null) return null;
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('seq'));
    const known = partition.producers.get(id);
    if (!known || epoch > known.epoch) {
      partition.producers.set(id, {epoch, sequence, answers: new Map()});
      return null;
    }
    if (epoch < known.epoch) return [409, {why: 'fenced'}];
    const repeated = known.answers.get(sequence);
    if (repeated) return [200, repeated];
    if (sequence !== known.sequence + 1) {
      return [409, {why: 'seq', seq: known.sequence + 1}];
    }
    known.sequence = sequence;
    return null;
  };

  const append = (query, body) => {
    const topic = query.get('topic');
    if (topic === 'keyed.op' || topic === 'keyed.servers') return [403, {}];
    const partition = getPartition(topic, Number(query.get('part')));
    const records = decodeRecords(body);
    const bytes = records.reduce((sum, record) => sum + record.length, 0);
    const isTooLarge = records.some(record => record.length > recordBytes);
    if (isTooLarge || bytes > callBytes) return [413, {error: 'too large'}];
    const at = query.get('at');
    if (at !== null && Number(at) !== partition.end) {
      return [412, {end: partition.end}];
    }
    const early = checkProducer(partition, query);
    if (early) return early;
    const answer = partition.append(records, topic.startsWith('keyed.'));
    const producer = partition.producers.get(query.get('producer'));
    if (producer) {
      producer.answers.set(Number(query.get('seq')), answer);
      for (const sequence of producer.answers.keys()) {
        if (producer.answers.size <= RETAINED_APPENDS) break;
        producer.answers.delete(sequence);
      }
    }
    return [200, answer];
  };

  const read = async (query, response) => {
    const topic = query.get('topic');
    const partition = getPartition(topic, Number(query.get('part')));
    const from = Number(query.get('from'));
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS);
    if (partition.end <= from && waitMs > 0) {
      await new Promise(resolve => {
        const finish = () => {
          partition.events.off('append', finish);
          response.off('close', finish);
          resolve();
        };
        partition.events.on('append', finish);
        response.on('close', finish);
        void sleep(waitMs, undefined, {ref: false}).then(finish);
      });
    }
    let left = Number(query.get('max_kb') ?? 1_024) * 1_024;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    const chunks = [head];
    for (let offset = from; offset < partition.end; offset++) {
      const record = partition.records[offset];
      left -= record.length + 4;
      if (left < 0 && chunks.length > 1) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      chunks.push(length, record);
    }
    const payload = Buffer.concat(chunks);
    response.writeHead(200, {'content-length': payload.length});
    response.end(payload);
  };

  const readNewest = query => {
    const topic = query.get('topic');
    const partition = getPartition(topic, Number(query.get('part')));
    const after = query.get('after') ?? '';
    const keys = [...partition.newest.keys()].sort();
    const rest = keys.filter(key => key > after);
    const items = rest.slice(0, PAGE_KEYS).map(key => {
      const {value, offset} = partition.newest.get(key);
      return {key, value: value.toString('base64'), offset};
    });
    const morePages = rest.length > PAGE_KEYS;
    return [200, {items, more_pages: morePages, end: partition.end}];
  };

  const getGroup = name => {
    if (!groups.has(name)) groups.set(name, new Group(parts));
    return groups.get(name);
  };

  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const body = await readAll(request);
    const call = {path: url.pathname, query, body, request, response};
    if (!(await beforeCall(call))) return;
    await sleep(ANSWER_MS);
    const name = `${request.method} ${url.pathname}`;
    if (name === 'GET /vanillacross/log-read') return read(query, response);
    const answer = answerCall(name, query, body, request);
    if (response.destroyed) return;
    sendJson(response, ...answer);
  };

  const answerCall = (name, query, body, request) => {
    if (name === 'POST /vanillacross/log-append') return append(query, body);
    if (name === 'GET /vanillacross/log-newest') return readNewest(query);
    if (name === 'GET /vanillacross/log-owners') {
      const group = getGroup(query.get('group'));
      const rows = [...group.owners].map(([part, owner]) => [
        'vc-steps',
        part,
        owner,
        0,
      ]);
      return [200, {generation: group.generation, parts: rows}];
    }
    const json = JSON.parse(body.toString('utf8') || '{}');
    if (name === 'POST /vanillacross/log-join') {
      const group = getGroup(json.group);
      const owned = group.join(json.member, json.ttl_ms, json.generation);
      const rows = owned.map(([part]) => [json.topics[0], part, 0]);
      return [200, {generation: group.generation, parts: rows}];
    }
    if (name === 'POST /vanillacross/log-leave') {
      getGroup(json.group).leave(json.member);
      return [200, {}];
    }
    if (name === 'POST /usage' || name === 'POST /scale') {
      const holder = request.headers['lease-holder'];
      const fence = Number(request.headers['fencing-token']);
      duties.push({at: performance.now(), name, holder, fence, json});
      return [200, {}];
    }
    return [404, {}];
  };

  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server);
  return {
    address,
    duties,
    /** Writes a key as an operator or a replica does; null removes it. */
    put(topic, key, value) {
      const text = value === null ? '' : JSON.stringify(value);
      const record = encodeKeyed(key, Buffer.from(text));
      getPartition(topic, 0).append([record], true);
    },
    getRecords: (topic, part) => getPartition(topic, part).records,
    getOwners: group => new Map(getGroup(group).owners),
    /** Deals all partitions anew at once. */
    rebalance(shift) {
      for (const group of groups.values()) {
        const names = [...group.members.keys()].sort();
        group.generation++;
        for (let part = 0; part < parts; part++) {
          const name = names[(part + shift) % names.length];
          group.owners.set(part, name);
          group.wanted.set(part, name);
        }
      }
    },
    /** Does a write without an answer. */
    appendSilently: ({query, body}) => void append(query, body),
    /** Sets a function that runs before a call; false leaves it unanswered. */
    setBeforeCall: handler => (beforeCall = handler),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
