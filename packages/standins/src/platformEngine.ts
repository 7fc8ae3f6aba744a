import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';
import {resetSocket} from './resetSocket.js';

export interface PlatformEngineOptions extends ServiceOptions {
  id: string;
  model: string;
  /** Version of its software; 'v1' by default. */
  software?: string;
  /** Number of events in each stream. */
  events?: number;
  /** Interval between two events, ms. */
  paceMs?: number;
  /** Time to load another weight version, ms. */
  loadMs?: number;
}

/** A generation of a stream that the engine started. */
export interface PlatformEngineRun {
  id: string;
  /** Id of the event after which generation resumes; 0 at the start. */
  after: number;
  version: number;
  software: string;
  account: string | undefined;
  authorization: string | undefined;
}

/** An order as received, with the status of its response. */
export interface PlatformEngineOrder {
  model: string;
  version: number;
  holder: string;
  fence: number;
  status: number;
}

/** What the stand-in states about itself with every response. */
export interface PlatformEngineNotice {
  /** Requests per second that it takes from all nodes together. */
  limit?: number;
  isLeaving?: boolean;
}

/**
 * An upstream for tests of the platform package, with the headers and the order
 * format of the real platform. Serves as an engine or as a plain service.
 */
export interface PlatformEngineStandIn extends Service {
  runs: PlatformEngineRun[];
  orders: PlatformEngineOrder[];
  /**
   * Request ids of calls outside the routes of steps, orders and reports, one
   * for each execution.
   */
  calls: string[];
  /** When each request, report call and order arrived, monotonic ms. */
  arrivals: number[];
  setNotice(notice: PlatformEngineNotice): void;
  setPace(paceMs: number): void;
  /** Leaves calls outside those routes without an answer. */
  setSilent(isSilent: boolean): void;
  /** Resets each stream after this number of events; null disables this. */
  setCutAfterEvents(count: number | null): void;
  getServiceRecord(service: string, zone: string): Record<string, unknown>;
}

const orderSchema = z.object({
  model: z.string(),
  version: z.number(),
  holder: z.string(),
  fence: z.number(),
  expected: z.number().optional(),
});

/**
 * Returns the text of an event, which is the same for every engine and every
 * run.
 */
export function getEventText(sample: string, id: number): string {
  return `${sample}-${id}`;
}

export async function createPlatformEngine(
  options: PlatformEngineOptions,
): Promise<PlatformEngineStandIn> {
  const {id, model, software = 'v1'} = options;
  const startedAtMs = Date.now();
  const eventsPerSample = options.events ?? 5;
  let paceMs = options.paceMs ?? 5;
  let cutAfterEvents: number | null = null;
  let isSilent = false;
  let version = 1;
  let orderCount = 0;
  let loadingUntil = 0;
  const runs: PlatformEngineRun[] = [];
  const orders: PlatformEngineOrder[] = [];
  const calls: string[] = [];
  const arrivals: number[] = [];
  let notice: PlatformEngineNotice = {};
  const isLoading = () => performance.now() < loadingUntil;

  const getHeader = (context: RouteContext, name: string) => {
    const value = context.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };

  /** Notes an arrival and returns the headers that state the notice. */
  const arrive = (): Record<string, string> => {
    arrivals.push(performance.now());
    return {
      ...(notice.limit === undefined
        ? {}
        : {'Server-Limit': String(notice.limit)}),
      ...(notice.isLeaving ? {'Server-Leaving': '1'} : {}),
    };
  };

  const receiveOrder = (context: RouteContext): Reply => {
    const body = context.parse(orderSchema);
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
    context.response.writeHead(status, arrive());
    context.response.end();
    return undefined;
  };

  const generate = async (context: RouteContext): Promise<Reply> => {
    const {response, signal} = context;
    const sample = getHeader(context, 'request-id') ?? '';
    const after = Number(getHeader(context, 'last-event-id') ?? 0);
    const noticeHeaders = arrive();
    if (isLoading()) {
      response.writeHead(503, {
        ...noticeHeaders,
        'Not-Executed': '1',
        'Request-Id': sample,
      });
      response.end();
      return undefined;
    }
    runs.push({
      id: sample,
      after,
      version,
      software,
      account: getHeader(context, 'tenant'),
      authorization: getHeader(context, 'authorization'),
    });
    let announcedVersion = version;
    response.writeHead(200, {
      ...noticeHeaders,
      'content-type': 'text/event-stream',
      'Request-Id': sample,
      'Response-Stamp': `stamp.${sample}`,
      'Weight-Versions': String(version),
    });
    for (let event = after + 1; event <= eventsPerSample; event++) {
      await sleep(paceMs);
      if (signal.aborted) return undefined;
      if (cutAfterEvents !== null && event - after > cutAfterEvents) {
        if (response.socket) resetSocket(response.socket);
        return undefined;
      }
      const label =
        announcedVersion === version ? '' : `weight-versions: ${version}\n`;
      announcedVersion = version;
      response.write(
        `${label}id: ${event}\ndata: ${getEventText(sample, event)}\n\n`,
      );
    }
    response.end();
    return undefined;
  };

  const receiveCall = async (context: RouteContext): Promise<Reply> => {
    const request = getHeader(context, 'request-id') ?? '';
    calls.push(request);
    if (isSilent) await once(context.signal, 'abort');
    return {
      status: 200,
      body: {id: request, from: id},
      headers: {
        ...arrive(),
        'Request-Id': request,
        'Response-Stamp': `stamp.${request}`,
      },
    };
  };

  const service = await createService(
    [
      createRoute('GET /vanillacross/report', () => ({
        status: 200,
        headers: arrive(),
        body: {
          busy: isLoading(),
          seq: orderCount,
          models: [{name: model, version, adapters: []}],
        },
      })),
      createRoute('POST /vanillacross/order', receiveOrder),
      createRoute('POST /steps/*', generate),
      createRoute('POST /chat/*', generate),
      createRoute('POST /usage', () => ({status: 200, body: {}})),
      createRoute('* /*', receiveCall),
    ],
    options,
  );
  return {
    ...service,
    runs,
    orders,
    calls,
    arrivals,
    setNotice: stated => (notice = stated),
    setSilent: silent => (isSilent = silent),
    setPace: pace => (paceMs = pace),
    setCutAfterEvents: count => (cutAfterEvents = count),
    getServiceRecord: (serviceName, zone) => ({
      service: serviceName,
      address: service.address,
      zone,
      version: software,
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: startedAtMs,
      models: [{name: model, version, adapters: []}],
    }),
  };
}
