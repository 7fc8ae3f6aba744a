import type {RequestId} from '@vanillacross/common';

import type {UpstreamCall} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {SampleTask} from './sampleTask.js';

/** Most time that one generation may take, ms. */
const GENERATION_BUDGET_MS = 30_000;

/** The request that runs a sample at an engine, after the text so far. */
export function getSampleCall(
  task: SampleTask,
  upstream: Upstream,
): UpstreamCall {
  const {sample, trackedStep: open, text} = task;
  return {
    // Engines know a sample's run by the id of the sample.
    id: sample.id as unknown as RequestId,
    method: 'POST',
    target: sample.path,
    host: open.step.host,
    headers: sample.headers,
    account: open.step.account,
    upstream: upstream.id,
    budgetMs: GENERATION_BUDGET_MS,
    lastEventId: text.lastEventId,
    priority: null,
  };
}
