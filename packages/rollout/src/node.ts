import type {Clock, Logger, Metrics} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {getMemberName} from '@vanillacross/domain';

import {CallerServer} from './callers/index.js';
import {ConfigurationState} from './configuration/index.js';
import {
  ControlFeed,
  LeaseTask,
  MembershipTask,
  TimeConsensus,
  UsageLedger,
  UsageTask,
  WeightUpdater,
} from './control/index.js';
import type {ForwardContext} from './forwarding/index.js';
import {AdmissionQueue, WaitingRequests} from './forwarding/index.js';
import {AppendQueue, StoreHealth, StreamTail} from './log/index.js';
import type {
  DeploymentLimits,
  CallerDialect,
  LeaseHolderClient,
  Pool,
  RecordDialect,
  ProcessIdentity,
  SchedulingPolicy,
  SharedLog,
  UpstreamDialect,
} from './model/index.js';
import type {PlatformTails} from './platformTails.js';
import {createPlatformTails} from './platformTails.js';
import type {ListenAddress} from './statusServers.js';
import {ServedVersionsTask, StreamOrigins} from './streams/index.js';
import {PartitionAssignment} from './partitionAssignment.js';
import {PlacementExplainer} from './placementExplainer.js';
import {StatusServers, closeImmediately, listenOn} from './statusServers.js';
import {StepStreams} from './stepStreams.js';
import {
  StepRegistry,
  StepRunner,
  StepService,
  createRunnerLayout,
} from './steps/index.js';
import {
  ColdShares,
  ConnectionRefresher,
  CrashTracker,
  NoticeRegistry,
  ResponseMemory,
  UpstreamDirectory,
} from './upstreams/index.js';

/** Streams of the shared log that only rollout processes use. */
const STREAMS = {
  control: 'vc-control',
  lease: 'vc-lease',
  servedVersions: 'keyed.vc-software',
};
const STEP_GROUP = 'vc-steps';
/** Long-poll time of reads of the control stream, ms. */
const CONTROL_LONG_POLL_MS = 2_000;
/**
 * Minimum intervals between reads of the control stream, ms. Every process
 * writes to it and reads it, so that without an interval the reads would grow
 * with the square of the number of processes. Processes that run samples need
 * the versions of engines sooner than others.
 */
const CONTROL_READ_INTERVAL_MS = {runner: 100, other: 500};
const SWEEP_INTERVAL_MS = 250;
/**
 * This process reports that it is not ready once its configuration has been
 * unconfirmed for this fraction of the key revocation bound.
 */
const MAX_STALE_SHARE = 0.5;
/**
 * Minimum time between the stop signal and the closing of the listener, ms. The
 * platform sends new connections until two of its checks have failed.
 */
const LISTENER_CLOSE_DELAY_MS = 2_500;
/**
 * Part of the shutdown grace period that remains after the listener has closed
 * at the latest, ms.
 */
const AFTER_LISTENER_MS = 3_000;
const POLL_INTERVAL_MS = 50;
/** Time for storing unfinished samples at shutdown, ms. */
const HANDOVER_TIMEOUT_MS = 600;
/** Part of the shutdown grace period that is reserved for the exit, ms. */
const EXIT_MARGIN_MS = 500;
/**
 * Part of the shutdown grace period at whose beginning requests that arrived
 * after the stop signal have ended, so that their answers are sent before the
 * exit, ms.
 */
const ANSWER_MARGIN_MS = 700;
/**
 * Time after the first start of a deployment during which an upstream's own
 * report decides whether it is cold, ms. All upstreams are new then, because
 * the whole deployment starts at once. Later, an upstream that started recently
 * counts as cold whatever it reports.
 */
const STARTUP_MS = 6_000;

