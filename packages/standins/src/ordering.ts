import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

const orderSchema = z.object({
  fencing: z.number(),
  pool: z.string(),
  action: z.enum(['start', 'stop']),
  upstream: z.string().optional(),
  count: z.number().int().positive().optional(),
});
export type PlatformOrder = z.infer<typeof orderSchema> & {orderId: string};

export interface OrderedUpstream {
  id: string;
  pool: string;
  state: string;
}

export interface OrderingOptions extends ServiceOptions {
  checksFencing?: boolean;
  /** Failure domain, used as prefix of the ids of started upstreams. */
  domain?: string;
  /** Called to start an upstream, for example a process. */
  onStart?: (pool: string, id: string) => Promise<void> | void;
  /** Called to stop an upstream. */
  onStop?: (id: string) => Promise<void> | void;
}

/** An order as received, including repeated and refused ones. */
export interface ReceivedOrder extends PlatformOrder {
  atMs: number;
  result: 'executed' | 'repeated' | 'stale';
}

/**
 * The platform's interface for starting and stopping upstreams of one failure
 * domain.
 */
export interface OrderingStandIn extends Service {
  getAudit(): readonly ReceivedOrder[];
  getUpstreams(): readonly OrderedUpstream[];
  addUpstream(upstream: OrderedUpstream): void;
}

export async function createOrdering(
  options: OrderingOptions = {},
): Promise<OrderingStandIn> {
  const audit: ReceivedOrder[] = [];
  const statuses = new Map<string, string>();
  const upstreams = new Map<string, OrderedUpstream>();
  let highestFencing = -1;
  let startedCount = 0;

  const start = async ({pool, count}: PlatformOrder) => {
    for (let i = 0; i < (count ?? 1); i++) {
      const id = `${options.domain ?? 'domain'}-${pool}-${++startedCount}`;
      upstreams.set(id, {id, pool, state: 'starting'});
      await options.onStart?.(pool, id);
      upstreams.set(id, {id, pool, state: 'running'});
    }
    return 'done';
  };
  const stop = async ({upstream}: PlatformOrder) => {
    if (!upstream || !upstreams.delete(upstream)) return 'unknown_upstream';
    await options.onStop?.(upstream);
    return 'done';
  };
  /**
   * Runs in the background, because starting an upstream takes longer than a
   * request.
   */
  const execute = async (order: PlatformOrder): Promise<void> => {
    statuses.set(order.orderId, 'accepted');
    const perform = {start, stop}[order.action];
    const status = await perform(order).catch((error: Error) => {
      return `failed: ${error.message}`;
    });
    statuses.set(order.orderId, status);
  };
  const receive = ({params, parse}: RouteContext): Reply => {
    const order = {...parse(orderSchema), orderId: params[0]};
    const recordAudit = (result: ReceivedOrder['result']) =>
      audit.push({...order, atMs: Date.now(), result});
    if (statuses.has(order.orderId)) {
      recordAudit('repeated');
      return {status: 200, body: {status: statuses.get(order.orderId)}};
    }
    if (options.checksFencing && order.fencing < highestFencing) {
      recordAudit('stale');
      return {status: 409, body: {highest: highestFencing}};
    }
    highestFencing = Math.max(highestFencing, order.fencing);
    recordAudit('executed');
    void execute(order);
    return {status: 200, body: {status: 'accepted'}};
  };
  const service = await createService(
    [
      createRoute('PUT /v1/orders/:order', receive),
      createRoute('GET /v1/orders/:order', ({params}) => {
        const status = statuses.get(params[0]);
        return status
          ? {status: 200, body: {status}}
          : {status: 404, body: {error: 'unknown order'}};
      }),
      createRoute('GET /v1/upstreams', () => ({
        status: 200,
        body: {upstreams: [...upstreams.values()]},
      })),
      createRoute('GET /audit', () => ({status: 200, body: audit})),
    ],
    options,
  );
  return {
    ...service,
    getAudit: () => audit,
    getUpstreams: () => [...upstreams.values()],
    addUpstream: upstream => void upstreams.set(upstream.id, upstream),
  };
}
