import {randomInt} from 'node:crypto';

/** Seed if `ABUSE_SEED` is neither a number nor `random`. */
const DEFAULT_FUZZ_SEED = 20_260_512;
const MAX_SEED = 2 ** 31 - 1;

/**
 * Returns the seed of generated malformed input: the number in `ABUSE_SEED`, a
 * random one for `ABUSE_SEED=random`, or a fixed default. fast-check prints the
 * seed with each failure.
 */
export function getFuzzSeed(): number {
  const text = process.env['ABUSE_SEED'] ?? '';
  if (text === 'random') return randomInt(MAX_SEED);
  return /^\d{1,10}$/.test(text) ? Number(text) | 0 : DEFAULT_FUZZ_SEED;
}
