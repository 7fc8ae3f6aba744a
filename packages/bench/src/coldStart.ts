import {setTimeout as sleep} from 'node:timers/promises';

import {isSuccess, runClosedLoop} from './load.js';
import {
  createLookupRequest,
  startLookupDeployment,
} from './lookupDeployment.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const ROUNDS = 3;
const WORKERS = 96;
const LOAD_MS = 12_000;
const STEP_MS = 500;
const INITIAL = 2;
const MAX_CONCURRENT = 16;
/** The upstream is warm before the ramp passes this. */
const COLD_CONCURRENCY = 4;
const COLD_MS = 900;
/** Doublings from the initial limit to the full one, a step each. */
const BEST_MS = Math.ceil(Math.log2(MAX_CONCURRENT / INITIAL)) * STEP_MS;
const POLL_MS = 10;
/** Long enough that the load generator can keep all upstreams full, ms. */
const SERVICE_MS = 200;

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    entries: 2,
    upstreams: 3,
    pool: {
      maxConcurrent: MAX_CONCURRENT,
      ramp: {initial: INITIAL, factor: 2, stepMs: STEP_MS},
    },
    plain: {
      serviceMs: SERVICE_MS,
      coldMs: COLD_MS,
      coldConcurrency: COLD_CONCURRENCY,
      coldOverload: 'crash',
    },
    accounts: ['desk'],
  });
  try {
    const spans: number[] = [];
    let exceeded = 0;
    let unreached = 0;
    let crashes = 0;
    let failed = 0;
    let peak = 0;
    let index = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const load = runClosedLoop(WORKERS, LOAD_MS, () =>
        createLookupRequest(deployment, index++, 'desk'),
      );
      await sleep(4_000);
      const agent = await deployment.addUpstream('seats', 'domain-b');
      const getAudit = agent.plain!.getAudit;
      let startedAt: number | null = null;
      let fullAt: number | null = null;
      const limit = performance.now() + LOAD_MS - 4_500;
      while (performance.now() < limit && fullAt === null) {
        const audit = getAudit();
        if (audit.requests.length > 0) startedAt ??= performance.now();
        if (audit.peak >= MAX_CONCURRENT) fullAt = performance.now();
        await sleep(POLL_MS);
      }
      const end = fullAt ?? performance.now();
      const result = await load;
      const audit = getAudit();
      // A round that never came to full use counts with the time it had.
      if (!fullAt) unreached++;
      spans.push(end - (startedAt ?? limit));
      peak = Math.max(peak, audit.peakWhileCold);
      if (audit.peakWhileCold > COLD_CONCURRENCY) exceeded++;
      crashes += audit.crashes;
      failed += result.responses.filter(answer => !isSuccess(answer)).length;
      await deployment.remove(agent, 'SIGTERM');
    }
    const figure = getMedian(spans);
    return {
      headers: ['ramp', 'full use ms', 'peak while cold', 'crashes', 'failed'],
      rows: [
        ['best by steps', BEST_MS.toFixed(0), '-', '-', '-'],
        [
          'agent',
          figure.toFixed(0),
          `${peak} of ${COLD_CONCURRENCY}`,
          String(crashes),
          String(failed),
        ],
      ],
      figure,
      baseline: BEST_MS,
      details: {exceeded, unreached, crashes, failed, peakWhileCold: peak},
      conclusion: `target ${exceeded === 0 ? 'met' : 'missed'}: the limit of a cold upstream was exceeded in ${exceeded} of ${ROUNDS} rounds, full use not reached in ${unreached}`,
    };
  } finally {
    await deployment.stop();
  }
}

export const coldStart: Bench = {
  name: 'cold-start',
  summary: 'a cold upstream joins under full load; limit exceeded 0 times',
  run,
};
