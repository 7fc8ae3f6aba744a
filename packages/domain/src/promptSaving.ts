/** A request to an engine, as far as its work is concerned. */
export interface PromptWork {
  /** Prompt tokens that the engine has cached. */
  keptTokens: number;
  /** Length of the whole prompt, tokens. */
  promptTokens: number;
  expectedOutputTokens: number;
}

/** Work of generating one token, in prompt tokens to be read. */
const OUTPUT_TOKEN_COST = 10;

/**
 * Returns the fraction of a request's work that a cached prompt saves, 0 to 1. As
 * a request more at an engine costs 1, a cached prompt alone never makes up for
 * one more; together with an idle connection it may.
 */
export function getPromptSaving(work: PromptWork): number {
  const {keptTokens, promptTokens, expectedOutputTokens} = work;
  const total = promptTokens + expectedOutputTokens * OUTPUT_TOKEN_COST;
  if (!(total > 0)) return 0;
  return Math.min(1, Math.max(0, keptTokens / total));
}
