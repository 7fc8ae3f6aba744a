import {startDeployment, waitUntil} from '@vanillacross/integration';

import {getEntryInstances, startFakeAgents} from './fakeAgents.js';
import {readProcessUsage} from './processMetrics.js';
import {getMedian, getQuantile} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c', 'domain-d'];
const ENTRIES = 4;
const AGENT_COUNTS = [8, 32, 128];
const CHANGES = 40;
const TARGET_MS = 1_000;
const POOL = 'engines';

interface Spread {
  agents: number;
  timesMs: number[];
  cpuMsPerChange: number;
}

function getPoolBody(maxConcurrent: number) {
  return {kind: 'engine', model: 'm', maxConcurrent};
}

/** Publishes changes and times each until all agents have it. */
async function runSize(agents: number): Promise<Spread> {
  const deployment = await startDeployment({
    domains: DOMAINS,
    entries: ENTRIES,
    records: [{key: `pool/${POOL}`, body: getPoolBody(1)}],
  });
  const fakes = await startFakeAgents(
    agents,
    POOL,
    DOMAINS,
    getEntryInstances(deployment),
    deployment.clusterSecret,
  );
  try {
    const isInForce = (maxConcurrent: number) =>
      fakes.links.every(
        link => link.getView()?.pool?.maxConcurrent === maxConcurrent,
      );
    await waitUntil('all agents have a view', () => isInForce(1));
    const [entry] = deployment.entries;
    const from = await readProcessUsage(entry.admin);
    const timesMs: number[] = [];
    for (let change = 1; change <= CHANGES; change++) {
      let last = 0;
      const unsubscribe = fakes.links.map(link =>
        link.subscribe(() => {
          last = performance.now();
        }),
      );
      // Counted from the operator's call, which is before the acceptance.
      const sentAt = performance.now();
      await deployment.publish([
        {
          key: `pool/${POOL}`,
          body: getPoolBody(change + 1),
          baseRevision: change,
        },
      ]);
      await waitUntil('in force', () => isInForce(change + 1));
      timesMs.push(last - sentAt);
      for (const stop of unsubscribe) stop();
    }
    const to = await readProcessUsage(entry.admin);
    const cpuMsPerChange = (to.cpuMs - from.cpuMs) / CHANGES;
    return {agents, timesMs, cpuMsPerChange};
  } finally {
    await fakes.stop();
    await deployment.stop();
  }
}

async function run(): Promise<Measurement> {
  const spreads: Spread[] = [];
  for (const agents of AGENT_COUNTS) spreads.push(await runSize(agents));
  const largest = spreads[spreads.length - 1];
  const figure = getQuantile(largest.timesMs, 0.99);
  return {
    headers: ['agents', 'median ms', 'p99 ms', 'entry processor ms per change'],
    rows: spreads.map(spread => [
      String(spread.agents),
      getMedian(spread.timesMs).toFixed(1),
      getQuantile(spread.timesMs, 0.99).toFixed(1),
      spread.cpuMsPerChange.toFixed(1),
    ]),
    figure,
    baseline: TARGET_MS,
    conclusion: `target ${figure <= TARGET_MS ? 'met' : 'missed'}: p99 from the operator's call to in force at all agents under ${TARGET_MS} ms`,
  };
}

export const configSpread: Bench = {
  name: 'config-spread',
  summary: `time until a change is in force, ${ENTRIES} entries and agents' control links`,
  run,
};