export interface NodeOptions {
  self: ProcessIdentity;
  limits: DeploymentLimits;
  /** Number of partitions of the step stream. */
  stepPartitionCount: number;
  recordBytes: number;
  callBytes: number;
  minTtlMs: number;
  /** Whether the whole deployment starts for the first time. */
  isFirstStart: boolean;
  policy: SchedulingPolicy;
  /**
   * Whether this process is on a small machine and runs samples and holds the
   * lease only if no other one does.
   */
  isReserve: boolean;
  callerAddress: ListenAddress;
  readyAddress: ListenAddress;
  /** No metrics are served if null. */
  metricsAddress: ListenAddress | null;
  log: SharedLog;
  records: RecordDialect;
  callers: CallerDialect;
  upstreams: UpstreamDialect;
  leaseHolderClient: LeaseHolderClient;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/**
 * One process of the deployment. It serves callers, runs steps and, while it
 * holds the lease, performs the deployment-wide tasks.
 */
export class RolloutNode {
  private readonly configuration: ConfigurationState;
  private readonly notices: NoticeRegistry;
  private readonly directory: UpstreamDirectory;
  private readonly registry: StepRegistry;
  private readonly streams: StepStreams;
  private readonly runner: StepRunner;
  private readonly server: CallerServer;
  private readonly lease: LeaseTask;
  private readonly usage: UsageTask;
  private readonly servedVersions: ServedVersionsTask;
  private readonly streamOrigins: StreamOrigins;
  private readonly weightUpdater: WeightUpdater;
  private readonly membership: MembershipTask;
  private readonly queue: AdmissionQueue;
  private readonly assignment: PartitionAssignment;
  private readonly controlTail: StreamTail;
  private readonly controlQueue: AppendQueue;
  private readonly platformTails: PlatformTails;
  private readonly statusServers: StatusServers;
  private readonly refresher: ConnectionRefresher;
  private readonly memory: ResponseMemory;
  private isReady = false;
  private isStopping = false;
  private readonly startedAt;

