/** Bounds of the learned ratio of generated to estimated length. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 4;
/** Weight of a new sample once the ratio is known well. */
const MIN_WEIGHT = 0.05;
/** Maximum number of models to track; the least recently updated is evicted. */
const MAX_MODELS = 64;
/**
 * Part of its present length that a sample lacks at least. Lengths are
 * heavy-tailed: a sample that exceeds its estimate is not about to end.
 */
const MIN_REMAINING_SHARE = 0.25;

/** What is known of the lengths of one model's samples; immutable. */
export interface LengthRatio {
  /** Generated events per estimated token, from 0.25 to 4. */
  ratio: number;
  /** Number of samples that it was learned from. */
  samples: number;
}

/** Learned ratios by model, the most recently updated last. */
export type LengthRatios = Map<string | null, LengthRatio>;

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
}

/** Returns generated events per estimated token of a model; 1 if unknown. */
export function getLengthRatio(
  ratios: LengthRatios,
  model: string | null,
): number {
  return ratios.get(model)?.ratio ?? 1;
}

/**
 * Learns from a sample that an engine completed. The ratios are averaged as
 * logarithms, which follows their median: the estimates are right there, and one
 * sample of the tail must not stretch the expectation of all others.
 *
 * @param estimatedTokens The trainer's estimate of the number of output tokens.
 */
export function recordLength(
  ratios: LengthRatios,
  model: string | null,
  estimatedTokens: number,
  generatedEvents: number,
): void {
  if (!(estimatedTokens > 0) || !(generatedEvents > 0)) return;
  const {ratio, samples} = ratios.get(model) ?? {ratio: 1, samples: 0};
  // The initial ratio of 1 counts as one sample.
  const weight = Math.max(MIN_WEIGHT, 1 / (samples + 2));
  const observed = clampRatio(generatedEvents / estimatedTokens);
  const learned = Math.exp(
    Math.log(ratio) * (1 - weight) + Math.log(observed) * weight,
  );
  ratios.delete(model);
  ratios.set(model, {ratio: clampRatio(learned), samples: samples + 1});
  for (const oldest of ratios.keys()) {
    if (ratios.size <= MAX_MODELS) break;
    ratios.delete(oldest);
  }
}

/**
 * Returns the number of events that a sample is expected to lack, at least 1.
 *
 * @param expectedEvents Its estimate, corrected by the learned ratio.
 * @param generatedEvents Number of events of its text so far.
 */
export function getRemainingEvents(
  expectedEvents: number,
  generatedEvents: number,
): number {
  return Math.max(
    1,
    expectedEvents - generatedEvents,
    generatedEvents * MIN_REMAINING_SHARE,
  );
}
