import {requestJson} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';

import type {Deployment, DeploymentSpec, EntryMember} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'caller-key';
/** Time between the start of the agents and the pool's record, ms. */
const POOL_DELAY_MS = 1_000;

interface HoldAnswer {
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
      // The controller must start no further agents on its own.
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

  const hold = async (entry: EntryMember, id: string): Promise<HoldAnswer> => {
    const answer = await requestJson({
      method: 'POST',
      url: `${entry.url}/holds`,
      headers: {authorization: `Bearer ${KEY}`, 'idempotency-key': id},
      body: {id},
      timeoutMs: 20_000,
    });
    assert.ok(answer.ok, JSON.stringify(answer));
    const {status, body} = answer.value;
    return {status, body: body as HoldAnswer['body']};
  };

  const countExecutions = ({agents}: Deployment, id: string) =>
    agents.reduce((sum, {plain}) => sum + (plain?.getExecutions()[id] ?? 0), 0);

  /** Until agents know the past, they may only refuse. */
  const waitServing = async (running: Deployment) => {
    let probes = 0;
    await waitUntil('keyed requests run', async () => {
      const id = `probe-${++probes}`;
      const {status} = await hold(running.entries[0], id);
      assert.equal(countExecutions(running, id), status === 200 ? 1 : 0);
      return status === 200;
    });
  };

  const checkHolds = async (running: Deployment) => {
    const [first, second] = running.entries;
    for (let i = 0; i < 20; i++) {
      const id = `hold-${i}`;
      const answer = await hold(first, id);
      assert.equal(answer.status, 200, JSON.stringify(answer.body));
      const repeat = await hold(second, id);
      assert.equal(repeat.status, 200, JSON.stringify(repeat.body));
      assert.deepEqual(repeat.body, answer.body);
      assert.equal(countExecutions(running, id), 1);
    }
  };

  it('prevents refusals if the pool follows its agents', async () => {
    const running = await start({publishDelayMs: POOL_DELAY_MS}, 3);
    await waitServing(running);
    await checkHolds(running);
  });

  it('prevents refusals if the agents follow their pool', async () => {
    const running = await start({}, 0);
    for (const domain of ['domain-a', 'domain-b', 'domain-a']) {
      await running.addUpstream('desk', domain);
    }
    await waitServing(running);
    await checkHolds(running);
  });

  it('prevents a second run after all agents were replaced', async () => {
    const running = await start({publishDelayMs: POOL_DELAY_MS}, 2);
    await waitServing(running);
    const [entry] = running.entries;
    assert.equal((await hold(entry, 'kept')).status, 200);
    for (const agent of [...running.agents]) await running.remove(agent);
    for (const domain of ['domain-a', 'domain-b']) {
      await running.addUpstream('desk', domain);
    }
    // The entries know of requests to agents that are gone.
    await waitUntil('the new agents answer', async () => {
      const {body} = await hold(entry, 'kept');
      return body.error?.code === 'outcome_unknown';
    });
    assert.equal(countExecutions(running, 'kept'), 0);
  });
});
