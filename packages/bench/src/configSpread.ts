import {startDeployment, waitUntil} from '@vanillacross/integration';

import {getEntryInstances, startFakeAgents} from './fakeAgents.js';
import {readProcessUsage} from './processMetrics.js';
import {getMedian, getQuantile} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c', 'domain-d'];
const ENTRIES = 4;
const AGENT_COUNTS = [8, 32, 128];
const CHANGES_PER_SIZE = 40;
const TARGET_MS = 1_000;
const POOL = 'engines';

interface PropagationResult {
  agents: number;
  timesMs: number[];
  cpuMsPerChange: number;
}

function getPoolBody(maxConcurrent: number) {
  return {kind: 'engine', model: 'm', maxConcurrent};
}

/** Publishes changes and measures how long each takes to reach all agents. */
async function measureDelays(agents: number): Promise<PropagationResult> {
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
    for (let change = 1; change <= CHANGES_PER_SIZE; change++) {
      let lastUpdateAt = 0;
      const unsubscribe = fakes.links.map(link =>
        link.subscribe(() => {
          lastUpdateAt = performance.now();
        }),
      );
      // Measured from the operator's call, so it includes the wait for
      // acceptance.
      const sentAt = performance.now();
      await deployment.publish([
        {
          key: `pool/${POOL}`,
          body: getPoolBody(change + 1),
          baseRevision: change,
        },
      ]);
      await waitUntil('the change is in force at all agents', () =>
        isInForce(change + 1),
      );
      timesMs.push(lastUpdateAt - sentAt);
      for (const stop of unsubscribe) stop();
    }
    const to = await readProcessUsage(entry.admin);
    const cpuMsPerChange = (to.cpuMs - from.cpuMs) / CHANGES_PER_SIZE;
    return {agents, timesMs, cpuMsPerChange};
  } finally {
    await fakes.stop();
    await deployment.stop();
  }
}

async function run(): Promise<Measurement> {
  const results: PropagationResult[] = [];
  for (const agents of AGENT_COUNTS) results.push(await measureDelays(agents));
  const largest = results[results.length - 1];
  const figure = getQuantile(largest.timesMs, 0.99);
  return {
    headers: ['agents', 'median ms', 'p99 ms', 'entry CPU ms per change'],
    rows: results.map(result => [
      String(result.agents),
      getMedian(result.timesMs).toFixed(1),
      getQuantile(result.timesMs, 0.99).toFixed(1),
      result.cpuMsPerChange.toFixed(1),
    ]),
    figure,
    baseline: TARGET_MS,
    conclusion: `target ${figure <= TARGET_MS ? 'met' : 'missed'}: p99 of the time from the operator's call until the change is in force at all agents, at most ${TARGET_MS} ms`,
  };
}

export const configSpread: Bench = {
  name: 'config-spread',
  summary: `time until a change is in force at the control links of all agents, ${ENTRIES} entries`,
  run,
};
