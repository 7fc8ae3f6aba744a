import type {DomainId} from '@vanillacross/common';
import type {RunningSample, TextOrigin} from '@vanillacross/domain';
import {isWorthMigrating, mayExtendText} from '@vanillacross/domain';

import type {ConfigurationState} from '../configuration/index.js';
import {pickWeightedPool} from '../configuration/index.js';
import type {Pool, Route, SchedulingPolicy} from '../model/index.js';
import type {
  ExplainedChoice,
  Upstream,
  UpstreamCriteria,
  UpstreamDirectory,
} from '../upstreams/index.js';
import {chooseUpstream, explainChoice} from '../upstreams/index.js';
import {getSavedWork} from './samplePrompt.js';
import type {SampleTask} from './sampleTask.js';
import type {TrackedStep} from './stepRegistry.js';

/** A sample migrates if its engine is slower than another by this factor. */
const SLOW_FACTOR = 1.7;

/** Whether a sample should migrate to another engine. */
const isFasterByPlacement: Readonly<
  Record<
    SchedulingPolicy['placement'],
    (sample: RunningSample, other: Upstream) => boolean
  >
> = {
  spread: ({engine}, other) => {
    const intervalMs = other.getEventIntervalMs() ?? Infinity;
    return intervalMs * SLOW_FACTOR <= engine.intervalMs;
  },
  concentrated: (sample, other) =>
    isWorthMigrating(sample, {
      intervalMs: other.getEventIntervalMs(),
      occupancy: other.getOccupancy(),
    }),
};

export interface EngineSelectorOptions {
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  domain: DomainId;
  /** Requests per second that this process may send to one cold engine. */
  getColdShare: (pool: Pool) => number;
  policy: SchedulingPolicy;
  /** Whether an engine may take a queued sample as far as shares decide. */
  hasShare: (task: SampleTask, engine: Upstream) => boolean;
}

function hasFreeSlot(upstream: Upstream): boolean {
  return upstream.getOccupancy() < upstream.entry.slots;
}

/** Selects the engines that samples run on. */
export class EngineSelector {
  constructor(private readonly options: EngineSelectorOptions) {}

  getRoute(tracked: TrackedStep): Route | null {
    const routes = this.options.configuration.getRoutes();
    return routes?.getRoute(tracked.step.route) ?? null;
  }

  /**
   * Returns an engine with a free slot for a queued sample whose text so far has
   * this origin, or null.
   *
   * @param waitingCount Number of queued samples of its model, this one included.
   */
  chooseForStart(
    task: SampleTask,
    route: Route,
    origin: TextOrigin,
    waitingCount: number,
  ): Upstream | null {
    const poolId = pickWeightedPool(route, Math.random);
    const pool = poolId
      ? this.options.configuration.getPool(poolId as Pool['id'])
      : undefined;
    if (!pool) return null;
    const {directory, hasShare} = this.options;
    directory.recordDemand(pool.id);
    return (
      this.choose(
        task,
        pool,
        origin,
        waitingCount,
        u => u !== task.avoidedUpstream && hasShare(task, u),
      ) ?? this.choose(task, pool, origin, waitingCount, u => hasShare(task, u))
    );
  }

  /** Whether an engine in service may go on with the text of a sample. */
  hasEngineForText(task: SampleTask, route: Route): boolean {
    const {directory} = this.options;
    return route.targets
      .flatMap(({pool}) => directory.getUsable(pool))
      .some(({entry}) => mayExtendText(task.text.origin, entry.software));
  }

  /** Returns an engine that is expected to be faster than the current one. */
  chooseFaster(task: SampleTask, current: Upstream): Upstream | null {
    const intervalMs = current.getEventIntervalMs();
    const pool = this.options.configuration.getPool(current.entry.pool);
    if (intervalMs === null || !pool) return null;
    const engine = {intervalMs, occupancy: current.getOccupancy()};
    const sample = {events: task.text.lastEventId, engine};
    const isFaster = isFasterByPlacement[this.options.policy.placement];
    return this.choose(
      task,
      pool,
      task.text.origin,
      1,
      other => other !== current && isFaster(sample, other),
    );
  }

  private choose(
    task: SampleTask,
    pool: Pool,
    origin: TextOrigin,
    waitingCount: number,
    isEligible: (upstream: Upstream) => boolean,
  ): Upstream | null {
    const available = this.options.directory
      .getUsable(pool.id)
      .filter(hasFreeSlot)
      .filter(isEligible);
    const criteria = this.getCriteria(task, pool, origin, waitingCount);
    return chooseUpstream(available, criteria);
  }

  /**
   * Explains which engine of a pool `chooseForStart` would return; changes
   * nothing.
   */
  explainStart(
    task: SampleTask,
    pool: Pool,
    origin: TextOrigin,
    waitingCount: number,
  ): ExplainedChoice {
    const {directory, hasShare} = this.options;
    const criteria = this.getCriteria(task, pool, origin, waitingCount);
    const explain = (avoided: Upstream | null) =>
      explainChoice(directory.getListed(pool.id), criteria, upstream => {
        const exclusion = directory.getExclusion(upstream);
        if (exclusion) return [exclusion];
        const reasons: string[] = [];
        if (!hasFreeSlot(upstream)) reasons.push('full');
        if (!hasShare(task, upstream)) reasons.push('share');
        if (upstream === avoided) reasons.push('avoided');
        return reasons;
      });
    const {avoidedUpstream} = task;
    const choice = explain(avoidedUpstream);
    return choice.chosen || !avoidedUpstream ? choice : explain(null);
  }

  private getCriteria(
    task: SampleTask,
    pool: Pool,
    origin: TextOrigin,
    waitingCount: number,
  ): UpstreamCriteria {
    const {domain, getColdShare, policy} = this.options;
    const {model, minVersion} = task.trackedStep.step;
    return {
      pool,
      coldShare: getColdShare(pool),
      domain,
      tried: new Set(),
      weights: model === null ? null : {model, minVersion},
      origin,
      maxInFlight: pool.maxConnections,
      isBackground: false,
      placement:
        policy.placement === 'concentrated'
          ? {
              waitingCount,
              getSavedWork: engine => getSavedWork(task, pool, engine),
            }
          : null,
    };
  }
}
