import type {RpcMethods} from '@vanillacross/common';
import type {MissedEnd, UsageCell} from '@vanillacross/domain';
import type {
  OrderingPort,
  ReportPort,
  WeightStorePort,
} from '@vanillacross/platform';

import {createAgentLoads} from './agentLoads.js';
import {createCheckpointTask} from './checkpointTask.js';
import {createCrashReports} from './crashReports.js';
import type {Tenure} from './leaseTask.js';
import {createLeaseTask} from './leaseTask.js';
import type {ClientFactory} from './orderSender.js';
import {createClientFactory, createOrderSender} from './orderSender.js';
import {createReportTask} from './reportTask.js';
import {createRolloutProgressCollector} from './rolloutProgress.js';
import type {Context, ControlFollower, Membership, Component} from './types.js';
import {createUpstreamScaling} from './upstreamScaling.js';
import {createUsageCollection} from './usageCollection.js';
import {createWeightRollout} from './weightRollout.js';

/** Default retention of the platform's log, ms. */
const DEFAULT_RETENTION_MS = 24 * 3_600_000;

/** Platform clients that the controller uses. */
export interface ControllerPorts {
  /** By failure domain. */
  ordering: Readonly<Record<string, OrderingPort>>;
  reports: ReportPort;
  weights: WeightStorePort;
}

export interface ControllerOptions {
  /** Usage cells recorded by this entry. */
  getUsageCells: () => readonly UsageCell[];
  /** Responses whose end this entry did not read. */
  getMissedEnds?: () => readonly MissedEnd[];
  /** How long the platform's log keeps records, ms. */
  retentionMs?: number;
  /** Whether upstreams are scaled by demand; defaults to true. */
  isScalingEnabled?: boolean;
  /** Creates clients for peer listeners; replaced in tests. */
  createClient?: ClientFactory;
}

/** Runs on every entry but acts only on the one that holds the lease. */
export interface Controller extends Component {
  /** Null while this entry does not hold the lease. */
  getTenure(): Tenure | null;
  /** Methods that other entries call. */
  rpcMethods: RpcMethods;
}

export function createController(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  ports: ControllerPorts,
  options: ControllerOptions,
): Controller {
  const createClient = options.createClient ?? createClientFactory(context);
  const lease = createLeaseTask(context, control, membership);
  const orders = createOrderSender(context, lease, createClient);
  const loads = createAgentLoads(
    context,
    control,
    membership,
    lease,
    createClient,
  );
  const usage = createUsageCollection(
    context,
    control,
    membership,
    createClient,
    options,
  );
  const crashes = createCrashReports(
    context,
    control,
    membership,
    lease,
    createClient,
  );
  const progress = createRolloutProgressCollector(
    context,
    control,
    membership,
    createClient,
  );
  const tasks: Component[] = [
    loads,
    crashes,
    createWeightRollout(
      context,
      control,
      membership,
      lease,
      progress,
      ports.weights,
    ),
    createReportTask(context, control, lease, usage, ports.reports),
    createCheckpointTask(
      context,
      control,
      lease,
      options.retentionMs ?? DEFAULT_RETENTION_MS,
    ),
  ];
  if (options.isScalingEnabled ?? true) {
    tasks.push(
      createUpstreamScaling(
        context,
        control,
        membership,
        lease,
        orders,
        loads,
        ports.ordering,
      ),
    );
  }
  membership.onReport((cells, reports) => {
    usage.addAgentCells(cells);
    crashes.add(reports);
  });
  context.metrics.gauge('vc_lease_held', () => (lease.getTenure() ? 1 : 0));
  return {
    name: 'controller',
    start: async () => {
      for (const part of [lease, ...tasks]) await part.start();
    },
    stop: async signal => {
      // Releasing the lease ends the tenure, which makes the tasks idle.
      await lease.stop(signal);
      await Promise.all(tasks.map(task => task.stop(signal)));
    },
    getTenure: lease.getTenure,
    rpcMethods: {
      ...loads.rpcMethods,
      ...usage.rpcMethods,
      ...crashes.rpcMethods,
      ...progress.rpcMethods,
    },
  };
}
