import {ok} from '@vanillacross/common';
import type {EntrySettings, Instance} from '@vanillacross/domain';
import type {WeightStorePort} from '@vanillacross/platform';
import {
  createInstanceListPort,
  createLogClient,
  createLogPort,
  createOrderingPort,
  createReportPort,
  createScoringPort,
  createWeightStorePort,
} from '@vanillacross/platform';

import {createAdminServer} from './adminServer.js';
import {createCallerServer, defaultCallerLimits} from './callerServer.js';
import {createControlFollower} from './controlFollower.js';
import {createController} from './controller.js';
import type {ControllerPorts} from './controller.js';
import {createDedupHistory} from './dedupHistory.js';
import {createDispatcher} from './dispatcher.js';
import {createSeedInstance} from './instanceDirectory.js';
import {KeyedForwards} from './keyedForwards.js';
import {createMembership} from './membership.js';
import {createWeightVersionTracker} from './weightVersionTracker.js';
import {createOperatorActions} from './operatorActions.js';
import {createCallPeer} from './peerCalls.js';
import {createPeerServer} from './peerServer.js';
import type {RunningDaemon} from './process.js';
import {
  createContext,
  formatAddress,
  registerProcessMetrics,
  startComponents,
  stopComponents,
} from './process.js';
import {createTrainerActions} from './trainerActions.js';
import type {Component} from './types.js';

/** Used if no weight store is configured. */
const noWeightStore: WeightStorePort = {
  getVersions: () => Promise.resolve(ok([])),
};

function createControllerPorts(settings: EntrySettings): ControllerPorts {
  const {ordering, reports, weights} = settings.platform;
  return {
    ordering: Object.fromEntries(
      Object.entries(ordering).map(([id, url]) => [
        id,
        createOrderingPort(url),
      ]),
    ),
    reports: createReportPort(reports),
    weights: weights ? createWeightStorePort(weights) : noWeightStore,
  };
}

function createSelf(settings: EntrySettings): Instance {
  return {
    id: settings.instance.id,
    role: 'entry',
    domain: settings.instance.domain,
    address: formatAddress(settings.listen.caller),
    peerAddress: formatAddress(settings.listen.peer),
    state: 'live',
  };
}

/** Starts a daemon in the entry role. */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningDaemon> {
  const context = createContext(settings, createSelf(settings));
  registerProcessMetrics(context);
  const peerServer = createPeerServer(context, settings.listen.peer);
  await peerServer.start();
  context.self.peerAddress = peerServer.getAddress();

  const seeds = settings.cluster.seeds
    .filter(seed => seed !== context.self.peerAddress)
    .map(createSeedInstance);
  const logPort = createLogPort(settings.platform.log);
  const logClient = createLogClient(logPort, context.clock, {
    appendsPerSecond: settings.limits.appendsPerSecond,
  });
  const control = createControlFollower(context, logPort, {
    logClient,
    getPeers: () => {
      const peers = membership.getPeers();
      return peers.length > 0 ? peers : seeds;
    },
  });
  const membership = createMembership(
    context,
    control,
    createInstanceListPort(settings.platform.instances),
    {seeds},
  );
  const forwards = new KeyedForwards(context.clock);
  const dispatcher = createDispatcher(context, control, membership, {
    forwards,
  });
  const dedupHistory = createDedupHistory(
    context,
    control,
    membership,
    membership.instanceListHistory,
    forwards,
    createCallPeer(context.clusterSecret),
  );
  // The dedup history must start before the control log is read, to see the
  // creation of every pool.
  dedupHistory.start();
  const controller = createController(
    context,
    control,
    membership,
    createControllerPorts(settings),
    {
      getUsageCells: () => dispatcher.getUsageCells(),
      getMissedEnds: () => dispatcher.getMissedEnds?.() ?? [],
      retentionMs: settings.controller.retentionMs,
      isScalingEnabled: settings.controller.scaling,
    },
  );
  const {scoring, weights} = settings.platform;
  const versions = createWeightVersionTracker(
    context,
    control,
    membership,
    weights ? createWeightStorePort(weights) : noWeightStore,
  );
  const trainers = createTrainerActions(context, control, dispatcher, {
    logPort,
    logClient,
    scoring: scoring ? createScoringPort(scoring) : null,
    getNewestVersion: versions.getNewestVersion,
    getLiveVersions: versions.getLiveVersions,
    hasAuthority: () => membership.hasAuthority(),
  });
  const operatorActions = createOperatorActions(context, control, membership, {
    tokenHash: settings.operator.tokenHash,
  });
  const actions = [...trainers.actions, ...operatorActions];
  const callerServer = createCallerServer(
    context,
    control,
    membership,
    dispatcher,
    actions,
    {
      ...defaultCallerLimits,
      maxBodyBytes: settings.limits.maxBodyBytes,
      bodyTimeoutMs: settings.limits.callerTimeoutMs,
    },
  );
  for (const part of [control, membership, controller, dedupHistory]) {
    peerServer.addMethods(part.rpcMethods);
  }
  let isDraining = false;
  const admin = createAdminServer(
    context,
    settings.listen.admin,
    () => !isDraining && control.getState().isComplete,
  );
  await startComponents([
    admin,
    control,
    membership,
    dispatcher,
    versions,
    trainers.component,
    callerServer,
  ]);
  context.self.address = callerServer.getAddress();
  await controller.start();

  // The caller server stops first, while the control log is still read; the peer
  // and admin listeners close last.
  const stopOrder: Component[] = [
    callerServer,
    trainers.component,
    versions,
    controller,
    dispatcher,
    membership,
    control,
    peerServer,
    admin,
  ];
  return {
    addresses: {
      caller: callerServer.getAddress(),
      peer: peerServer.getAddress(),
      admin: admin.getAddress(),
    },
    stop: signal => {
      isDraining = true;
      dedupHistory.stop();
      membership.setLeaving();
      return stopComponents(context, stopOrder, signal);
    },
  };
}
