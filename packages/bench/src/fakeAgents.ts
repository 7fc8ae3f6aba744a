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

/** In-process agents that have a control link but no data listener. */
export interface FakeAgents {
  links: AgentLink[];
  stop(): Promise<void>;
}

/**
 * Starts the control links of agents that poll the given entries.
 * @param secret Cluster secret that authenticates internal traffic.
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
      const aborted = AbortSignal.abort();
      await Promise.all(links.map(link => link.stop(aborted)));
    },
  };
}

/** Returns a deployment's entries in the form of the instance list. */
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