  constructor(private readonly options: NodeOptions) {
    const {clock, logger, limits, self, log, metrics} = options;
    this.startedAt = clock.now();
    const processId = `${self.id}.${self.incarnation}`;
    const health = new StoreHealth(clock, logger.child('store'));
    this.configuration = new ConfigurationState(
      clock,
      logger.child('configuration'),
      limits.revocationMs,
    );
    this.notices = new NoticeRegistry({
      process: self.id,
      publisher: {
        publishLimit: (incarnation, perSecond) =>
          feed.publishLimit(incarnation, perSecond),
        publishLeaving: incarnation => feed.publishLeaving(incarnation),
        publishDemand: pool => feed.publishDemand(pool),
      },
      getViewAt: () => this.controlTail.confirmedAt,
      getProcessCount: () => time.processCount,
      hasControlCalls: pool =>
        (this.configuration.getPool(pool)?.models.length ?? 0) > 0,
      isListed: ({id, bornAt}) =>
        this.directory.get(id)?.entry.bornAt === bornAt,
      clock,
      logger: logger.child('notices'),
      metrics,
    });
    this.directory = new UpstreamDirectory({
      notices: this.notices,
      dialect: options.records,
      clock,
      logger: logger.child('upstreams'),
      health,
      getPool: id => this.configuration.getPool(id),
      isStarting: () => this.isStarting(),
      policy: options.policy,
    });
    const layout = createRunnerLayout(
      options.stepPartitionCount,
      options.policy,
    );
    this.registry = new StepRegistry(
      clock,
      logger.child('steps'),
      limits.stepStatusMs,
      layout,
    );
    const shared = {clock, logger: logger.child('log'), metrics};
    this.streams = new StepStreams({
      ...options,
      registry: this.registry,
      health,
      layout,
      createQueue: (stream, partition) =>
        this.createQueue(stream, partition, processId),
      getOwnedPartitions: () => this.runner.getOwnedPartitions(),
      isLeaseHeld: () => this.lease.isHeld(),
    });
    const {partitions, texts} = this.streams;
    const steps = new StepService({
      ...shared,
      texts,
      registry: this.registry,
      partitions,
      logger: logger.child('steps'),
    });
    const ledger = new UsageLedger();
    const time = new TimeConsensus(clock);
    this.controlQueue = this.createQueue(STREAMS.control, 0, processId);
    const {controlQueue} = this;
    const crashes: CrashTracker = new CrashTracker(
      clock,
      logger.child('crashes'),
      (fingerprint, upstream) => feed.publishCrash(fingerprint, upstream),
    );
    this.servedVersions = new ServedVersionsTask({
      ...shared,
      log,
      stream: STREAMS.servedVersions,
      configuration: this.configuration,
      directory: this.directory,
      health,
      isLeaseHeld: () => this.lease.isHeld(),
      isFirstStart: options.isFirstStart,
      logger: logger.child('streams'),
      getWallMs: () => time.now(),
      random: Math.random,
    });
    this.streamOrigins = new StreamOrigins({
      clock,
      metrics,
      served: this.servedVersions,
      getProcessCount: () => time.processCount,
      publisher: {
        publishStreams: (pool, software, ids) =>
          feed.publishStreams(pool, software, ids),
      },
    });
    const feed: ControlFeed = new ControlFeed({
      process: self.id,
      notices: this.notices,
      streams: this.streamOrigins,
      queue: controlQueue,
      directory: this.directory,
      ledger,
      time,
      crashes,
      isCaughtUp: () => this.controlTail.confirmedAt !== null,
      clock,
      logger: logger.child('control'),
    });
    this.controlTail = new StreamTail({
      ...shared,
      log,
      stream: STREAMS.control,
      partition: 0,
      getWaitMs: () => CONTROL_LONG_POLL_MS,
      getPauseMs: () =>
        this.runner.getOwnedPartitions().size > 0
          ? CONTROL_READ_INTERVAL_MS.runner
          : CONTROL_READ_INTERVAL_MS.other,
      health,
      onEntry: (entry, offset) => feed.apply(entry, offset),
    });
    this.lease = new LeaseTask({
      log,
      stream: STREAMS.lease,
      processId,
      instance: self.id,
      leaseMs: limits.leaseMs,
      isReserve: options.isReserve,
      clock,
      logger: logger.child('lease'),
      metrics,
      health,
      random: Math.random,
      onTaken: () => {
        this.streams.followAll();
        this.streams.restart();
      },
    });
    this.usage = new UsageTask({
      processId,
      windowMs: limits.reportWindowMs,
      maxReportDelayMs: limits.reportLateMs,
      queue: controlQueue,
      ledger,
      lease: this.lease,
      leaseHolderClient: options.leaseHolderClient,
      time,
      clock,
      logger: logger.child('usage'),
      metrics,
    });
    this.memory = new ResponseMemory(metrics);
    const coldShares = new ColdShares({
      limits,
      getOpenRunnerCount: () =>
        this.streams.isCaughtUp()
          ? this.registry.getOpenRunnerCount()
          : options.stepPartitionCount,
      getProcessCount: () => time.processCount,
    });
    this.queue = new AdmissionQueue({
      directory: this.directory,
      clock,
      logger: logger.child('queue'),
      metrics,
    });
    this.configuration.onChange(() => this.queue.recheck());
    const forwarding: ForwardContext = {
      directory: this.directory,
      dialect: options.upstreams,
      crashes,
      memory: this.memory,
      streams: this.streamOrigins,
      clock,
      logger: logger.child('forward'),
      metrics,
      domain: self.domain,
      waiting: new WaitingRequests(),
      queue: this.queue,
      policy: options.policy,
      getColdShare: pool => coldShares.getCallerShare(pool),
      onExecution: account => this.usage.countRequest(account),
    };
    this.runner = new StepRunner({
      registry: this.registry,
      layout,
      configuration: this.configuration,
      directory: this.directory,
      dialect: options.upstreams,
      forwarding,
      clock,
      logger: logger.child('samples'),
      metrics,
      domain: self.domain,
      getColdShare: pool => coldShares.getSampleShare(pool),
      policy: options.policy,
      processId,
      texts,
      storeProgress: (partition, part) =>
        void steps.storeProgress(partition, part),
      getPendingTextCount: partition =>
        this.streams.getPendingTextCount(partition),
      storeResult: (trackedStep, result, output) =>
        steps.storeResult(trackedStep, result, output),
    });
    feed.onVersion(() => this.runner.startQueuedSamples());
    this.weightUpdater = new WeightUpdater({
      areStepsKnown: () => this.streams.isCaughtUp(),
      getNeededVersion: model => this.registry.getNeededVersion(model),
      policy: options.policy,
      lease: this.lease,
      feed,
      configuration: this.configuration,
      directory: this.directory,
      dialect: options.upstreams,
      clock,
      logger: logger.child('weights'),
      metrics,
    });
    this.assignment = new PartitionAssignment({
      partitionCount: options.stepPartitionCount,
      runner: this.runner,
      streams: this.streams,
      onAcquiring: () => this.controlTail.hurry(),
    });
    this.membership = new MembershipTask({
      log,
      group: STEP_GROUP,
      member: getMemberName(self.id, options.isReserve),
      stream: this.streams.name,
      partitionCount: options.stepPartitionCount,
      minTtlMs: options.minTtlMs,
      isReserve: options.isReserve,
      clock,
      logger: logger.child('membership'),
      onPartitions: partitions => this.assignment.apply(partitions),
    });
    this.server = new CallerServer({
      dialect: options.callers,
      configuration: this.configuration,
      forwarding,
      steps,
      clock,
      logger: logger.child('callers'),
      metrics,
    });
    this.refresher = new ConnectionRefresher({
      directory: this.directory,
      dialect: options.upstreams,
      getPools: () => this.getRefreshedPools(),
      clock,
      metrics,
    });
    this.platformTails = createPlatformTails({
      ...options,
      configuration: this.configuration,
      directory: this.directory,
      health,
    });
    this.statusServers = new StatusServers({
      ...options,
      readyPath: options.callers.readyPath,
      explainer: new PlacementExplainer({
        self,
        configuration: this.configuration,
        forwarding,
        explainSample: (step, sample) => this.runner.explain(step, sample),
      }),
      isAcceptingTraffic: () => this.isAcceptingTraffic(),
    });
    this.registerGauges();
  }

