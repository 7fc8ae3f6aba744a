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
/** About 1/4 of the capacity is the share of an account. */
const SHARE_PER_SECOND = 50;
const SMALL_PER_SECOND = 25;
const LARGE_PER_SECOND = 10 * SHARE_PER_SECOND;
const PHASE_MS = 4_000;
const ROUNDS = 3;
const SERVICE_MS = 20;
/** 4 requests of 20 ms at once: 200 requests a second. */
const CONCURRENCY = 4;
const TARGET_RATIO = 1.2;
const HOP_FILE = fileURLToPath(new URL('./bareHop.js', import.meta.url));

type SendAs = (account: string, perSecond: number) => Promise<LoadResult>;

/** The worst p99 of the small accounts, ms. */
async function getWorst(sendAs: SendAs, hasBurst: boolean): Promise<number> {
  const burst = hasBurst ? sendAs(LARGE_ACCOUNT, LARGE_PER_SECOND) : null;
  const results = await Promise.all(
    SMALL_ACCOUNTS.map(account => sendAs(account, SMALL_PER_SECOND)),
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
    const hop = await harness.startProcess({
      name: 'one queue',
      file: HOP_FILE,
      args: [url],
    });
    const fair: SendAs = (account, perSecond) =>
      runOpenLoop(perSecond, PHASE_MS, index =>
        createLookupRequest(deployment, index, account),
      );
    const oneQueue: SendAs = (_account, perSecond) =>
      runOpenLoop(perSecond, PHASE_MS, index => ({
        method: 'GET',
        url: `http://${String(hop.ready.address)}/lookup/${index}`,
      }));
    await getWorst(fair, false);
    const alone: number[] = [];
    const burst: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      alone.push(await getWorst(fair, false));
      burst.push(await getWorst(fair, true));
    }
    // The queue of the bare hop is not bounded, so it runs once and last.
    const queueAlone = await getWorst(oneQueue, false);
    const queueBurst = await getWorst(oneQueue, true);
    const figure = getMedian(burst);
    const baseline = getMedian(alone);
    const isMet = figure <= baseline * TARGET_RATIO;
    return {
      headers: ['queueing', 'p99 alone ms', 'p99 with burst ms'],
      rows: [
        ['fair', baseline.toFixed(1), figure.toFixed(1)],
        ['one queue', queueAlone.toFixed(1), queueBurst.toFixed(1)],
      ],
      figure,
      baseline,
      details: {oneQueueRatio: queueBurst / queueAlone},
      conclusion: `target ${isMet ? 'met' : 'missed'}: p99 of the worst other account at most ${TARGET_RATIO} times`,
    };
  } finally {
    await deployment.stop();
    await harness.stopAll();
  }
}

export const fairness: Bench = {
  name: 'fairness',
  summary: 'one account offers ten times its share; p99 of the worst other',
  run,
};
