import type {Deployment} from '@vanillacross/integration';
import {startDeployment, waitUntil} from '@vanillacross/integration';
import {setTimeout as sleep} from 'node:timers/promises';

import type {Bench, Measurement} from './types.js';

const SIZES = [8, 16, 32];
const ENTRIES = 3;
const TARGET_MS = 22_000;
const TARGET_SERVING_SHARE = 0.75;
const VERSION_BYTES = 4 * 1024 * 1024;
/**
 * The store is limited to a rate at which direct fetches by all engines take
 * this multiple of the target time.
 */
const DIRECT_RATIO = 1.25;
const SWAP_MS = 250;
const SAMPLING_INTERVAL_MS = 5;
/**
 * Interval at which versions are published at the target scale, ms. The table
 * uses it to convert bytes per version to a rate.
 */
const PUBLISH_INTERVAL_MS = 180_000;
const MODEL = 'coach';
const FIRST_VERSION = 2;

interface Round {
  engines: number;
  /** Time from publication until the last engine runs the version, ms. */
  spanMs: number;
  /** Smallest share of engines that were serving at the same time. */
  smallestServingShare: number;
  /**
   * Time that all engines would need to fetch the version directly from the
   * store, ms.
   */
  directMs: number;
  /** Bytes that the store sent, as a multiple of the size of a version. */
  storeFetches: number;
  /** Control traffic of the busiest entry, bytes. */
  entryBytes: number;
  /** Polls that agents sent, per engine. */
  pollsPerEngine: number;
}

/** Reads a metric from the admin listener of each entry. */
async function readMetric(
  deployment: Deployment,
  name: string,
): Promise<number[]> {
  const values = deployment.entries.map(async entry => {
    const response = await fetch(`http://${entry.admin}/metrics`);
    const line = new RegExp(`^${name} (\\S+)$`, 'm').exec(
      await response.text(),
    );
    return Number(line?.[1] ?? 0);
  });
  return Promise.all(values);
}

function hasActivated(
  agent: Deployment['agents'][number],
  version: number,
): boolean {
  return agent
    .engine!.getAudit()
    .orders.some(
      order =>
        order.action === 'activate' &&
        order.version === version &&
        order.outcome.status === 'done',
    );
}

/** Publishes a version and measures the time until all engines run it. */
async function measureRollout(deployment: Deployment, version: number) {
  const {agents, platform} = deployment;
  const start = performance.now();
  const timeoutMs = 3 * TARGET_MS;
  let smallestServingShare = 1;
  platform.weights.publish(MODEL, version, VERSION_BYTES);
  while (!agents.every(agent => hasActivated(agent, version))) {
    if (performance.now() - start > timeoutMs) {
      return {spanMs: timeoutMs, smallestServingShare};
    }
    const swapping = agents.filter(agent => agent.engine!.isSwapping()).length;
    smallestServingShare = Math.min(
      smallestServingShare,
      1 - swapping / agents.length,
    );
    await sleep(SAMPLING_INTERVAL_MS);
  }
  return {spanMs: performance.now() - start, smallestServingShare};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function runRound(engines: number): Promise<Round> {
  const directMs = TARGET_MS * DIRECT_RATIO;
  const bytesPerSecond = (engines * VERSION_BYTES * 1_000) / directMs;
  const deployment = await startDeployment({
    entries: ENTRIES,
    weights: {bytesPerSecond},
    pools: [
      {
        id: 'engines',
        body: {
          kind: 'engine',
          model: MODEL,
          minUpstreams: engines,
          maxUpstreams: engines,
        },
        upstreams: engines,
        engine: {model: MODEL, activateMs: SWAP_MS},
      },
    ],
  });
  try {
    await waitUntil('an entry holds the lease', async () => {
      return sum(await readMetric(deployment, 'vc_lease_held')) > 0;
    });
    const polls = sum(await readMetric(deployment, 'vc_pulls_total'));
    const bytes = await readMetric(deployment, 'vc_peer_bytes');
    const sent = deployment.platform.weights.getSentBytes();
    const result = await measureRollout(deployment, FIRST_VERSION);
    const pollsAfter = sum(await readMetric(deployment, 'vc_pulls_total'));
    const bytesAfter = await readMetric(deployment, 'vc_peer_bytes');
    const sentAfter = deployment.platform.weights.getSentBytes();
    return {
      engines,
      ...result,
      directMs,
      storeFetches: (sentAfter - sent) / VERSION_BYTES,
      entryBytes: Math.max(...bytesAfter.map((b, i) => b - bytes[i])),
      pollsPerEngine: (pollsAfter - polls) / engines,
    };
  } finally {
    await deployment.stop();
  }
}

function getRow(round: Round): string[] {
  return [
    String(round.engines),
    (round.spanMs / 1_000).toFixed(1),
    round.smallestServingShare.toFixed(2),
    (round.directMs / 1_000).toFixed(1),
    round.storeFetches.toFixed(1),
    (round.entryBytes / 1_024).toFixed(1),
    (round.entryBytes / 1_024 / (PUBLISH_INTERVAL_MS / 1_000)).toFixed(2),
    round.pollsPerEngine.toFixed(1),
  ];
}

async function run(): Promise<Measurement> {
  const rounds: Round[] = [];
  for (const engines of SIZES) rounds.push(await runRound(engines));
  const largest = rounds[rounds.length - 1];
  const isMet = rounds.every(
    ({spanMs, smallestServingShare}) =>
      spanMs <= TARGET_MS && smallestServingShare >= TARGET_SERVING_SHARE,
  );
  return {
    headers: [
      'engines',
      'live on all engines, s',
      'smallest share serving',
      'direct fetches, s',
      'store fetches',
      'KiB at the busiest entry',
      'KiB/s at that entry, one version in 3 min',
      'polls per engine',
    ],
    rows: rounds.map(getRow),
    figure: largest.spanMs,
    baseline: largest.directMs,
    details: {
      leastShare: Math.min(...rounds.map(round => round.smallestServingShare)),
      nodeBytes: largest.entryBytes,
      pollsPerReplica: largest.pollsPerEngine,
    },
    conclusion: `target ${isMet ? 'met' : 'missed'} at up to ${largest.engines} engines: live on all within ${TARGET_MS / 1_000} s, at least ${TARGET_SERVING_SHARE * 100}% serving`,
  };
}

export const weightRollout: Bench = {
  name: 'weight-rollout',
  summary:
    'time until new weights are live on all engines (target 22 s) and the smallest share of engines serving meanwhile (target 75%)',
  run,
};
