import {requestJson} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';

import type {Deployment, DeploymentSpec, RunningEntry} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'caller-key';
/** Time between the start of the agents and the pool's record, ms. */
const POOL_DELAY_MS = 1_000;

interface HoldResponse {
  status: number;
  body: {execution?: number; from?: string; error?: {code: string}};
}

describe('first requests of a fresh deployment', () => {
  let deployment: Deployment | null = null;
  afterEach(async () => {
    await deployment?.stop();
    deployment = null;
  });

  const start = async (spec: DeploymentSpec, upstreams: number) => {
    deployment = await startDeployment({
      domains: ['domain-a', 'domain-b'],
      entries: 2,
      // Keeps the controller from starting upstreams.
      pools: [{id: 'desk', body: {kind: 'plain', minUpstreams: 0}, upstreams}],
      records: [
        ...createAccountRecords('club', KEY),
        createRecord('route', 'holds', {
          pathPrefix: '/holds',
          methods: ['POST'],
          pool: 'desk',
          access: ['club'],
          repeat: 'once',
          timeoutMs: 5_000,
        }),
      ],
      ...spec,
    });
    return deployment;
  };

  const hold = async (
    entry: RunningEntry,
    id: string,
  ): Promise<HoldResponse> => {
    const response = await requestJson({
      method: 'POST',
      url: `${entry.url}/holds`,
      headers: {authorization: `Bearer ${KEY}`, 'idempotency-key': id},
      body: {id},
      timeoutMs: 20_000,
    });
    assert.ok(response.ok, JSON.stringify(response));
    const {status, body} = response.value;
    return {status, body: body as HoldResponse['body']};
  };

  const countExecutions = ({agents}: Deployment, id: string) =>
    agents.reduce((sum, {plain}) => sum + (plain?.getExecutions()[id] ?? 0), 0);

  /**
   * Sends probes until one runs; asserts that each probe before it was refused
   * and not run.
   */
  const waitUntilServing = async (running: Deployment) => {
    let probes = 0;
    await waitUntil('requests with an idempotency key run', async () => {
      const id = `probe-${++probes}`;
      const {status} = await hold(running.entries[0], id);
      assert.equal(countExecutions(running, id), status === 200 ? 1 : 0);
      return status === 200;
    });
  };

  const assertHoldsRunOnce = async (running: Deployment) => {
    const [first, second] = running.entries;
    for (let i = 0; i < 20; i++) {
      const id = `hold-${i}`;
      const response = await hold(first, id);
      assert.equal(response.status, 200, JSON.stringify(response.body));
      const repeat = await hold(second, id);
      assert.equal(repeat.status, 200, JSON.stringify(repeat.body));
      assert.deepEqual(repeat.body, response.body);
      assert.equal(countExecutions(running, id), 1);
    }
  };

  it('serves requests with an idempotency key if the pool is published after its agents start', async () => {
    const running = await start({publishDelayMs: POOL_DELAY_MS}, 3);
    await waitUntilServing(running);
    await assertHoldsRunOnce(running);
  });

  it('serves requests with an idempotency key if the agents start after their pool is published', async () => {
    const running = await start({}, 0);
    for (const domain of ['domain-a', 'domain-b', 'domain-a']) {
      await running.addUpstream('desk', domain);
    }
    await waitUntilServing(running);
    await assertHoldsRunOnce(running);
  });

  it('does not run a request with a known idempotency key again after all agents were replaced', async () => {
    const running = await start({publishDelayMs: POOL_DELAY_MS}, 2);
    await waitUntilServing(running);
    const [entry] = running.entries;
    assert.equal((await hold(entry, 'kept')).status, 200);
    for (const agent of [...running.agents]) await running.remove(agent);
    for (const domain of ['domain-a', 'domain-b']) {
      await running.addUpstream('desk', domain);
    }
    // The entries know that requests were sent to agents that no longer exist.
    await waitUntil('the new agents respond', async () => {
      const {body} = await hold(entry, 'kept');
      return body.error?.code === 'outcome_unknown';
    });
    assert.equal(countExecutions(running, 'kept'), 0);
  });
});
