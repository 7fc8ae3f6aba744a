import {ok} from '@vanillacross/common';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {WeightStorePort} from './types.js';

const versionsSchema = z.object({
  versions: z.array(
    z.object({
      version: z.number().int(),
      bytes: z.number(),
      publishedAtMs: z.number(),
    }),
  ),
});

/** Creates an HTTP adapter for the platform's weight store. */
export function createWeightStorePort(baseUrl: string): WeightStorePort {
  const client = createPlatformHttpClient(baseUrl);
  return {
    getVersions: async model => {
      const response = await client.request({
        method: 'GET',
        path: `/v1/weights/${encodeURIComponent(model)}`,
        schema: versionsSchema,
        hasEffect: false,
      });
      return response.ok ? ok(response.value.versions) : response;
    },
  };
}
