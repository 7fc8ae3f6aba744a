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
const INITIAL_LIMIT = 2;
const MAX_CONCURRENT = 16;
/**
 * Concurrency that a cold upstream can handle; the ramp exceeds it only once
 * the upstream is warm.
 */
const COLD_CONCURRENCY = 4;
const COLD_MS = 900;
/** Shortest possible ramp: one step for each doubling of the initial limit. */
const SHORTEST_RAMP_MS =
  Math.ceil(Math.log2(MAX_CONCURRENT / INITIAL_LIMIT)) * STEP_MS;
const POLL_INTERVAL_MS = 10;
/**
 * Service time of a request, ms. Long enough for the load generator to keep all
 * upstreams saturated.
 */
const SERVICE_MS = 200;

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    entries: 2,
    upstreams: 3,
    pool: {
      maxConcurrent: MAX_CONCURRENT,
      ramp: {initial: INITIAL_LIMIT, factor: 2, stepMs: STEP_MS},
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
    const rampDurationsMs: number[] = [];
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
      const deadline = performance.now() + LOAD_MS - 4_500;
      while (performance.now() < deadline && fullAt === null) {
        const audit = getAudit();
        if (audit.requests.length > 0) startedAt ??= performance.now();
        if (audit.peak >= MAX_CONCURRENT) fullAt = performance.now();
        await sleep(POLL_INTERVAL_MS);
      }
      const end = fullAt ?? performance.now();
      const result = await load;
      const audit = getAudit();
      // Without full concurrency, the ramp counts as lasting until the deadline.
      if (!fullAt) unreached++;
      rampDurationsMs.push(end - (startedAt ?? deadline));
      peak = Math.max(peak, audit.peakWhileCold);
      if (audit.peakWhileCold > COLD_CONCURRENCY) exceeded++;
      crashes += audit.crashes;
      failed += result.responses.filter(
        response => !isSuccess(response),
      ).length;
      await deployment.remove(agent, 'SIGTERM');
    }
    const figure = getMedian(rampDurationsMs);
    return {
      headers: [
        'ramp',
        'full concurrency ms',
        'peak while cold',
        'crashes',
        'failed',
      ],
      rows: [
        ['shortest ramp', SHORTEST_RAMP_MS.toFixed(0), '-', '-', '-'],
        [
          'agent',
          figure.toFixed(0),
          `${peak} of ${COLD_CONCURRENCY}`,
          String(crashes),
          String(failed),
        ],
      ],
      figure,
      baseline: SHORTEST_RAMP_MS,
      details: {exceeded, unreached, crashes, failed, peakWhileCold: peak},
      conclusion: `target ${exceeded === 0 ? 'met' : 'missed'}: a cold upstream's limit was exceeded in ${exceeded} of ${ROUNDS} rounds, full concurrency not reached in ${unreached}`,
    };
  } finally {
    await deployment.stop();
  }
}

export const coldStart: Bench = {
  name: 'cold-start',
  summary: 'a cold upstream joins under full load; its limit is never exceeded',
  run,
};
