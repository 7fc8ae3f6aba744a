import {setTimeout as sleep} from 'node:timers/promises';

import {getLatencyQuantile, isSuccess, runOpenLoop} from './load.js';
import {
  createLookupRequest,
  startLookupDeployment,
} from './lookupDeployment.js';
import type {Bench, Measurement} from './types.js';

const REQUESTS_PER_SECOND = 150;
const BEFORE_MS = 5_000;
/** Longer than the lease duration and its safety margin together, ms. */
const OUTAGE_MS = 15_000;

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    entries: 3,
    upstreams: 6,
    pool: {maxConcurrent: 32, ramp: {initial: 32}},
    accounts: ['desk'],
  });
  try {
    const getRequest = (index: number) =>
      createLookupRequest(deployment, index, 'desk');
    await runOpenLoop(REQUESTS_PER_SECOND, 2_000, getRequest);
    const before = await runOpenLoop(
      REQUESTS_PER_SECOND,
      BEFORE_MS,
      getRequest,
    );
    deployment.platform.log.setOutage(true);
    const during = await runOpenLoop(
      REQUESTS_PER_SECOND,
      OUTAGE_MS,
      getRequest,
    );
    deployment.platform.log.setOutage(false);
    await sleep(1_000);
    const countFailed = (result: typeof before) =>
      result.responses.filter(response => !isSuccess(response)).length;
    const getRow = (name: string, result: typeof before) => [
      name,
      String(result.responses.length),
      String(countFailed(result)),
      getLatencyQuantile(result, 0.99).toFixed(1),
    ];
    const failed = countFailed(during);
    return {
      headers: ['phase', 'requests', 'failed', 'p99 ms'],
      rows: [getRow('before', before), getRow('log outage', during)],
      figure: failed,
      baseline: countFailed(before),
      details: {requests: during.responses.length},
      conclusion: `target ${failed === 0 ? 'met' : 'missed'}: no request failed`,
    };
  } finally {
    await deployment.stop();
  }
}

export const logOutage: Bench = {
  name: 'log-outage',
  summary: 'failed requests during a log outage of 15 s, target 0',
  run,
};
