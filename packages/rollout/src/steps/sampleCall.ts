import type {RequestId} from '@vanillacross/common';

import type {UpstreamCall} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {SampleTask} from './sampleTask.js';

/** Maximum duration of one generation, ms. */
const GENERATION_BUDGET_MS = 30_000;

/**
 * Creates the request that generates a sample, resuming after its last event.
 */
export function getSampleCall(
  task: SampleTask,
  upstream: Upstream,
): UpstreamCall {
  const {sample, trackedStep: tracked, text} = task;
  return {
    // Engines identify a generation by the sample id.
    id: sample.id as unknown as RequestId,
    method: 'POST',
    target: sample.path,
    host: tracked.step.host,
    headers: sample.headers,
    account: tracked.step.account,
    upstream: upstream.id,
    budgetMs: GENERATION_BUDGET_MS,
    lastEventId: text.lastEventId,
    priority: null,
  };
}
