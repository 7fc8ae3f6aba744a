import type {Metrics} from '@vanillacross/common';
import {getPromptSaving} from '@vanillacross/domain';

import type {ConfigurationState} from '../configuration/index.js';
import type {Pool, Prompt, Sample, SchedulingPolicy} from '../model/index.js';
import type {Upstream} from '../upstreams/index.js';
import type {SampleTask} from './sampleTask.js';

/** The prompt of a sample with the model whose engines cache it. */
interface CacheablePrompt extends Prompt {
  model: string;
}

/** Returns null if the prompt or its model is not known. */
function getPrompt({sample, trackedStep}: SampleTask): CacheablePrompt | null {
  const model = sample.prompt?.model ?? trackedStep.step.model;
  if (!sample.prompt || model === null) return null;
  return {...sample.prompt, model};
}

function getPromptTokens({parts}: Prompt): number {
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

function getExpectedKeptTokens(
  {parts, model}: CacheablePrompt,
  engine: Upstream,
): number {
  const version = engine.getVersion(model);
  return engine.prompts.getKeptTokens(parts, model, version);
}

/**
 * Returns the fraction of a sample's work that the prompt saves which an engine
 * of a pool is expected to have cached, 0 to 1.
 */
export function getSavedWork(
  task: SampleTask,
  pool: Pool,
  engine: Upstream,
): number {
  const prompt = pool.cacheTokens === null ? null : getPrompt(task);
  if (!prompt) return 0;
  const keptTokens = getExpectedKeptTokens(prompt, engine);
  if (keptTokens === 0) return 0;
  const {expectedTokens, tokens} = task.sample;
  const promptTokens = getPromptTokens(prompt);
  const maxOutputTokens = prompt.outputTokens ?? tokens - promptTokens;
  return getPromptSaving({
    keptTokens,
    promptTokens,
    expectedOutputTokens: Math.max(1, expectedTokens ?? maxOutputTokens),
  });
}

/**
 * Drops the prompts of samples where no placement uses them, so that step records
 * don't grow.
 */
export function keepUsedPrompts(
  samples: readonly Sample[],
  {placement}: SchedulingPolicy,
): readonly Sample[] {
  if (placement === 'concentrated') return samples;
  return samples.map(sample => ({...sample, prompt: null}));
}

export interface SentPromptOptions {
  configuration: ConfigurationState;
  metrics: Metrics;
  policy: SchedulingPolicy;
}

/** Fields of the log line about the start of a sample. */
export interface PromptFields {
  promptTokens?: number;
  /** Prompt tokens that the engine is expected to have cached. */
  cachedPromptTokens?: number;
}

/**
 * Records and counts the prompt of a sample that is sent to an engine. Without
 * concentrated placement nothing is recorded.
 */
export function recordSentPrompt(
  task: SampleTask,
  engine: Upstream,
  {configuration, metrics, policy}: SentPromptOptions,
): PromptFields {
  const pool = configuration.getPool(engine.entry.pool);
  const memoryTokens = pool?.cacheTokens ?? null;
  const prompt = getPrompt(task);
  if (policy.placement !== 'concentrated') return {};
  if (!pool || !prompt || memoryTokens === null) return {};
  const {parts, model} = prompt;
  const promptTokens = getPromptTokens(prompt);
  const cachedPromptTokens = getExpectedKeptTokens(prompt, engine);
  const version = engine.getVersion(model);
  engine.prompts.record(parts, model, version, memoryTokens);
  const count = (expected: string, tokens: number) =>
    metrics.count('vc_prompt_tokens', {expected, pool: pool.id}, tokens);
  count('cached', cachedPromptTokens);
  count('uncached', promptTokens - cachedPromptTokens);
  return {promptTokens, cachedPromptTokens};
}

/**
 * Forgets the prompt of a sample that an engine did not complete. Otherwise, an
 * engine that refuses samples, for example while it loads, would attract the
 * whole group again and again.
 */
export function forgetSentPrompt(task: SampleTask, engine: Upstream): void {
  const prompt = getPrompt(task);
  if (prompt) engine.prompts.forget(prompt.parts, prompt.model);
}
