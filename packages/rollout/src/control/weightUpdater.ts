import type {
  Clock,
  Logger,
  Metrics,
  MonotonicMs,
  Result,
} from '@vanillacross/common';
import {fail, getDeadline, requestJson} from '@vanillacross/common';
import {getModelHomes} from '@vanillacross/domain';

import type {ConfigurationState} from '../configuration/index.js';
import type {
  EngineReport,
  JsonCall,
  Pool,
  SchedulingPolicy,
  UpstreamDialect,
  WeightOrder,
} from '../model/index.js';
import type {UpstreamDirectory, Upstream} from '../upstreams/index.js';
import type {ControlFeed} from './controlFeed.js';
import type {LeaseTask} from './leaseTask.js';
import type {AnnouncedModel, PlannedUpstream} from './weightPlan.js';
import {planWeightUpdates} from './weightPlan.js';

/** Interval between planning rounds, ms. */
const PLAN_INTERVAL_MS = 100;
/** Interval at which a process without the lease looks for it, ms. */
const LEASE_POLL_INTERVAL_MS = 400;
const CALL_TIMEOUT_MS = 600;
/** Calls that an update needs: a report and an order. */
const CALLS_PER_UPDATE = 2;
/** Expected time to load a version, ms. */
const EXPECTED_LOAD_MS = 950;
/** Interval between polls of an engine that loads, ms. */
const POLL_INTERVAL_MS = 200;
/** Maximum number of polls before an update is given up. */
const MAX_POLLS = 25;
/** Backoff before an engine whose update failed is tried again, ms. */
const BACKOFF_MS = 500;
/**
 * Time for which processes treat an engine as loading a model after the update
 * is published, unless a later record ends it, ms.
 */
const LOADING_TTL_MS = 1_100;

/** Maximum size of the response to a report or an order, bytes. */
const MAX_CALL_BYTES = 256 * 1024;

export interface WeightUpdaterOptions {
  lease: LeaseTask;
  feed: ControlFeed;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  /** Whether all open steps are known. */
  areStepsKnown: () => boolean;
  /** Returns the oldest version of a model that all open steps can use. */
  getNeededVersion: (model: string) => number;
  policy: SchedulingPolicy;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Updates engines to the announced versions while the lease is held. */
export class WeightUpdater {
  /** Model that each engine with an update in progress is loading. */
  private readonly updating = new Map<Upstream, string>();
  private readonly backoffUntil = new Map<Upstream, MonotonicMs>();
  /** By model, how far the versions that its steps need are behind the newest. */
  private readonly versionLags = new Map<string, number>();
  private isStopped = false;

  constructor(private readonly options: WeightUpdaterOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const {clock, lease, areStepsKnown} = this.options;
    while (!this.isStopped) {
      const isHeld = lease.isHeld();
      if (isHeld && areStepsKnown()) this.planUpdates();
      const intervalMs = isHeld ? PLAN_INTERVAL_MS : LEASE_POLL_INTERVAL_MS;
      await clock.waitUntil(getDeadline(clock.now(), intervalMs));
    }
  }

  private planUpdates(): void {
    const {configuration} = this.options;
    const pools = configuration.getRoutes()?.configuration.pools.values() ?? [];
    for (const pool of pools) {
      if (pool.models.length > 0) this.updatePool(pool);
    }
  }

  private updatePool(pool: Pool): void {
    const {directory} = this.options;
    const announced = this.getAnnounced(pool);
    if (announced.size === 0) return;
    const engines = directory.getUsable(pool.id);
    const byId = new Map(engines.map(engine => [String(engine.id), engine]));
    const updates = planWeightUpdates({
      modelCount: pool.models.length,
      announced,
      upstreams: engines.map(engine =>
        this.getPlannedUpstream(engine, announced),
      ),
      homes:
        this.options.policy.placement === 'concentrated'
          ? getModelHomes(pool.models, [...byId.keys()])
          : null,
    });
    for (const {upstream, model, version} of updates) {
      const engine = byId.get(upstream)!;
      this.updating.set(engine, model);
      void this.updateEngine(engine, model, version)
        .catch((error: Error) => this.handleFault(engine, error))
        .finally(() => this.updating.delete(engine));
    }
  }

  /** Returns the pool's models that have an announced version. */
  private getAnnounced(pool: Pool): Map<string, AnnouncedModel> {
    const {configuration, clock, getNeededVersion} = this.options;
    const announced = new Map<string, AnnouncedModel>();
    for (const [
      model,
      {version, announcedAt},
    ] of configuration.getAnnouncedVersions()) {
      if (!pool.models.includes(model)) continue;
      const ageMs = clock.now() - announcedAt;
      const neededVersion = getNeededVersion(model);
      const isConcentrated = this.options.policy.placement === 'concentrated';
      const expectedVersion = isConcentrated
        ? this.getExpectedVersion(model, version, neededVersion)
        : 0;
      announced.set(model, {version, ageMs, neededVersion, expectedVersion});
    }
    return announced;
  }

  /**
   * Returns the oldest version that the next step of a model is expected to need:
   * as far behind the newest one as that of its steps so far; 0 if unknown.
   */
  private getExpectedVersion(
    model: string,
    version: number,
    neededVersion: number,
  ): number {
    const known = this.versionLags.get(model) ?? Infinity;
    const lag = version - neededVersion;
    if (neededVersion > 0 && lag >= 0 && lag < known) {
      this.versionLags.set(model, lag);
    }
    return Math.max(0, version - (this.versionLags.get(model) ?? version));
  }

