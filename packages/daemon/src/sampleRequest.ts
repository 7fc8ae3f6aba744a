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

/** What one request for a sample is made of. */
export interface SampleRequestInput {
  spec: SampleSpec;
  trainer: Trainer;
  samplePool: SamplePool;
  /** Tokens that the request continues. */
  progress: SampleProgress;
  priority: number;
  avoid: string[];
  /** Time for the request, ms. */
  attemptTimeoutMs: number;
  signal: AbortSignal;
}

const COMPLETION_PATH = '/v1/completions';
/** Part of a prompt that decides where its prefix is cached, characters. */
const PREFIX_LENGTH = 256;
/** Bytes of a token of a prompt, on average; for cost estimates. */
const BYTES_PER_TOKEN = 4;

/** The pool of the model's route, or else the pool that states the model. */
export function findSamplePool(
  state: ControlState,
  table: AccessTable,
  model: string,
): SamplePool | null {
  const routes = getPathRoutes(table, 'POST', COMPLETION_PATH);
  const own = routes.filter(({route}) => route.model === model);
  const route = getModelRoute(own, model)?.route;
  const routed = route && getRecordBody(state, 'pool', route.pool);
  if (route && routed?.kind === 'engine') {
    return {poolId: route.pool, pool: routed};
  }
  const found = listRecords(state, 'pool').find(
    ({body}) => body.kind === 'engine' && body.model === model,
  );
  return found ? {poolId: found.id, pool: found.body} : null;
}

/** Creates the completion request of one attempt at a sample. */
export function createSampleRequest(
  clock: Clock,
  input: SampleRequestInput,
): DispatchRequest {
  const {spec, trainer, samplePool: place} = input;
  const {model, account} = trainer;
  // The seed keeps the samples of a group apart and repeats comparable.
  const seed = getHash32(spec.id);
  const body = getSampleBody(model, spec, seed, input.progress);
  const prefix = spec.prompt.slice(0, PREFIX_LENGTH);
  return {
    requestId: randomUUID(),
    account,
    poolId: place.poolId,
    pool: place.pool,
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