  /**
   * Starts the listeners and joins the deployment once the control stream has
   * been read to its end and the configuration and upstreams are known. Steps
   * are read when they are needed.
   */
  async start(): Promise<void> {
    const {options} = this;
    const {callerAddress, clock} = options;
    this.platformTails.operator.start();
    this.platformTails.upstreams.start();
    this.controlTail.start();
    await listenOn(this.server.server, callerAddress);
    await this.statusServers.start();
    void this.sweep();
    await this.controlTail.whenCaughtUp();
    const {upstreams} = this.platformTails;
    while (!upstreams.confirmedAt || !this.isConfigurationKnown()) {
      await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
    }
    if (this.isStopping) return;
    this.membership.start();
    this.lease.start();
    this.weightUpdater.start();
    this.refresher.start();
    this.usage.start();
    this.isReady = true;
    options.logger.info('ready', {
      startMs: Math.round(clock.now() - this.startedAt),
      configuration: this.configuration.getRoutes()?.configuration.version,
    });
  }

  /** Returns the pools of engines if this process runs samples there. */
  private getRefreshedPools(): Pool[] {
    const {placement} = this.options.policy;
    const isRunner = this.runner.getOwnedPartitions().size > 0;
    if (placement === 'spread' || !isRunner) return [];
    const pools = this.configuration.getRoutes()?.configuration.pools;
    return [...(pools?.values() ?? [])].filter(pool => pool.models.length > 0);
  }

