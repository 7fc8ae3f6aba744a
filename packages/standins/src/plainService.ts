import {setTimeout as sleep} from 'node:timers/promises';
import PQueue from 'p-queue';
import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';
import type {ColdStartOptions, UpstreamState} from './upstreamState.js';
import {createUpstreamState} from './upstreamState.js';

export interface PlainServiceOptions extends ServiceOptions, ColdStartOptions {
  /** Service time of a request, ms. */
  serviceMs?: number;
  /** Maximum number of concurrent requests; others are queued. */
  concurrency?: number;
  /** Name in responses, to tell replicas apart. */
  name?: string;
}

/** A plain service with idempotent lookups (`GET`) and non-idempotent calls. */
export interface PlainServiceStandIn extends Service {
  /** Number of executions of each non-`GET` call, by the `id` in its body. */
  getExecutions(): Record<string, number>;
  getAudit: UpstreamState['getAudit'];
  setServiceMs(serviceMs: number): void;
  crash(): void;
}

const callSchema = z.looseObject({id: z.string()});

export async function createPlainService(
  options: PlainServiceOptions = {},
): Promise<PlainServiceStandIn> {
  const executions = new Map<string, number>();
  const queue = new PQueue({concurrency: options.concurrency ?? 16});
  const name = options.name ?? 'plain';
  let serviceMs = options.serviceMs ?? 5;
  const state = createUpstreamState(options, () => service.resetConnections());

  const getExecutions = () => Object.fromEntries(executions);
  // The response contains the path, so that a misdelivered response is
  // detected.
  const lookUp = ({request, query}: RouteContext): Reply => ({
    status: 200,
    body: {
      path: request.url,
      from: name,
      padding: 'x'.repeat(Number(query.get('bytes') ?? 0)),
    },
  });
  // A call is counted before the service time, so that it also counts if its
  // response is lost.
  const call = (context: RouteContext): Reply => {
    const body = context.parse(callSchema);
    const count = (executions.get(body.id) ?? 0) + 1;
    executions.set(body.id, count);
    return {
      status: 200,
      body: {id: body.id, execution: count, from: name, received: body},
    };
  };
  const run = async (
    context: RouteContext,
    perform: (context: RouteContext) => Reply,
  ): Promise<Reply> => {
    if (state.isDown()) return void context.response.socket?.destroy();
    try {
      if (!state.beginRequest(context)) return;
      return await queue.add(async () => {
        if (context.signal.aborted) return;
        const reply = perform(context);
        await sleep(serviceMs);
        while (state.isStalled() && !context.signal.aborted) await sleep(10);
        return reply;
      });
    } finally {
      state.endRequest();
    }
  };
  const service = await createService(
    [
      createRoute('GET /audit', () => ({
        status: 200,
        body: {...state.getAudit(), executions: getExecutions()},
      })),
      createRoute('POST /control/crash', () => {
        setImmediate(state.crash);
        return {status: 200, body: {}};
      }),
      createRoute('PUT /control/service-time', ({parse}) => {
        serviceMs = parse(z.object({serviceMs: z.number().min(0)})).serviceMs;
        return {status: 200, body: {serviceMs}};
      }),
      createRoute('GET /health', () => ({
        status: 200,
        body: {epoch: state.getEpoch(), cold: state.isCold()},
      })),
      createRoute('GET /*', context => run(context, lookUp)),
      createRoute('* /*', context => run(context, call)),
    ],
    options,
  );
  return {
    ...service,
    getExecutions,
    getAudit: state.getAudit,
    setServiceMs: value => {
      serviceMs = value;
    },
    crash: state.crash,
  };
}
