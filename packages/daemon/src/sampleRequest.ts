import {getDeadline, getHash32, getSha256} from '@vanillacross/common';
import type {Clock} from '@vanillacross/common';
import type {
  AccessTable,
  ControlState,
  Pool,
  SampleSpec,
  Trainer,
} from '@vanillacross/domain';
import {
  listRecords,
  getRecordBody,
  getModelRoute,
  getPathRoutes,
} from '@vanillacross/domain';
import {randomUUID} from 'node:crypto';

import type {SampleProgress} from './sampleAttempt.js';
import {getSampleBody} from './sampleAttempt.js';
import type {DispatchRequest} from './types.js';

/** The pool that generates the samples of a model. */
export interface SamplePool {
  poolId: string;
  pool: Pool;
}

export interface SampleRequestInput {
  spec: SampleSpec;
  trainer: Trainer;
  samplePool: SamplePool;
  /** Tokens after which the request resumes. */
  progress: SampleProgress;
  priority: number;
  avoid: string[];
  /** Timeout of the request, ms. */
  attemptTimeoutMs: number;
  signal: AbortSignal;
}

const COMPLETION_PATH = '/v1/completions';
/** Length of the prompt prefix that determines cache affinity, characters. */
const PREFIX_LENGTH = 256;
/** Bytes counted as one prompt token in cost estimates. */
const BYTES_PER_TOKEN = 4;

/** Pool of the model's route, or else an engine pool with that model. */
export function findSamplePool(
  state: ControlState,
  table: AccessTable,
  model: string,
): SamplePool | null {
  const routes = getPathRoutes(table, 'POST', COMPLETION_PATH);
  const modelRoutes = routes.filter(({route}) => route.model === model);
  const route = getModelRoute(modelRoutes, model)?.route;
  const routed = route && getRecordBody(state, 'pool', route.pool);
  if (route && routed?.kind === 'engine') {
    return {poolId: route.pool, pool: routed};
  }
  const found = listRecords(state, 'pool').find(
    ({body}) => body.kind === 'engine' && body.model === model,
  );
  return found ? {poolId: found.id, pool: found.body} : null;
}

/** Creates the completion request for one attempt. */
export function createSampleRequest(
  clock: Clock,
  input: SampleRequestInput,
): DispatchRequest {
  const {spec, trainer, samplePool} = input;
  const {model, account} = trainer;
  // Samples of a group get different seeds; a retry gets the same seed again.
  const seed = getHash32(spec.id);
  const body = getSampleBody(model, spec, seed, input.progress);
  const prefix = spec.prompt.slice(0, PREFIX_LENGTH);
  return {
    requestId: randomUUID(),
    account,
    poolId: samplePool.poolId,
    pool: samplePool.pool,
    method: 'POST',
    path: COMPLETION_PATH,
    headers: {'content-type': 'application/json'},
    body,
    repeat: 'idempotent',
    fingerprint: getSha256(`POST\n${COMPLETION_PATH}\n${body.toString()}`),
    priority: input.priority,
    cost: Math.ceil(body.length / BYTES_PER_TOKEN) + spec.maxTokens,
    affinity: getSha256(`${model}\n${prefix}`),
    deadline: getDeadline(clock.now(), input.attemptTimeoutMs),
    signal: input.signal,
    avoid: input.avoid,
  };
}
