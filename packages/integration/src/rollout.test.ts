import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {Deployment, RunningEntry} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'rollout-key';
const ENGINES = 8;
const WORKERS = 6;
const VERSION_BYTES = 1024 * 1024;
/**
 * Rate of the store, bytes per second. Low, so that fetches by all eight engines
 * from the store would take 4 s.
 */
const STORE_BYTES_PER_SECOND = 2 * VERSION_BYTES;
const SAMPLING_INTERVAL_MS = 10;
/**
 * Long, because a successor waits for the lease of a killed holder to expire.
 */
const LIVE_TIMEOUT_MS = 60_000;

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({
    entries: 2,
    weights: {bytesPerSecond: STORE_BYTES_PER_SECOND},
    pools: [
      {
        id: 'coach',
        body: {
          kind: 'engine',
          model: 'coach',
          maxConcurrent: 16,
          ramp: {initial: 16},
          minUpstreams: ENGINES,
          maxUpstreams: ENGINES,
        },
        upstreams: ENGINES,
        engine: {model: 'coach', activateMs: 300, tokenMs: 2},
        checksFencing: true,
      },
    ],
    records: [
      ...createAccountRecords('desk', KEY, {maxConcurrent: 64}),
      createRecord('route', 'completions', {
        pathPrefix: '/v1/completions',
        methods: ['POST'],
        model: 'coach',
        pool: 'coach',
        access: ['desk'],
        repeat: 'idempotent',
      }),
    ],
  });
});
after(() => deployment.stop());

function getActiveVersions(): number[] {
  return deployment.agents.map(
    agent => agent.engine!.getAudit().orders.length && getActiveVersion(agent),
  );
}

function getActiveVersion(agent: Deployment['agents'][number]): number {
  return agent
    .engine!.getAudit()
    .orders.filter(
      order => order.action === 'activate' && order.outcome.status === 'done',
    )
    .reduce((highest, order) => Math.max(highest, order.version ?? 0), 1);
}

/**
 * Sends requests and samples how many engines are serving while an action runs.
 */
async function runUnderTraffic(
  entries: readonly RunningEntry[],
  action: () => Promise<void>,
) {
  let isStopped = false;
  let responseCount = 0;
  const failures: string[] = [];
  let minServing = ENGINES;
  const runWorker = async (worker: number) => {
    const entry = entries[worker % entries.length];
    while (!isStopped) {
      const response = await fetch(`${entry.url}/v1/completions`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${KEY}`,
          'content-type': 'application/json',
        },
        body: JSON.stringify({model: 'coach', prompt: 'p', max_tokens: 8}),
      }).catch((error: Error) => error);
      const text =
        response instanceof Error ? response.message : await response.text();
      responseCount++;
      const isSuccess = !(response instanceof Error) && response.status === 200;
      if (!isSuccess) failures.push(text);
    }
  };
  const sampleServing = async () => {
    while (!isStopped) {
      const swapping = deployment.agents.filter(agent =>
        agent.engine!.isSwapping(),
      ).length;
      minServing = Math.min(minServing, ENGINES - swapping);
      await sleep(SAMPLING_INTERVAL_MS);
    }
  };
  const running = Promise.all([
    sampleServing(),
    ...Array.from({length: WORKERS}, (_, worker) => runWorker(worker)),
  ]);
  try {
    await action();
  } finally {
    isStopped = true;
    await running;
  }
  return {responseCount, failures, minServing};
}

function waitUntilLive(version: number): Promise<void> {
  return waitUntil(
    `version ${version} is live`,
    () => getActiveVersions().every(live => live === version),
    LIVE_TIMEOUT_MS,
  );
}

function publish(version: number): void {
  deployment.platform.weights.publish('coach', version, VERSION_BYTES);
}

async function getHolder(): Promise<RunningEntry> {
  let holder: RunningEntry | undefined;
  await waitUntil('an entry holds the lease', async () => {
    for (const entry of deployment.entries) {
      const response = await fetch(`http://${entry.admin}/metrics`);
      const text = await response.text();
      if (/^vc_lease_held 1$/m.test(text)) holder = entry;
    }
    return holder !== undefined;
  });
  return holder!;
}

function assertNoDisruption(
  result: Awaited<ReturnType<typeof runUnderTraffic>>,
): void {
  assert.deepEqual(result.failures, []);
  assert.ok(result.responseCount > 0);
  assert.ok(
    result.minServing >= ENGINES * 0.75,
    `${result.minServing} of ${ENGINES} served`,
  );
}

describe('weight rollout with real processes', () => {
  it('reaches all engines from a slow store without a failed request', async () => {
    // Guards against lost capacity, failed requests and an overloaded store.
    const {weights} = deployment.platform;
    const sentBefore = weights.getSentBytes();
    const result = await runUnderTraffic(deployment.entries, async () => {
      publish(2);
      await waitUntilLive(2);
    });
    assertNoDisruption(result);
    const fetched = (weights.getSentBytes() - sentBefore) / VERSION_BYTES;
    assert.ok(fetched < ENGINES, `${fetched} fetches from the store`);
  });

  it('continues after failed swaps and ignores older versions', async () => {
    // Guards against one engine that blocks the others and against going back
    // to an older version.
    const [faulty, ...others] = deployment.agents;
    faulty.engine!.setFailingSwaps(3);
    const result = await runUnderTraffic(deployment.entries, async () => {
      publish(4);
      publish(3);
      await waitUntil('the others are live', () =>
        others.every(agent => getActiveVersion(agent) === 4),
      );
      publish(1);
      await waitUntilLive(4);
    });
    assertNoDisruption(result);
    const ordered = deployment.agents.flatMap(agent =>
      agent.engine!.getAudit().orders.map(order => order.version),
    );
    assert.ok(!ordered.includes(3) && !ordered.includes(1));
  });

  it('continues after the lease holder was killed', async () => {
    // Guards against a rollout that stops midway when its lease holder dies.
    const holder = await getHolder();
    const others = deployment.entries.filter(entry => entry !== holder);
    const result = await runUnderTraffic(others, async () => {
      publish(5);
      await waitUntil('the first engines are live', () =>
        getActiveVersions().includes(5),
      );
      await deployment.remove(holder);
      await waitUntilLive(5);
    });
    assertNoDisruption(result);
  });
});
