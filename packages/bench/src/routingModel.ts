import {createRandom} from '@vanillacross/common';
import type {ChoicePolicy, UpstreamView} from '@vanillacross/domain';
import {chooseUpstream} from '@vanillacross/domain';

import {getQuantile} from './statistics.js';

export interface RoutingModelOptions {
  policy: ChoicePolicy;
  upstreams: number;
  seed: number;
}

interface ModelRequest {
  entry: ModelEntry;
  arrivedAt: number;
  prefix: number;
  upstream: ModelUpstream;
}

/** An upstream with a concurrency limit, a queue and a prefix cache. */
interface ModelUpstream {
  index: number;
  domain: string;
  running: number;
  queue: ModelRequest[];
  /** Cached prefixes, least recently used first. */
  cache: Set<number>;
}

/** Local view that one entry has of one upstream. */
interface UpstreamKnowledge {
  inFlight: number;
  load: UpstreamView['load'];
  loadAt: number;
  inFlightAtLoad: number;
}

interface ModelEntry {
  domain: string;
  upstreamKnowledge: UpstreamKnowledge[];
  roundRobinTurn: number;
}

interface SimulationEvent {
  at: number;
  perform(): void;
}

const ENTRIES = 4;
const DOMAINS = 3;
const LIMIT = 16;
const CACHED_PREFIXES = 40;
/** Distinct prefixes per upstream; a cache holds twice as many. */
const PREFIXES_PER_UPSTREAM = 20;
const HIT_MS = 400;
const MISS_MS = 700;
const UTILIZATION = 0.75;
/** Delay until an entry receives the load that an upstream reports, ms. */
const REPORT_LAG_MS = 200;
const REQUESTS_PER_UPSTREAM = 1_000;
/** Share of the run that the results leave out because caches are filling. */
const WARM_UP_SHARE = 0.2;

/** Priority queue of events by time, implemented as a binary heap. */
class EventQueue {
  private readonly heap: SimulationEvent[] = [];

  push(event: SimulationEvent): void {
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.heap[parent].at <= event.at) break;
      this.heap[index] = this.heap[parent];
      index = parent;
    }
    this.heap[index] = event;
  }

  pop(): SimulationEvent | undefined {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.heap.length) break;
      const right = child + 1;
      if (
        right < this.heap.length &&
        this.heap[right].at < this.heap[child].at
      ) {
        child = right;
      }
      if (this.heap[child].at >= last.at) break;
      this.heap[index] = this.heap[child];
      index = child;
    }
    this.heap[index] = last;
    return first;
  }
}

/**
 * Simulates requests to model upstreams, which are chosen by the production
 * routing code.
 */
export function runRoutingModel({
  policy,
  upstreams: count,
  seed,
}: RoutingModelOptions): {p99Ms: number; hitRate: number} {
  const random = createRandom(seed);
  const events = new EventQueue();
  const upstreams = Array.from({length: count}, (_, index): ModelUpstream => ({
    index,
    domain: `domain-${index % DOMAINS}`,
    running: 0,
    queue: [],
    cache: new Set(),
  }));
  const entries = Array.from({length: ENTRIES}, (_, index): ModelEntry => ({
    domain: `domain-${index % DOMAINS}`,
    roundRobinTurn: 0,
    upstreamKnowledge: upstreams.map(() => ({
      inFlight: 0,
      load: null,
      loadAt: 0,
      inFlightAtLoad: 0,
    })),
  }));
  const total = count * REQUESTS_PER_UPSTREAM;
  const prefixes = count * PREFIXES_PER_UPSTREAM;
  const latencies: number[] = [];
  let hits = 0;
  let measured = 0;
  let arrived = 0;
  let now = 0;

  const choose = (entry: ModelEntry, prefix: number) => {
    const views = upstreams.map((upstream, index): UpstreamView => {
      const {inFlight, load, loadAt, inFlightAtLoad} =
        entry.upstreamKnowledge[index];
      return {
        id: `upstream-${index}`,
        domain: upstream.domain,
        isLeaving: false,
        isDomainIn: true,
        isEjected: false,
        inFlight,
        load,
        loadAgeMs: now - loadAt,
        inFlightAtLoad,
        assumedLimit: LIMIT,
      };
    });
    const chosen = chooseUpstream(policy, {
      upstreams: views,
      avoid: new Set(),
      domain: entry.domain,
      affinity: `prefix-${prefix}`,
      random,
      turn: entry.roundRobinTurn++,
    });
    return upstreams[views.indexOf(chosen!)];
  };
  const start = (request: ModelRequest) => {
    const {upstream, prefix} = request;
    upstream.running++;
    const isHit = upstream.cache.delete(prefix);
    upstream.cache.add(prefix);
    if (upstream.cache.size > CACHED_PREFIXES) {
      const [oldest] = upstream.cache;
      upstream.cache.delete(oldest);
    }
    const isMeasured = request.arrivedAt > warmUpEnd;
    if (isMeasured) measured++;
    if (isMeasured && isHit) hits++;
    const serviceMs = (isHit ? HIT_MS : MISS_MS) * (0.5 + random());
    events.push({at: now + serviceMs, perform: () => finish(request)});
  };
  const finish = (request: ModelRequest) => {
    const {upstream, entry} = request;
    upstream.running--;
    const next = upstream.queue.shift();
    if (next) start(next);
    const known = entry.upstreamKnowledge[upstream.index];
    known.inFlight--;
    if (request.arrivedAt > warmUpEnd) latencies.push(now - request.arrivedAt);
    const {running, queue} = upstream;
    const load = {
      running,
      limit: LIMIT,
      waiting: queue.length,
      epoch: '',
      version: 0,
      cold: false,
    } as unknown as NonNullable<UpstreamView['load']>;
    const {inFlight} = known;
    const at = now + REPORT_LAG_MS;
    events.push({
      at,
      perform: () => {
        Object.assign(known, {load, loadAt: at, inFlightAtLoad: inFlight});
      },
    });
  };
  const arrive = () => {
    if (++arrived < total) {
      const gap = -Math.log(1 - random()) * meanGapMs;
      events.push({at: now + gap, perform: arrive});
    }
    const entry = entries[Math.floor(random() * ENTRIES)];
    // Squaring makes some prefixes much more frequent than others.
    const prefix = Math.floor(random() ** 2 * prefixes);
    const upstream = choose(entry, prefix);
    entry.upstreamKnowledge[upstream.index].inFlight++;
    const request = {entry, arrivedAt: now, prefix, upstream};
    if (upstream.running < LIMIT) start(request);
    else upstream.queue.push(request);
  };
  const meanGapMs = MISS_MS / (count * LIMIT * UTILIZATION);
  const warmUpEnd = total * meanGapMs * WARM_UP_SHARE;
  events.push({at: 0, perform: arrive});
  for (let event = events.pop(); event; event = events.pop()) {
    now = event.at;
    event.perform();
  }
  return {p99Ms: getQuantile(latencies, 0.99), hitRate: hits / measured};
}
