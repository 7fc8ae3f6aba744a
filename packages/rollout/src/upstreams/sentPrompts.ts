import type {Clock} from '@vanillacross/common';
import type {PromptCache, PromptPart} from '@vanillacross/domain';
import {
  createPromptCache,
  forgetOtherVersions,
  forgetPrompt,
  getKeptTokens,
  recordPrompt,
} from '@vanillacross/domain';

/**
 * The prompts that this process sent to one incarnation of an engine, as far as
 * the engine is expected to have them cached. Bounded.
 */
export class SentPrompts {
  private cache: PromptCache | null = null;

  constructor(private readonly clock: Clock) {}

  /**
   * Records a prompt that is sent.
   *
   * @param version Version of the model that the engine serves.
   * @param memoryTokens Memory of the engine, tokens.
   */
  record(
    prompt: readonly PromptPart[],
    model: string,
    version: number,
    memoryTokens: number,
  ): void {
    const empty = createPromptCache(memoryTokens);
    const state = {...empty, parts: this.cache?.parts ?? empty.parts};
    const now = this.clock.now();
    this.cache = recordPrompt(state, prompt, model, version, now);
  }

  /** Forgets a prompt whose request the engine did not complete. */
  forget(prompt: readonly PromptPart[], model: string): void {
    this.cache &&= forgetPrompt(this.cache, prompt, model);
  }

  /** Forgets what other versions of a model have read. */
  forgetOtherVersions(model: string, version: number): void {
    this.cache &&= forgetOtherVersions(this.cache, model, version);
  }

  /** Returns how much of a prompt is expected to be cached, tokens. */
  getKeptTokens(
    prompt: readonly PromptPart[],
    model: string,
    version: number,
  ): number {
    if (!this.cache) return 0;
    const now = this.clock.now();
    return getKeptTokens(this.cache, prompt, model, version, now);
  }
}
