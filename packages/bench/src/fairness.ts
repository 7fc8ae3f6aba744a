import {createProcessHarness} from '@vanillacross/integration';
import {fileURLToPath} from 'node:url';

import type {LoadResult} from './load.js';
import {getLatencyQuantile, runOpenLoop} from './load.js';
import {
  createLookupRequest,
  startLookupDeployment,
} from './lookupDeployment.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const SMALL_ACCOUNTS = ['small-1', 'small-2', 'small-3'];
const LARGE_ACCOUNT = 'large';
/** Fair share of each of the four accounts: a quarter of the capacity. */
const FAIR_SHARE_PER_SECOND = 50;
const SMALL_PER_SECOND = 25;
const LARGE_PER_SECOND = 10 * FAIR_SHARE_PER_SECOND;
const PHASE_MS = 4_000;
const ROUNDS = 3;
const SERVICE_MS = 20;
/** 4 concurrent requests of 20 ms make a capacity of 200 requests a second. */
const CONCURRENCY = 4;
const TARGET_RATIO = 1.2;
const PROXY_FILE = fileURLToPath(new URL('./bareHop.js', import.meta.url));

type RunLoadAs = (account: string, perSecond: number) => Promise<LoadResult>;

/** Returns the highest p99 latency of the small accounts, ms. */
async function getHighestP99(
  runLoadAs: RunLoadAs,
  withBurst: boolean,
): Promise<number> {
  const burst = withBurst ? runLoadAs(LARGE_ACCOUNT, LARGE_PER_SECOND) : null;
  const results = await Promise.all(
    SMALL_ACCOUNTS.map(account => runLoadAs(account, SMALL_PER_SECOND)),
  );
  await burst;
  return Math.max(...results.map(result => getLatencyQuantile(result, 0.99)));
}

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    domains: ['domain-a'],
    entries: 1,
    upstreams: 1,
    pool: {maxConcurrent: CONCURRENCY, ramp: {initial: CONCURRENCY}},
    plain: {serviceMs: SERVICE_MS, concurrency: CONCURRENCY},
    accounts: [...SMALL_ACCOUNTS, LARGE_ACCOUNT],
    timeoutMs: 2_000,
  });
  const harness = createProcessHarness();
  try {
    const {url} = deployment.agents[0].plain!;
    const proxy = await harness.startProcess({
      name: 'single queue',
      file: PROXY_FILE,
      args: [url],
    });
    const fairQueueing: RunLoadAs = (account, perSecond) =>
      runOpenLoop(perSecond, PHASE_MS, index =>
        createLookupRequest(deployment, index, account),
      );
    const singleQueue: RunLoadAs = (_account, perSecond) =>
      runOpenLoop(perSecond, PHASE_MS, index => ({
        method: 'GET',
        url: `http://${String(proxy.ready.address)}/lookup/${index}`,
      }));
    await getHighestP99(fairQueueing, false);
    const alone: number[] = [];
    const burst: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      alone.push(await getHighestP99(fairQueueing, false));
      burst.push(await getHighestP99(fairQueueing, true));
    }
    // The proxy's queue is unbounded, so a burst leaves a backlog; this
    // comparison therefore runs once, at the end.
    const singleQueueAlone = await getHighestP99(singleQueue, false);
    const singleQueueBurst = await getHighestP99(singleQueue, true);
    const figure = getMedian(burst);
    const baseline = getMedian(alone);
    const isMet = figure <= baseline * TARGET_RATIO;
    return {
      headers: ['queueing', 'p99 alone ms', 'p99 with burst ms'],
      rows: [
        ['fair', baseline.toFixed(1), figure.toFixed(1)],
        [
          'single queue',
          singleQueueAlone.toFixed(1),
          singleQueueBurst.toFixed(1),
        ],
      ],
      figure,
      baseline,
      details: {oneQueueRatio: singleQueueBurst / singleQueueAlone},
      conclusion: `target ${isMet ? 'met' : 'missed'}: p99 of the slowest other account at most ${TARGET_RATIO} times the baseline`,
    };
  } finally {
    await deployment.stop();
    await harness.stopAll();
  }
}

export const fairness: Bench = {
  name: 'fairness',
  summary:
    'one account sends ten times its fair share; p99 of the slowest other account',
  run,
};
