/** A request to an engine, as far as its work is concerned. */
export interface PromptWork {
  /** Prompt tokens that the engine has cached. */
  keptTokens: number;
  /** Length of the whole prompt, tokens. */
  promptTokens: number;
  expectedOutputTokens: number;
}

/**
 * Work of generating one token, in prompt tokens to be read. An engine reads about
 * 340 prompt tokens in the ms in which it generates one or two.
 */
const OUTPUT_TOKEN_COST = 200;

/**
 * Returns the fraction of a request's time that a cached prompt saves, 0 to 1. It
 * decides between engines at which the wait is the same; a short output after a
 * long prompt may outweigh another request there.
 */
export function getPromptSaving(work: PromptWork): number {
  const {keptTokens, promptTokens, expectedOutputTokens} = work;
  const total = promptTokens + expectedOutputTokens * OUTPUT_TOKEN_COST;
  if (!(total > 0)) return 0;
  return Math.min(1, Math.max(0, keptTokens / total));
}
