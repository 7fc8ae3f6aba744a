import {getHash32} from '@vanillacross/common';

import {CHARS_PER_TOKEN} from './constants.js';

const WORDS =
  'seat row gate price early late hold pump nozzle meter valve check part line north south low high near open'.split(
    ' ',
  );
const HASH_RANGE = 2 ** 32;

/** What the text of a token depends on. */
export interface TokenSource {
  prompt: string;
  seed: number;
  weightVersion: number;
}

/**
 * Text of the token at an index. It depends on the weight version, so that a
 * test can check from the text which weights made it.
 */
export function getTokenText(source: TokenSource, index: number): string {
  const {prompt, seed, weightVersion} = source;
  const hash = getHash32(`${weightVersion}|${seed}|${index}|${prompt}`);
  return `${index === 0 ? '' : ' '}${WORDS[hash % WORDS.length]}${weightVersion}`;
}

/** Says whether generation ends by itself at this token. */
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
