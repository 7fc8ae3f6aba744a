import {ok} from '@vanillacross/common';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {ScoringPort} from './types.js';

/**
 * Timeout of a scoring request, ms. Scoring models may be slow, and the sample
 * waits for its score.
 */
const SCORE_TIMEOUT_MS = 30_000;

const scoreSchema = z.object({score: z.number()});

/**
 * Creates an HTTP adapter for a scoring service. A scoring request has no side
 * effects, so it may be repeated after a lost response.
 */
export function createScoringPort(baseUrl: string): ScoringPort {
  const client = createPlatformHttpClient(baseUrl);
  return {
    score: async (sampleId, prompt, text) => {
      const response = await client.request({
        method: 'POST',
        path: '/v1/score',
        body: {sampleId, prompt, text},
        schema: scoreSchema,
        hasEffect: false,
        timeoutMs: SCORE_TIMEOUT_MS,
      });
      return response.ok ? ok(response.value.score) : response;
    },
  };
}
