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
  /** Additional fields of the pool's record. */
  pool: Record<string, unknown>;
  plain?: PlainServiceOptions;
  accounts: string[];
  timeoutMs?: number;
}

/** Starts entries and one pool of plain upstreams behind `/lookup`. */
export async function startLookupDeployment(
  options: LookupDeploymentOptions,
): Promise<Deployment> {
  const {accounts, timeoutMs = 20_000} = options;
  const records: RecordInput[] = [
    ...accounts.flatMap(account =>
      createAccountRecords(account, getApiKey(account), {maxConcurrent: 256}),
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
        // Equal bounds keep the controller from scaling the pool.
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
    const responses = await Promise.all(
      deployment.entries.map((_, index) =>
        sendRequest(createLookupRequest(deployment, index, accounts[0]), agent),
      ),
    );
    return responses.every(isSuccess);
  });
  agent.destroy();
  return deployment;
}

function getApiKey(account: string): string {
  return `key-of-${account}`;
}

/**
 * Returns a lookup request; the index selects the entry in round-robin order.
 */
export function createLookupRequest(
  deployment: Deployment,
  index: number,
  account: string,
): LoadRequest {
  const {entries} = deployment;
  return {
    method: 'GET',
    url: `${entries[index % entries.length].url}/lookup/${index}`,
    headers: {authorization: `Bearer ${getApiKey(account)}`},
  };
}
