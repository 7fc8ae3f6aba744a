import type {Epoch} from '@vanillacross/common';
import {Metrics, createLogger, systemClock} from '@vanillacross/common';
import type {AgentLink} from '@vanillacross/daemon';
import {createAgentLink} from '@vanillacross/daemon';
import type {AgentInstance, Instance, Load} from '@vanillacross/domain';
import type {Deployment} from '@vanillacross/integration';
import {randomUUID} from 'node:crypto';

const IDLE_LOAD: Load = {
  running: 0,
  limit: 16,
  waiting: 0,
  epoch: 'engine-epoch',
  version: 1,
  cold: false,
};

/** Control links of agents without data listeners, in this process. */
export interface FakeAgents {
  links: AgentLink[];
  stop(): Promise<void>;
}

/**
 * Starts links that poll the given entries.
 * @param secret Secret of the deployment's own traffic.
 */
export async function startFakeAgents(
  count: number,
  pool: string,
  domains: readonly string[],
  entries: readonly Instance[],
  secret: string,
): Promise<FakeAgents> {
  const logger = createLogger('fake agent', 'silent');
  const links = Array.from({length: count}, (_, index) => {
    const instance: AgentInstance = {
      id: `fake-agent-${index}`,
      role: 'agent',
      domain: domains[index % domains.length],
      address: `127.0.0.1:${1 + index}`,
      peerAddress: `127.0.0.1:${1 + index}`,
      state: 'live',
      upstream: {id: `fake-${index}`, pool},
    };
    const context = {
      self: instance,
      epoch: randomUUID() as Epoch,
      clock: systemClock,
      logger,
      metrics: new Metrics(),
      clusterSecret: secret,
    };
    return createAgentLink(context, {
      getEntries: () => entries,
      getReport: () => ({load: IDLE_LOAD, cells: [], crashes: []}),
      onReportDelivered: () => {},
      instance,
    });
  });
  for (const link of links) await link.start();
  return {
    links,
    stop: async () => {
      const now = AbortSignal.abort();
      await Promise.all(links.map(link => link.stop(now)));
    },
  };
}

/** The entries of a deployment as the instance list shows them. */
export function getEntryInstances(deployment: Deployment): Instance[] {
  return deployment.entries.map(({id, domain, url, peer}) => ({
    id,
    role: 'entry',
    domain,
    address: url.slice('http://'.length),
    peerAddress: peer,
    state: 'live',
  }));
}
