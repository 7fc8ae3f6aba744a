import type {MonotonicMs} from '@vanillacross/common';

/** A part of a prompt. Prompts share parts from the start. */
export interface PromptPart {
  id: string;
  /** Length, tokens. */
  tokens: number;
}

/** A part that an engine is expected to have cached. */
interface CachedPart {
  model: string;
  /** Version of the weights that read the part. */
  version: number;
  tokens: number;
  usedAt: MonotonicMs;
}

/**
 * What one engine is expected to have cached of the prompts that this process
 * sent there.
 */
export interface PromptCache {
  /** Memory for cached parts, tokens. */
  capacityTokens: number;
  /** By model and path of part ids, least recently used first. */
  parts: ReadonlyMap<string, CachedPart>;
}

/**
 * Fraction of an engine's memory that the estimate may fill. Running requests
 * and the prompts that other processes send share the rest.
 */
const ESTIMATED_SHARE = 0.5;
/** Maximum number of parts, which bounds the memory that an estimate takes. */
const MAX_PARTS = 512;
/**
 * Age at which a part counts as evicted, ms. An engine that reads two whole
 * prompts of 1,016 tokens each second fills a memory of 116,448 tokens in 57 s;
 * running requests shorten this.
 */
const MAX_AGE_MS = 30_000;

/**
 * Creates the estimate for an engine that has cached nothing.
 *
 * @param memoryTokens Memory of the engine, tokens.
 */
export function createPromptCache(memoryTokens: number): PromptCache {
  const capacityTokens = memoryTokens * ESTIMATED_SHARE;
  return {capacityTokens, parts: new Map()};
}

/**
 * Returns the key of each part, which includes those of the parts before it: a
 * part is cached only together with them.
 */
function* getKeys(
  prompt: readonly PromptPart[],
  model: string,
): Generator<[string, PromptPart]> {
  let key = model;
  for (const part of prompt) {
    key += `\n${part.id}`;
    yield [key, part];
  }
}

/** Removes the oldest parts until the bounds are kept. */
function evict(
  parts: Map<string, CachedPart>,
  capacityTokens: number,
  now: MonotonicMs,
): void {
  let tokens = 0;
  for (const part of parts.values()) tokens += part.tokens;
  for (const [key, part] of parts) {
    const isWithinBounds =
      tokens <= capacityTokens &&
      parts.size <= MAX_PARTS &&
      now - part.usedAt <= MAX_AGE_MS;
    if (isWithinBounds) return;
    parts.delete(key);
    tokens -= part.tokens;
  }
}

/** Returns the estimate after a load of another version of a model. */
export function forgetOtherVersions(
  state: PromptCache,
  model: string,
  version: number,
): PromptCache {
  const kept = [...state.parts].filter(
    ([, part]) => part.model !== model || part.version === version,
  );
  if (kept.length === state.parts.size) return state;
  return {...state, parts: new Map(kept)};
}

/**
 * Returns the estimate after a prompt was sent. It answers groups of samples that
 * share most of their prompt and are placed within a moment: the parts count as
 * cached at once, so that the next sample of the group can follow.
 *
 * @param version Version of the model that the engine serves; parts that another
 *   version has read are forgotten.
 */
export function recordPrompt(
  state: PromptCache,
  prompt: readonly PromptPart[],
  model: string,
  version: number,
  now: MonotonicMs,
): PromptCache {
  const {capacityTokens} = state;
  const parts = new Map(forgetOtherVersions(state, model, version).parts);
  // The first part is added last: it must outlive those that build on it.
  for (const [key, {tokens}] of [...getKeys(prompt, model)].reverse()) {
    parts.delete(key);
    parts.set(key, {model, version, tokens, usedAt: now});
  }
  evict(parts, capacityTokens, now);
  return {capacityTokens, parts};
}

/** Returns the estimate after an engine has not run a request with a prompt. */
export function forgetPrompt(
  state: PromptCache,
  prompt: readonly PromptPart[],
  model: string,
): PromptCache {
  const parts = new Map(state.parts);
  for (const [key] of getKeys(prompt, model)) parts.delete(key);
  return {...state, parts};
}

/** Returns how much of a prompt's start is expected to be cached, tokens. */
export function getKeptTokens(
  state: PromptCache,
  prompt: readonly PromptPart[],
  model: string,
  version: number,
  now: MonotonicMs,
): number {
  let tokens = 0;
  for (const [key] of getKeys(prompt, model)) {
    const part = state.parts.get(key);
    if (!part || part.version !== version) break;
    if (now - part.usedAt > MAX_AGE_MS) break;
    tokens += part.tokens;
  }
  return tokens;
}
