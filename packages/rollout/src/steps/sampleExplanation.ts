import type {UpstreamId} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {noText} from '@vanillacross/domain';

import {getPoolShares} from '../configuration/index.js';
import type {
  ExplainedPool,
  ForwardContext,
  PlacementDecision,
} from '../forwarding/index.js';
import {explainRequest} from '../forwarding/index.js';
import type {Pool, Route} from '../model/index.js';
import type {ExplainedChoice} from '../upstreams/index.js';
import type {EngineSelectorOptions} from './engineSelector.js';
import {EngineSelector} from './engineSelector.js';
import type {SampleStage, SampleTask} from './sampleTask.js';
import type {SlotSharesOptions} from './slotShares.js';
import {SlotShares} from './slotShares.js';
import {decideText} from './textDecision.js';

/** Where a sample would go now. */
export interface ExplainedSample {
  stage: SampleStage;
  /** Engine that it runs on; null if it doesn't run. */
  upstream: UpstreamId | null;
  /** Number of events of its text so far. */
  events: number;
  /**
   * For a sample that is being scored, the pools of its scoring call; empty for one
   * that is being stored.
   */
  pools: readonly ExplainedPool[];
}

export interface SampleExplanationOptions
  extends
    Omit<EngineSelectorOptions, 'hasShare'>,
    Omit<SlotSharesOptions, 'getRoute'> {
  forwarding: ForwardContext;
  /** The samples that this process runs. */
  tasks: readonly SampleTask[];
}

type Explain = (
  task: SampleTask,
  options: SampleExplanationOptions,
) => ExplainedPool[];

const explanations: Readonly<Record<SampleStage, Explain>> = {
  loading: explainGeneration,
  queued: explainGeneration,
  generating: explainGeneration,
  scoring: explainScoring,
  storing: () => [],
};

/**
 * Explains where a sample would go now, and changes nothing. One that is not
 * queued is explained as if it were, beside the samples that are.
 */
export function explainSample(
  task: SampleTask,
  options: SampleExplanationOptions,
): ExplainedSample {
  return {
    stage: task.stage,
    upstream: task.generation?.upstream.id ?? null,
    events: task.text.lastEventId,
    pools: explanations[task.stage](task, options),
  };
}

function getPools(
  route: Route | null,
  {configuration}: SampleExplanationOptions,
): Array<{pool: Pool; share: number}> {
  if (!route) return [];
  return [...getPoolShares(route)].flatMap(([id, share]) => {
    const pool = configuration.getPool(id);
    return pool ? [{pool, share}] : [];
  });
}

function explainScoring(
  task: SampleTask,
  options: SampleExplanationOptions,
): ExplainedPool[] {
  const call = task.sample.scoring;
  const routes = options.configuration.getRoutes();
  const route =
    (call && routes?.findRoute(call.host, call.path.split('?')[0])) ?? null;
  if (!route) return [];
  const {unfinishedInGroup} = task;
  return getPools(route, options).map(({pool, share}) =>
    explainRequest(
      options.forwarding,
      {
        // As for the call itself, whatever the route's kind is.
        route: {...route, kind: 'idempotent'},
        pool,
        isBackground: true,
        unfinishedInGroup,
      },
      share,
    ),
  );
}

function explainGeneration(
  task: SampleTask,
  options: SampleExplanationOptions,
): ExplainedPool[] {
  const {policy, tasks, clock} = options;
  // Shares of its own, because a look at them must not change those in use.
  const slotShares: SlotShares = new SlotShares({
    ...options,
    getRoute: tracked => selector.getRoute(tracked),
  });
  const selector: EngineSelector = new EngineSelector({
    ...options,
    hasShare: (other, engine) =>
      policy.placement === 'spread' || slotShares.mayStart(other, engine),
  });
  slotShares.refresh(tasks);
  const route = selector.getRoute(task.trackedStep);
  if (!route) return [];
  const {model} = task.trackedStep.step;
  const queued = tasks.filter(
    ({stage, trackedStep}) =>
      stage === 'queued' && trackedStep.step.model === model,
  );
  const waitingCount = queued.length + (task.stage === 'queued' ? 0 : 1);
  return getPools(route, options).map(({pool, share}) => {
    const explain = (origin: TextOrigin) =>
      selector.explainStart(task, pool, origin, waitingCount);
    const next = explain(task.text.origin);
    const text = decideText(
      task,
      next.chosen !== null,
      () => selector.hasEngineForText(task, route),
      clock.now(),
    );
    const choice = text === 'restart' ? explain(noText) : next;
    return {
      pool: pool.id,
      share,
      queueLength: queued.length,
      decision: task.isPastRetention(route, clock.wallNow())
        ? {tag: 'refuse', reason: 'past its retention', retryAfterMs: null}
        : getDecision(choice),
      ...choice,
    };
  });
}

function getDecision({chosen}: ExplainedChoice): PlacementDecision {
  if (chosen !== null) return {tag: 'start'};
  return {tag: 'wait', reason: 'no engine can take it'};
}
