import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';
import {resetSocket} from './resetSocket.js';

export interface PlatformEngineOptions extends ServiceOptions {
  id: string;
  model: string;
  /** Events of every sample. */
  events?: number;
  /** Pause between two events, ms. */
  paceMs?: number;
  /** Time of a change of version, ms. */
  loadMs?: number;
}

/** One run of a sample that the engine began. */
export interface PlatformEngineRun {
  id: string;
  /** Event after which it went on. */
  after: number;
  version: number;
  account: string | undefined;
  authorization: string | undefined;
}

/** An order as the engine received it. */
export interface PlatformEngineOrder {
  model: string;
  version: number;
  holder: string;
  fence: number;
  status: number;
}

/** An engine or plain service that speaks the platform's protocol. */
export interface PlatformEngineStandIn extends Service {
  runs: PlatformEngineRun[];
  orders: PlatformEngineOrder[];
  /** Other requests by id, each time that they ran. */
  calls: string[];
  setPace(paceMs: number): void;
  /** Resets streams after this many events of a run; null stops that. */
  setCutAfterEvents(events: number | null): void;
  getServiceRecord(service: string, zone: string): Record<string, unknown>;
}

const orderSchema = z.object({
  model: z.string(),
  version: z.number(),
  holder: z.string(),
  fence: z.number(),
  expected: z.number().optional(),
});

/** Text of an event; the same at every engine and for every run. */
export function getEventText(sample: string, id: number): string {
  return `${sample}-${id}`;
}

export async function createPlatformEngine(
  options: PlatformEngineOptions,
): Promise<PlatformEngineStandIn> {
  const {id, model} = options;
  const bornAt = Date.now();
  const events = options.events ?? 5;
  let paceMs = options.paceMs ?? 5;
  let cutAfter: number | null = null;
  let version = 1;
  let orderCount = 0;
  let loadingUntil = 0;
  const runs: PlatformEngineRun[] = [];
  const orders: PlatformEngineOrder[] = [];
  const calls: string[] = [];
  const isLoading = () => performance.now() < loadingUntil;

  const getOne = (exchange: RouteContext, name: string) => {
    const value = exchange.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };

  const order = (exchange: RouteContext): Reply => {
    const body = exchange.parse(orderSchema);
    const isExpected =
      body.expected === undefined || body.expected === orderCount;
    const status = isLoading() || !isExpected ? 409 : 202;
    orders.push({...body, status});
    if (status === 202) {
      orderCount++;
      const loadMs = options.loadMs ?? 50;
      loadingUntil = performance.now() + loadMs;
      setTimeout(() => (version = body.version), loadMs);
    }
    exchange.response.writeHead(status);
    exchange.response.end();
    return undefined;
  };

  const generate = async (exchange: RouteContext): Promise<Reply> => {
    const {response, signal} = exchange;
    const sample = getOne(exchange, 'request-id') ?? '';
    const after = Number(getOne(exchange, 'last-event-id') ?? 0);
    if (isLoading()) {
      response.writeHead(503, {'Not-Executed': '1', 'Request-Id': sample});
      response.end();
      return undefined;
    }
    runs.push({
      id: sample,
      after,
      version,
      account: getOne(exchange, 'tenant'),
      authorization: getOne(exchange, 'authorization'),
    });
    let told = version;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'Request-Id': sample,
      'Response-Stamp': `stamp.${sample}`,
      'Weight-Versions': String(version),
    });
    for (let event = after + 1; event <= events; event++) {
      await sleep(paceMs);
      if (signal.aborted) return undefined;
      if (cutAfter !== null && event - after > cutAfter) {
        if (response.socket) resetSocket(response.socket);
        return undefined;
      }
      const label = told === version ? '' : `weight-versions: ${version}\n`;
      told = version;
      response.write(
        `${label}id: ${event}\ndata: ${getEventText(sample, event)}\n\n`,
      );
    }
    response.end();
    return undefined;
  };

  const call = (exchange: RouteContext): Reply => {
    const request = getOne(exchange, 'request-id') ?? '';
    calls.push(request);
    return {
      status: 200,
      body: {id: request, from: id},
      headers: {'Request-Id': request, 'Response-Stamp': `stamp.${request}`},
    };
  };

  const service = await createService(
    [
      createRoute('GET /vanillacross/report', () => ({
        status: 200,
        body: {
          busy: isLoading(),
          seq: orderCount,
          models: [{name: model, version, adapters: []}],
        },
      })),
      createRoute('POST /vanillacross/order', order),
      createRoute('POST /steps/*', generate),
      createRoute('* /*', call),
    ],
    options,
  );
  return {
    ...service,
    runs,
    orders,
    calls,
    setPace: pace => (paceMs = pace),
    setCutAfterEvents: count => (cutAfter = count),
    getServiceRecord: (serviceName, zone) => ({
      service: serviceName,
      address: service.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: bornAt,
      models: [{name: model, version, adapters: []}],
    }),
  };
}
