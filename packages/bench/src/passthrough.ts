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

const API_KEY = 'passthrough-key';
const WORKERS = 32;
const ROUND_MS = 2_500;
const ROUNDS = 5;
const TARGET_RATIO = 0.8;
const TARGET_P99_RATIO = 1.5;
const PROXY_FILE = fileURLToPath(new URL('./bareHop.js', import.meta.url));
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
    headers: {authorization: `Bearer ${API_KEY}`},
  };
  const result = await runClosedLoop(WORKERS, ROUND_MS, () => request);
  return {
    perSecond: getGoodput(result),
    p99Ms: getLatencyQuantile(result, 0.99),
    failed: result.responses.filter(response => !isSuccess(response)).length,
  };
}

/** Starts a chain of two plain proxies in front of a service. */
async function startProxyChain(
  harness: ProcessHarness,
  serviceUrl: string,
): Promise<string> {
  let url = serviceUrl;
  for (const name of ['inner proxy', 'outer proxy']) {
    const proxy = await harness.startProcess({
      name,
      file: PROXY_FILE,
      args: [url],
    });
    url = `http://${String(proxy.ready.address)}`;
  }
  return url;
}

async function run(): Promise<Measurement> {
  const harness = createProcessHarness();
  // Both paths use the same service process, so that its cost is the same.
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
      ...createAccountRecords('desk', API_KEY, {maxConcurrent: 256}),
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
    const proxyUrl = await startProxyChain(harness, serviceUrl);
    const systemUrl = deployment.entries[0].url;
    await runRound(proxyUrl);
    await runRound(systemUrl);
    const proxyRounds: Round[] = [];
    const systemRounds: Round[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      proxyRounds.push(await runRound(proxyUrl));
      systemRounds.push(await runRound(systemUrl));
    }
    return summarize(proxyRounds, systemRounds);
  } finally {
    await deployment.stop();
    await harness.stopAll();
  }
}

function summarize(proxyRounds: Round[], systemRounds: Round[]): Measurement {
  const median = (rounds: Round[], field: keyof Round) =>
    getMedian(rounds.map(round => round[field]));
  const figure = median(systemRounds, 'perSecond');
  const baseline = median(proxyRounds, 'perSecond');
  const p99Ratio = median(systemRounds, 'p99Ms') / median(proxyRounds, 'p99Ms');
  const failed = systemRounds.reduce((sum, round) => sum + round.failed, 0);
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
    rows: [
      getRow('two plain proxies', proxyRounds),
      getRow('entry and agent', systemRounds),
    ],
    figure,
    baseline,
    details: {p99Ratio, failed},
    conclusion: `target ${isMet ? 'met' : 'missed'}: throughput ratio at least ${TARGET_RATIO}, p99 at most ${TARGET_P99_RATIO} times the baseline, no failures`,
  };
}

export const passthrough: Bench = {
  name: 'passthrough',
  summary:
    'requests per second through entry and agent, compared with two plain proxies',
  run,
};
