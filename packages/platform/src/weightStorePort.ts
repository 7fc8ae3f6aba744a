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

/** Creates the adapter of the platform's weight store. */
export function createWeightStorePort(baseUrl: string): WeightStorePort {
  const caller = createPlatformHttpClient(baseUrl);
  return {
    getVersions: async model => {
      const answer = await caller.request({
        method: 'GET',
        path: `/v1/weights/${encodeURIComponent(model)}`,
        schema: versionsSchema,
        hasEffect: false,
      });
      return answer.ok ? ok(answer.value.versions) : answer;
    },
  };
}
