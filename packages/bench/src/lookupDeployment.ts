import type {Deployment, RecordInput} from '@vanillacross/integration';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from '@vanillacross/integration';
import type {PlainServiceOptions} from '@vanillacross/standins';

import type {LoadRequest} from './load.js';
import {createKeepAliveAgent, isSuccess, sendRequest} from './load.js';

export interface LookupDeploymentOptions {
  domains?: string[];
  entries: number;
  upstreams: number;
  /** Further fields of the pool's record. */
  pool: Record<string, unknown>;
  plain?: PlainServiceOptions;
  accounts: string[];
  timeoutMs?: number;
}

/** Entries, and one pool of plain upstreams behind `/lookup`. */
export async function startLookupDeployment(
  options: LookupDeploymentOptions,
): Promise<Deployment> {
  const {accounts, timeoutMs = 20_000} = options;
  const records: RecordInput[] = [
    ...accounts.flatMap(account =>
      createAccountRecords(account, getKey(account), {maxConcurrent: 256}),
    ),
    createRecord('route', 'lookup', {
      pathPrefix: '/lookup',
      methods: ['GET'],
      pool: 'seats',
      access: accounts as [string, ...string[]],
      repeat: 'idempotent',
      timeoutMs,
    }),
  ];
  const deployment = await startDeployment({
    domains: options.domains ?? ['domain-a', 'domain-b', 'domain-c'],
    entries: options.entries,
    pools: [
      {
        id: 'seats',
        // Bounds that keep the controller from changing the fleet.
        body: {
          kind: 'plain',
          minUpstreams: options.upstreams,
          maxUpstreams: options.upstreams,
          ...options.pool,
        },
        upstreams: options.upstreams,
        plain: options.plain,
      },
    ],
    records,
  });
  const agent = createKeepAliveAgent(8);
  await waitUntil('all entries serve', async () => {
    const answers = await Promise.all(
      deployment.entries.map((_, index) =>
        sendRequest(createLookupRequest(deployment, index, accounts[0]), agent),
      ),
    );
    return answers.every(isSuccess);
  });
  agent.destroy();
  return deployment;
}

function getKey(account: string): string {
  return `key-of-${account}`;
}

/** A lookup through one of the entries in turn. */
export function createLookupRequest(
  deployment: Deployment,
  index: number,
  account: string,
): LoadRequest {
  const {entries} = deployment;
  return {
    method: 'GET',
    url: `${entries[index % entries.length].url}/lookup/${index}`,
    headers: {authorization: `Bearer ${getKey(account)}`},
  };
}