  private getPlannedUpstream(
    engine: Upstream,
    announced: ReadonlyMap<string, AnnouncedModel>,
  ): PlannedUpstream {
    const now = this.options.clock.now();
    return {
      id: engine.id,
      domain: engine.entry.domain,
      versions: new Map(
        [...announced.keys()].map(model => [model, engine.getVersion(model)]),
      ),
      updatingModel: this.updating.get(engine) ?? null,
      isBackingOff:
        !engine.notices.mayCall(CALLS_PER_UPDATE) ||
        (this.backoffUntil.get(engine) ?? 0) > now,
    };
  }

  private async updateEngine(
    engine: Upstream,
    model: string,
    version: number,
  ): Promise<void> {
    const {logger, metrics, feed, clock} = this.options;
    const report = await this.readReport(engine);
    if (!report.ok) return this.backOff(engine, report.error);
    this.applyReport(engine, report.value);
    if (report.value.isLoading) return this.backOff(engine, 'still loading');
    if (engine.getVersion(model) >= version) {
      return feed.publishVersion(engine, model, engine.getVersion(model), 0);
    }
    feed.publishVersion(
      engine,
      model,
      engine.getVersion(model),
      LOADING_TTL_MS,
    );
    const answer = await this.sendOrder(
      engine,
      model,
      version,
      report.value.orderCount,
    );
    metrics.count('vc_weight_orders', {answer});
    logger.info('weight order attempted', {
      upstream: engine.id,
      model,
      version,
      from: report.value.versions.get(model) ?? null,
      expectedOrderCount: report.value.orderCount,
      fencingToken: this.options.lease.fencingToken,
      answer,
    });
    if (answer !== 'accepted') {
      feed.publishVersion(engine, model, engine.getVersion(model), 0);
      return this.backOff(engine, `order: ${answer}`);
    }
    await clock.waitUntil(getDeadline(clock.now(), EXPECTED_LOAD_MS));
    await this.awaitVersion(engine, model, version);
  }

  private async awaitVersion(
    engine: Upstream,
    model: string,
    version: number,
  ): Promise<void> {
    const {clock, feed, logger} = this.options;
    for (let poll = 0; poll < MAX_POLLS && !this.isStopped; poll++) {
      const report = await this.pollReport(engine);
      if (engine.getVersion(model) >= version) {
        logger.info('engine serves the announced version', {
          upstream: engine.id,
          model,
          version,
          polls: poll + 1,
        });
        return feed.publishVersion(engine, model, version, 0);
      }
      if (report && !report.isLoading) break;
      if (!this.options.directory.isUsable(engine)) break;
      await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
    }
    this.backOff(engine, 'engine did not reach the version');
  }

  /**
   * Reads and applies a report, unless the engine's request limit lets it take
   * no more calls than the next update needs; its entry and its responses tell
   * the version too.
   */
  private async pollReport(engine: Upstream): Promise<EngineReport | null> {
    if (!engine.notices.mayCall(CALLS_PER_UPDATE)) return null;
    const report = await this.readReport(engine);
    if (!report.ok) return null;
    this.applyReport(engine, report.value);
    return report.value;
  }

  private backOff(engine: Upstream, reason: string): void {
    const {clock, logger} = this.options;
    this.backoffUntil.set(engine, getDeadline(clock.now(), BACKOFF_MS));
    logger.warn('weight update did not complete; backing off', {
      upstream: engine.id,
      reason,
    });
  }

  /** Handles an unexpected exception, so that it harms one engine only. */
  private handleFault(engine: Upstream, error: Error): void {
    this.options.metrics.count('vc_internal_errors');
    this.backOff(engine, `internal error: ${error.stack}`);
  }

  private applyReport(engine: Upstream, report: EngineReport): void {
    for (const [model, version] of report.versions) {
      engine.recordVersion(model, version);
    }
  }

  private async readReport(
    engine: Upstream,
  ): Promise<Result<EngineReport, string>> {
    const {dialect} = this.options;
    const sentAt = this.options.clock.now();
    const response = await this.call(engine, dialect.getReportCall(engine.id));
    if (!response.ok) return fail(response.error.tag);
    const {status, headers} = response.value;
    const {notice} = dialect.readHead(status, headers);
    if (notice) engine.notices.record(notice, sentAt);
    if (status !== 200) return fail(`report: status ${status}`);
    return dialect.readReport(response.value.body);
  }

  private async sendOrder(
    engine: Upstream,
    model: string,
    version: number,
    expectedOrderCount: number,
  ): Promise<string> {
    const {dialect, lease, configuration} = this.options;
    const routes = configuration.getRoutes()?.configuration.routes ?? [];
    const isSingleVersion = routes.some(
      route =>
        route.isSingleVersion &&
        route.targets.some(target => target.pool === engine.entry.pool),
    );
    if (!engine.notices.mayCall()) return 'over the request limit';
    const order: WeightOrder = {
      upstream: engine.id,
      model,
      version,
      mode: isSingleVersion ? 'finish_running' : 'keep_running',
      holder: lease.holder,
      fencingToken: lease.fencingToken,
      expectedOrderCount,
    };
    const response = await this.call(engine, dialect.getWeightCall(order), () =>
      lease.isHeld(),
    );
    if (!response.ok) return response.error.tag;
    const {status} = response.value;
    return status === 202 || status === 200 ? 'accepted' : `status ${status}`;
  }

  private call(engine: Upstream, call: JsonCall, mayWrite?: () => boolean) {
    engine.notices.recordCall();
    return requestJson({
      method: call.method,
      url: `http://${engine.entry.address}${call.path}`,
      headers: call.headers,
      body: call.body,
      timeoutMs: CALL_TIMEOUT_MS,
      maxBytes: MAX_CALL_BYTES,
      agent: engine.agent,
      mayWrite,
    });
  }
}
