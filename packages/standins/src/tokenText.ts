import {getHash32} from '@vanillacross/common';

import {CHARS_PER_TOKEN} from './constants.js';

const WORDS =
  'seat row gate price early late hold pump nozzle meter valve check part line north south low high near open'.split(
    ' ',
  );
const HASH_RANGE = 2 ** 32;

/** Inputs that determine the text of a token. */
export interface TokenSource {
  prompt: string;
  seed: number;
  weightVersion: number;
}

/**
 * Returns the text of the token at an index. It depends on the weight version,
 * so that tests can tell from the text which weights generated it.
 */
export function getTokenText(source: TokenSource, index: number): string {
  const {prompt, seed, weightVersion} = source;
  const hash = getHash32(`${weightVersion}|${seed}|${index}|${prompt}`);
  return `${index === 0 ? '' : ' '}${WORDS[hash % WORDS.length]}${weightVersion}`;
}

/** Returns whether generation stops at this token before the token limit. */
export function isStopToken(
  source: TokenSource,
  index: number,
  stopRate: number,
): boolean {
  const hash = getHash32(`stop|${source.seed}|${index}|${source.prompt}`);
  return hash / HASH_RANGE < stopRate;
}

export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARS_PER_TOKEN);
}
