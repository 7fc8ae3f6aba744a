import type {LoadResult} from './load.js';
import {getLatencyQuantile, isSuccess, runOpenLoop} from './load.js';
import {
  createLookupRequest,
  startLookupDeployment,
} from './lookupDeployment.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const REQUESTS_PER_SECOND = 150;
const PHASE_MS = 6_000;
const ROUNDS = 3;
/**
 * Time after which a failure domain that is out must get no new requests, ms.
 */
const DEPARTURE_DEADLINE_MS = 3_000;
const TARGET_P99_RATIO = 1.5;

function countFailed(result: LoadResult): number {
  return result.responses.filter(response => !isSuccess(response)).length;
}

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    entries: 3,
    upstreams: 6,
    pool: {maxConcurrent: 32, ramp: {initial: 32}},
    plain: {serviceMs: 10},
    accounts: ['desk'],
  });
  let revision = 1;
  const setState = async (state: 'in' | 'out') => {
    const body = {region: 'region-1', state};
    const key = 'domain/domain-b' as const;
    await deployment.publish([{key, body, baseRevision: revision++}]);
  };
  try {
    const departing = deployment.agents.filter(a => a.domain === 'domain-b');
    const getRequest = (index: number) =>
      createLookupRequest(deployment, index, 'desk');
    await runOpenLoop(REQUESTS_PER_SECOND, 2_000, getRequest);
    const before: number[] = [];
    const during: number[] = [];
    let failed = 0;
    let late = 0;
    let requests = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const normal = await runOpenLoop(
        REQUESTS_PER_SECOND,
        PHASE_MS,
        getRequest,
      );
      const deadline = Date.now() + DEPARTURE_DEADLINE_MS;
      const departure = runOpenLoop(REQUESTS_PER_SECOND, PHASE_MS, getRequest);
      await setState('out');
      const result = await departure;
      for (const {plain} of departing) {
        const {requests: seen} = plain!.getAudit();
        late += seen.filter(request => request.atMs > deadline).length;
      }
      await setState('in');
      const returned = await runOpenLoop(
        REQUESTS_PER_SECOND,
        2_000,
        getRequest,
      );
      before.push(getLatencyQuantile(normal, 0.99));
      during.push(getLatencyQuantile(result, 0.99));
      failed += countFailed(result) + countFailed(returned);
      requests += result.responses.length + returned.responses.length;
    }
    const figure = getMedian(during);
    const baseline = getMedian(before);
    const isMet =
      failed === 0 && late === 0 && figure <= baseline * TARGET_P99_RATIO;
    return {
      headers: ['phase', 'p99 ms', 'failed', 'new requests after 3 s'],
      rows: [
        ['before', baseline.toFixed(1), '-', '-'],
        ['departure', figure.toFixed(1), String(failed), String(late)],
      ],
      figure,
      baseline,
      details: {failed, late, requests},
      conclusion: `target ${isMet ? 'met' : 'missed'}: no failures, p99 at most ${TARGET_P99_RATIO} times the baseline, no new requests to the failure domain after 3 s`,
    };
  } finally {
    await deployment.stop();
  }
}

export const domainDeparture: Bench = {
  name: 'domain-departure',
  summary: 'a failure domain is taken out and back in under load',
  run,
};
