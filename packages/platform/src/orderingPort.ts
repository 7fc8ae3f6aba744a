import type {JsonResponse, Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';
import type {AgentOptions} from 'node:http';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {OrderingPort, PlatformFailure} from './types.js';

const statusSchema = z.object({status: z.string()});
const staleSchema = z.object({highest: z.number().int()});
const upstreamsSchema = z.object({
  upstreams: z.array(
    z.object({id: z.string(), pool: z.string(), state: z.string()}),
  ),
});

/** Maps status 409, the response to an order with a stale fencing number. */
function getStaleFailure(
  response: JsonResponse,
): Result<never, PlatformFailure> | undefined {
  if (response.status !== 409) return undefined;
  const stale = staleSchema.safeParse(response.body);
  if (!stale.success) return fail({tag: 'rejected', detail: 'status 409'});
  return fail({tag: 'stale_fencing', highest: stale.data.highest});
}

/**
 * Creates an HTTP adapter for the interface for upstream orders of one failure
 * domain.
 */
export function createOrderingPort(
  baseUrl: string,
  connection?: AgentOptions,
): OrderingPort {
  const client = createPlatformHttpClient(baseUrl, connection);
  const getPath = (orderId: string) =>
    `/v1/orders/${encodeURIComponent(orderId)}`;
  return {
    placeOrder: ({orderId, ...order}, timeoutMs, mayWrite) =>
      client.request({
        method: 'PUT',
        path: getPath(orderId),
        body: order,
        schema: statusSchema,
        hasEffect: true,
        timeoutMs,
        mayWrite,
        interpretResponse: getStaleFailure,
      }),
    getOrder: orderId =>
      client.request<{status: string} | null>({
        method: 'GET',
        path: getPath(orderId),
        schema: statusSchema,
        hasEffect: false,
        interpretResponse: ({status}) =>
          status === 404 ? ok(null) : undefined,
      }),
    getUpstreams: async () => {
      const response = await client.request({
        method: 'GET',
        path: '/v1/upstreams',
        schema: upstreamsSchema,
        hasEffect: false,
      });
      return response.ok ? ok(response.value.upstreams) : response;
    },
  };
}
