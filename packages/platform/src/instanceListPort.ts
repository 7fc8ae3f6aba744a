import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {InstanceListPort} from './types.js';

const changesSchema = z.object({
  version: z.number().int().min(0),
  full: z.boolean(),
  instances: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['entry', 'agent']),
      domain: z.string(),
      address: z.string(),
      peerAddress: z.string(),
      state: z.enum(['live', 'leaving']),
      upstream: z.object({id: z.string(), pool: z.string()}).optional(),
    }),
  ),
  removed: z.array(z.string()),
});

/** Creates an HTTP adapter for the platform's instance list. */
export function createInstanceListPort(baseUrl: string): InstanceListPort {
  const client = createPlatformHttpClient(baseUrl);
  return {
    getChanges: (since, role) =>
      client.request({
        method: 'GET',
        path: `/v1/instances?since=${since}${role ? `&role=${role}` : ''}`,
        schema: changesSchema,
        hasEffect: false,
      }),
  };
}
