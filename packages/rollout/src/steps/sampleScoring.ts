import type {Clock, Logger, PoolId} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {ConfigurationState} from '../configuration/index.js';
import {leadsTo, pickWeightedPool} from '../configuration/index.js';
import type {ForwardContext, ForwardOutcome} from '../forwarding/index.js';
import {RequestForwarder} from '../forwarding/index.js';
import type {Pool, Route, ScoringCall} from '../model/index.js';
import type {SampleTask} from './sampleTask.js';

/** Delay before a failed scoring request is retried, ms. */
const RETRY_MS = 40;
/** Maximum delay before a scoring request that was refused is retried, ms. */
const MAX_REFUSAL_RETRY_MS = 200;

export interface SampleScoringOptions {
  configuration: ConfigurationState;
  forwarding: ForwardContext;
  clock: Clock;
  logger: Logger;
  /** Called with the score of a sample; null if scoring failed permanently. */
  onScore: (task: SampleTask, score: string | null) => void;
}

/** Sends the scoring requests of finished samples and retries failed ones. */
export class SampleScoring {
  constructor(private readonly options: SampleScoringOptions) {}

  /** Scores a sample; `task.cancelScoring` cancels the request. */
  score(task: SampleTask, call: ScoringCall): void {
    const route = this.findRoute(call);
    const pool = route && this.findPool(route);
    if (!route || !pool) return this.retry(task, call, RETRY_MS);
    const {clock} = this.options;
    const forwarder = new RequestForwarder(this.options.forwarding, {
      id: call.id,
      // Scoring requests may always be retried, regardless of the route's kind.
      route: {...route, kind: 'idempotent'},
      pool,
      method: 'POST',
      target: call.path,
      host: call.host,
      headers: {},
      body: Buffer.from(call.body, 'base64'),
      continuation: null,
      account: null,
      deadline: getDeadline(clock.now(), route.timeoutMs),
      priority: null,
      queueOrder: {
        priority: route.priority,
        unfinishedInGroup: task.unfinishedInGroup,
      },
      isBackground: true,
      mayCrashUpstreams: false,
      isPermitted: () => true,
      isRouted: () => {
        const current = this.findRoute(call);
        return current !== null && leadsTo(current, pool.id);
      },
    });
    task.cancelScoring = () => forwarder.abandon();
    void forwarder
      .run()
      .then(outcome => this.handleOutcome(task, call, route, outcome));
  }

  private findRoute(call: ScoringCall): Route | null {
    const routes = this.options.configuration.getRoutes();
    return routes?.findRoute(call.host, call.path.split('?')[0]) ?? null;
  }

  private findPool(route: Route): Pool | null {
    const id = pickWeightedPool(route, Math.random);
    if (id === null) return null;
    return this.options.configuration.getPool(id as PoolId) ?? null;
  }

  private handleOutcome(
    task: SampleTask,
    call: ScoringCall,
    route: Route,
    outcome: ForwardOutcome,
  ): void {
    const {logger, onScore} = this.options;
    task.cancelScoring = null;
    if (task.isCancelled) return;
    if (outcome.tag === 'answered') {
      const {status, signature} = outcome.head;
      // The signature of the scoring response is the score of the sample.
      if (status < 300 && signature !== null) return onScore(task, signature);
      task.scoringFailures += outcome.serverErrors;
      if (task.scoringFailures >= route.maxAttempts) return onScore(task, null);
    }
    logger.info('scoring failed, retrying', {
      step: task.trackedStep.step.id,
      sample: task.id,
      outcome: outcome.tag,
      failures: task.scoringFailures,
    });
    const isRefused = outcome.tag === 'not_run';
    const delayMs = isRefused
      ? Math.min(outcome.retryAfterMs, MAX_REFUSAL_RETRY_MS)
      : RETRY_MS;
    this.retry(task, call, delayMs);
  }

  private retry(task: SampleTask, call: ScoringCall, delayMs: number): void {
    const {clock} = this.options;
    clock.callAt(getDeadline(clock.now(), delayMs), () => {
      if (!task.isCancelled) this.score(task, call);
    });
  }
}