  /** Shuts down gracefully: hands over work and finishes open requests. */
  async stop(): Promise<void> {
    const {clock, limits, logger} = this.options;
    const startedAt = clock.now();
    const deadline = getDeadline(startedAt, limits.graceMs - EXIT_MARGIN_MS);
    this.isStopping = true;
    this.isReady = false;
    this.assignment.stop();
    this.queue.stop();
    logger.info('stopping', {open: this.server.openRequestCount});
    this.server.drain(
      getDeadline(startedAt, limits.graceMs - ANSWER_MARGIN_MS),
    );
    this.weightUpdater.stop();
    this.refresher.stop();
    this.usage.stop();
    this.runner.storeAllProgress();
    await this.streams.drain(getDeadline(clock.now(), HANDOVER_TIMEOUT_MS));
    this.runner.stop();
    await Promise.all([this.membership.stop(), this.lease.stop()]);
    await clock.waitUntil(getDeadline(startedAt, LISTENER_CLOSE_DELAY_MS));
    await this.server.shutdown.close(
      getDeadline(startedAt, limits.graceMs - AFTER_LISTENER_MS),
    );
    while (clock.now() < deadline && !this.isDrained()) {
      await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
      this.server.server.closeIdleConnections();
    }
    logger.info('stopped', {
      open: this.server.openRequestCount,
      elapsedMs: Math.round(clock.now() - startedAt),
    });
  }

  /** Stops immediately, without handing over any work. */
  kill(): void {
    this.isStopping = true;
    this.isReady = false;
    this.assignment.stop();
    this.weightUpdater.stop();
    this.refresher.stop();
    this.usage.halt();
    this.membership.halt();
    this.lease.halt();
    this.runner.stop();
    this.platformTails.operator.stop();
    this.platformTails.upstreams.stop();
    this.controlTail.stop();
    this.servedVersions.stop();
    this.streams.close();
    this.controlQueue.close();
    closeImmediately(this.server.server);
    this.statusServers.close();
  }

  private isConfigurationKnown(): boolean {
    if (!this.configuration.getRoutes()) return false;
    return this.servedVersions.isCaughtUp();
  }

  private isDrained(): boolean {
    if (this.server.openRequestCount > 0) return false;
    if (this.streams.hasPendingAppends()) return false;
    return !this.server.shutdown.mayRequestArrive();
  }

  private isStarting(): boolean {
    const {clock, isFirstStart} = this.options;
    return isFirstStart && clock.now() - this.startedAt < STARTUP_MS;
  }

  private createQueue(stream: string, partition: number, producer: string) {
    const {log, recordBytes, callBytes, clock, logger, metrics} = this.options;
    return new AppendQueue({
      log,
      stream,
      partition,
      producerId: producer,
      recordBytes,
      callBytes,
      clock,
      logger: logger.child('log'),
      metrics,
    });
  }

  private async sweep(): Promise<void> {
    const {clock} = this.options;
    while (!this.isStopping) {
      await clock.waitUntil(getDeadline(clock.now(), SWEEP_INTERVAL_MS));
      this.directory.sweep();
      this.notices.update();
      this.servedVersions.update();
      this.streamOrigins.removeExpired();
      this.registry.removeExpired();
      this.runner.startQueuedSamples();
    }
  }

  /**
   * Whether callers should be routed to this process. One that has lost contact
   * with the store will soon have to refuse keys, while others may still reach
   * the store.
   */
  private isAcceptingTraffic(): boolean {
    const {revocationMs} = this.options.limits;
    const ageMs = this.configuration.getAgeMs();
    return this.isReady && ageMs < revocationMs * MAX_STALE_SHARE;
  }

  private registerGauges(): void {
    const {metrics} = this.options;
    metrics.gauge('vc_configuration_age_ms', () =>
      Math.round(this.configuration.getAgeMs()),
    );
    metrics.gauge('vc_limited_upstreams', () => this.notices.limitedCount);
    metrics.gauge('vc_leaving_upstreams', () => this.notices.leavingCount);
    metrics.gauge('vc_open_requests', () => this.server.openRequestCount);
    metrics.gauge('vc_held_response_bytes', () => this.memory.bytes);
    metrics.gauge('vc_open_samples', () => this.runner.size);
    metrics.gauge('vc_lease_held', () => (this.lease.isHeld() ? 1 : 0));
    metrics.gauge('vc_runs_samples', () => (this.membership.isMember ? 1 : 0));
  }
}
