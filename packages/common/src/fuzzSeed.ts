import {randomInt} from 'node:crypto';

/** Seed of generated malformed input when none is stated. */
const DEFAULT_ABUSE_SEED = 20_260_512;
const MAX_SEED = 2 ** 31 - 1;

/**
 * The seed of generated malformed input: `ABUSE_SEED` as a number, a new one
 * for `ABUSE_SEED=random`, a fixed one otherwise. fast-check prints the seed
 * with each failure.
 */
export function getFuzzSeed(): number {
  const text = process.env['ABUSE_SEED'] ?? '';
  if (text === 'random') return randomInt(MAX_SEED);
  return /^\d{1,10}$/.test(text) ? Number(text) | 0 : DEFAULT_ABUSE_SEED;
}
