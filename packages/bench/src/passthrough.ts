import {
  createAccountRecords,
  createProcessHarness,
  createRecord,
  startDeployment,
} from '@vanillacross/integration';
import type {ProcessHarness} from '@vanillacross/integration';
import {fileURLToPath} from 'node:url';

import type {LoadRequest} from './load.js';
import {
  getGoodput,
  getLatencyQuantile,
  isSuccess,
  runClosedLoop,
} from './load.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const KEY = 'passthrough-key';
const WORKERS = 32;
const ROUND_MS = 2_500;
const ROUNDS = 5;
const TARGET_RATIO = 0.8;
const TARGET_P99_RATIO = 1.5;
const HOP_FILE = fileURLToPath(new URL('./bareHop.js', import.meta.url));
const STANDINS_FILE = fileURLToPath(
  new URL('../../standins/dist/main.js', import.meta.url),
);

interface Round {
  perSecond: number;
  p99Ms: number;
  failed: number;
}

async function runRound(url: string): Promise<Round> {
  const request: LoadRequest = {
    method: 'GET',
    url: `${url}/lookup/seat`,
    headers: {authorization: `Bearer ${KEY}`},
  };
  const result = await runClosedLoop(WORKERS, ROUND_MS, () => request);
  return {
    perSecond: getGoodput(result),
    p99Ms: getLatencyQuantile(result, 0.99),
    failed: result.responses.filter(answer => !isSuccess(answer)).length,
  };
}

/** Starts a chain of two bare hops before a service. */
async function startBareChain(
  harness: ProcessHarness,
  serviceUrl: string,
): Promise<string> {
  let url = serviceUrl;
  for (const name of ['inner hop', 'outer hop']) {
    const hop = await harness.startProcess({
      name,
      file: HOP_FILE,
      args: [url],
    });
    url = `http://${String(hop.ready.address)}`;
  }
  return url;
}

async function run(): Promise<Measurement> {
  const harness = createProcessHarness();
  // One service for both paths, so that its cost and process are the same.
  const service = await harness.startProcess({
    name: 'service',
    file: STANDINS_FILE,
    args: ['plain', '--listen', '127.0.0.1:0'],
  });
  const serviceUrl = `http://${String(service.ready.address)}`;
  const deployment = await startDeployment({
    domains: ['domain-a'],
    entries: 1,
    pools: [
      {
        id: 'seats',
        body: {kind: 'plain', maxConcurrent: 256, ramp: {initial: 256}},
        upstreams: 1,
        serviceUrl,
      },
    ],
    records: [
      ...createAccountRecords('desk', KEY, {maxConcurrent: 256}),
      createRecord('route', 'lookup', {
        pathPrefix: '/lookup',
        methods: ['GET'],
        pool: 'seats',
        access: ['desk'],
        repeat: 'idempotent',
      }),
    ],
  });
  try {
    const bareUrl = await startBareChain(harness, serviceUrl);
    const systemUrl = deployment.entries[0].url;
    await runRound(bareUrl);
    await runRound(systemUrl);
    const bare: Round[] = [];
    const system: Round[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      bare.push(await runRound(bareUrl));
      system.push(await runRound(systemUrl));
    }
    return summarize(bare, system);
  } finally {
    await deployment.stop();
    await harness.stopAll();
  }
}

function summarize(bare: Round[], system: Round[]): Measurement {
  const median = (rounds: Round[], field: keyof Round) =>
    getMedian(rounds.map(round => round[field]));
  const figure = median(system, 'perSecond');
  const baseline = median(bare, 'perSecond');
  const p99Ratio = median(system, 'p99Ms') / median(bare, 'p99Ms');
  const failed = system.reduce((sum, round) => sum + round.failed, 0);
  const isMet =
    figure / baseline >= TARGET_RATIO &&
    p99Ratio <= TARGET_P99_RATIO &&
    failed === 0;
  const getRow = (name: string, rounds: Round[]) => [
    name,
    median(rounds, 'perSecond').toFixed(0),
    median(rounds, 'p99Ms').toFixed(1),
    String(rounds.reduce((sum, round) => sum + round.failed, 0)),
  ];
  return {
    headers: ['path', 'requests/s', 'p99 ms', 'failed'],
    rows: [getRow('two bare hops', bare), getRow('entry and agent', system)],
    figure,
    baseline,
    details: {p99Ratio, failed},
    conclusion: `target ${isMet ? 'met' : 'missed'}: ratio at least ${TARGET_RATIO}, p99 at most ${TARGET_P99_RATIO} times, none failed`,
  };
}

export const passthrough: Bench = {
  name: 'passthrough',
  summary: 'requests a second through entry and agent, against two bare hops',
  run,
};
