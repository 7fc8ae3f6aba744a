import type {AgentInstance, AgentSettings} from '@vanillacross/domain';
import {createInstanceListPort} from '@vanillacross/platform';

import {createAdminServer} from './adminServer.js';
import type {AgentLink} from './agentLink.js';
import {createAgentLink} from './agentLink.js';
import {createAgentServer} from './agentServer.js';
import {createHistoryQuery} from './dedupHistory.js';
import {
  createInstanceDirectory,
  createSeedInstance,
} from './instanceDirectory.js';
import {createPeerServer} from './peerServer.js';
import {createCallPeer} from './peerCalls.js';
import type {RunningDaemon} from './process.js';
import {
  createContext,
  formatAddress,
  registerProcessMetrics,
  startComponents,
  stopComponents,
} from './process.js';
import type {Component} from './types.js';

/**
 * Interval between polls of the instance list, ms. An agent needs another entry
 * only when its current ones fail, and then it polls the list at once.
 */
const LIST_POLL_MS = 10_000;

function createSelf(settings: AgentSettings): AgentInstance {
  const {id, pool} = settings.upstream;
  return {
    id: settings.instance.id,
    role: 'agent',
    domain: settings.instance.domain,
    address: formatAddress(settings.listen.data),
    peerAddress: formatAddress(settings.listen.peer),
    state: 'live',
    upstream: {id, pool},
  };
}

/** Starts the daemon in the agent role. */
export async function startAgent(
  settings: AgentSettings,
): Promise<RunningDaemon> {
  const self = createSelf(settings);
  const context = createContext(settings, self);
  registerProcessMetrics(context);
  const peerServer = createPeerServer(context, settings.listen.peer);
  await peerServer.start();
  self.peerAddress = peerServer.getAddress();

  const directory = createInstanceDirectory(
    context,
    createInstanceListPort(settings.platform.instances),
    {
      seeds: settings.cluster.seeds.map(createSeedInstance),
      role: 'entry',
      pollMs: LIST_POLL_MS,
    },
  );
  const server = createAgentServer(context, {
    upstream: settings.upstream,
    getView: () => link.getView(),
    queryHistory: createHistoryQuery(
      context,
      directory.getListed,
      directory,
      createCallPeer(context.clusterSecret),
    ),
    getHighestFencing: () => link.getHighestFencing(),
    getLastContact: () => link.getLastContact(),
    onReportChanged: () => link.pollNow(),
    // Interrupts the long poll in flight, which would delay the quarantine of
    // the request by up to 10 s.
    onCrash: () => link.pollNow(),
    limits: {maxBodyBytes: settings.limits.maxBodyBytes},
  });
  const link: AgentLink = createAgentLink(context, {
    getEntries: () =>
      directory
        .getInstances()
        .filter(i => i.role === 'entry' && i.state === 'live'),
    getReport: entry => server.getReport(entry.id),
    onReportDelivered: (report, entry) =>
      server.confirmReport(report, entry.id),
    onEntriesUnreachable: () => directory.pollNow(),
    instance: self,
    getWantedVersion: () => server.getWantedVersion(),
    onWeightSources: sources => server.setWeightSources(sources),
  });
  link.subscribe(view => server.applyView(view));
  const admin = createAdminServer(
    context,
    settings.listen.admin,
    () => server.isReady() && !server.isLeaving() && link.getView() !== null,
  );
  peerServer.addMethods(server.rpcMethods);
  peerServer.addMethods(link.rpcMethods);
  await startComponents([admin, server]);
  self.address = server.getAddress();
  await startComponents([directory, link]);

  // The link stops after the server, so that entries learn that the agent is
  // leaving while running requests finish.
  const stopOrder: Component[] = [link, directory, peerServer, admin];
  return {
    addresses: {
      data: server.getAddress(),
      peer: peerServer.getAddress(),
      admin: admin.getAddress(),
    },
    stop: async signal => {
      const announced = link.announceLeaving();
      await stopComponents(context, [server], signal);
      await announced;
      await stopComponents(context, stopOrder, signal);
    },
  };
}
