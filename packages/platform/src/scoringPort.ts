import {ok} from '@vanillacross/common';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {ScoringPort} from './types.js';

/** A scoring model may take long; the sample waits for it, ms. */
const SCORE_TIMEOUT_MS = 30_000;

const scoreSchema = z.object({score: z.number()});

/** Creates the adapter of a scoring service. Scoring changes nothing there. */
export function createScoringPort(baseUrl: string): ScoringPort {
  const caller = createPlatformHttpClient(baseUrl);
  return {
    score: async (sampleId, prompt, text) => {
      const answer = await caller.request({
        method: 'POST',
        path: '/v1/score',
        body: {sampleId, prompt, text},
        schema: scoreSchema,
        hasEffect: false,
        timeoutMs: SCORE_TIMEOUT_MS,
      });
      return answer.ok ? ok(answer.value.score) : answer;
    },
  };
}
