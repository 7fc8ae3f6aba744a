import {getHash32} from '@vanillacross/common';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

import type {Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

export interface ScoringOptions extends ServiceOptions {
  /** Service time of a scoring request, ms. */
  serviceMs?: number;
}

const sampleSchema = z.object({
  sampleId: z.string(),
  prompt: z.string(),
  text: z.string(),
});

/** A scoring service whose scores depend only on prompt and text. */
export interface ScoringStandIn extends Service {
  /** Number of scoring requests, by sample id. */
  getCounts(): Record<string, number>;
}

/** Returns the score of a text, from 0 up to but not including 1. */
export function getScore(prompt: string, text: string): number {
  return (getHash32(`${prompt}|${text}`) % 1_000) / 1_000;
}

export async function createScoring(
  options: ScoringOptions = {},
): Promise<ScoringStandIn> {
  const counts = new Map<string, number>();
  const service = await createService(
    [
      createRoute('POST /v1/score', async ({parse}) => {
        const {sampleId, prompt, text} = parse(sampleSchema);
        counts.set(sampleId, (counts.get(sampleId) ?? 0) + 1);
        await sleep(options.serviceMs ?? 1);
        return {status: 200, body: {score: getScore(prompt, text)}};
      }),
      createRoute('GET /audit', () => ({
        status: 200,
        body: Object.fromEntries(counts),
      })),
    ],
    options,
  );
  return {...service, getCounts: () => Object.fromEntries(counts)};
}
