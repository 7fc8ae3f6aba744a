import {parseAddress} from '@vanillacross/common';

import type {LoadRequest, LoadResult} from './load.js';
import {
  createKeepAliveAgent,
  getGoodput,
  isSuccess,
  runClosedLoop,
  sendRequest,
} from './load.js';
import {
  createLookupRequest,
  startLookupDeployment,
} from './lookupDeployment.js';
import {readMetrics} from './processMetrics.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const ROUNDS = 3;
const ROUND_MS = 3_000;
const WORKERS = 16;
const UPSTREAMS = 6;
const CLIENT_MAX_SENDS = 5;
const MAX_SENDS_PER_REQUEST = 1.1;

interface Round {
  goodput: number;
  sendsPerRequest: number;
  failed: number;
}

function summarizeRound(result: LoadResult, sends: number): Round {
  return {
    goodput: getGoodput(result),
    sendsPerRequest: sends / result.responses.length,
    failed: result.responses.filter(response => !isSuccess(response)).length,
  };
}

/** Runs a client-side dispatcher that sends directly to random upstreams. */
async function runClientDispatcher(
  urls: string[],
  maxSends: number,
): Promise<Round> {
  const agent = createKeepAliveAgent(WORKERS * 2);
  const responses: LoadResult['responses'] = [];
  let sends = 0;
  const start = performance.now();
  const getRequest = (): LoadRequest => {
    const url = urls[Math.floor(Math.random() * urls.length)];
    return {method: 'GET', url: `${url}/lookup/seat`};
  };
  await Promise.all(
    Array.from({length: WORKERS}, async () => {
      while (performance.now() - start < ROUND_MS) {
        let response = await sendRequest(getRequest(), agent);
        sends++;
        for (let i = 1; i < maxSends && !isSuccess(response); i++) {
          response = await sendRequest(getRequest(), agent);
          sends++;
        }
        responses.push(response);
      }
    }),
  );
  agent.destroy();
  return summarizeRound(
    {responses, durationMs: performance.now() - start},
    sends,
  );
}

async function run(): Promise<Measurement> {
  const deployment = await startLookupDeployment({
    entries: 1,
    upstreams: UPSTREAMS,
    pool: {maxConcurrent: 32, ramp: {initial: 32}},
    plain: {serviceMs: 20},
    accounts: ['desk'],
  });
  const [entry] = deployment.entries;
  const readSends = async () =>
    (await readMetrics(entry.admin)).get('vc_sends') ?? Number.NaN;
  const services = deployment.agents.map(agent => agent.plain!);
  const urls = services.map(({address}) => {
    const {host, port} = parseAddress(address)!;
    return `http://${host}:${port}`;
  });
  const runSystem = async (): Promise<Round> => {
    let index = 0;
    const before = await readSends();
    const result = await runClosedLoop(WORKERS, ROUND_MS, () =>
      createLookupRequest(deployment, index++, 'desk'),
    );
    return summarizeRound(result, (await readSends()) - before);
  };
  try {
    await runSystem();
    // These upstreams read the request and then reset the connection.
    for (const service of services.slice(0, UPSTREAMS / 2)) {
      service.setFaults([{match: {path: '/lookup'}, effect: 'refuse'}]);
    }
    const rounds: Record<string, Round[]> = {
      'no retry': [],
      'retry always': [],
      'entry and agents': [],
    };
    for (let round = 0; round < ROUNDS; round++) {
      rounds['no retry'].push(await runClientDispatcher(urls, 1));
      rounds['retry always'].push(
        await runClientDispatcher(urls, CLIENT_MAX_SENDS),
      );
      rounds['entry and agents'].push(await runSystem());
    }
    return summarize(rounds);
  } finally {
    await deployment.stop();
  }
}

function summarize(rounds: Record<string, Round[]>): Measurement {
  const median = (name: string, field: keyof Round) =>
    getMedian(rounds[name].map(round => round[field]));
  const figure = median('entry and agents', 'sendsPerRequest');
  const worst = Math.max(
    ...rounds['entry and agents'].map(round => round.sendsPerRequest),
  );
  return {
    headers: ['dispatcher', 'sends per request', 'goodput/s', 'failed'],
    rows: Object.keys(rounds).map(name => [
      name,
      median(name, 'sendsPerRequest').toFixed(3),
      median(name, 'goodput').toFixed(0),
      median(name, 'failed').toFixed(0),
    ]),
    figure,
    baseline: median('retry always', 'sendsPerRequest'),
    details: {
      worst,
      goodput: median('entry and agents', 'goodput'),
      goodputNoRetry: median('no retry', 'goodput'),
      goodputRetryAlways: median('retry always', 'goodput'),
      failed: median('entry and agents', 'failed'),
    },
    conclusion: `target ${worst <= MAX_SENDS_PER_REQUEST ? 'met' : 'missed'}: at most ${MAX_SENDS_PER_REQUEST} sends per request in every round`,
  };
}

export const retryStorm: Bench = {
  name: 'retry-storm',
  summary: 'half of the upstreams fail; sends per request at most 1.1',
  run,
};
