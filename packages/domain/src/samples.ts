import type {SampleId} from '@vanillacross/common';
import {toBranded, getSha256} from '@vanillacross/common';
import {z} from 'zod';

import type {WeightSpan} from './messages.js';

/** Maximum number of samples of one step, over all groups. */
export const MAX_STEP_SAMPLES = 4_096;
/** Maximum number of tokens that a trainer may request for one sample. */
const MAX_SAMPLE_TOKENS = 1_000_000;

/**
 * An id that is part of a sample id; it must not contain the separator of
 * sample ids.
 */
const idPartSchema = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/,
    'an id of letters, digits, ".", "_" or "-"',
  );

const groupSchema = z.strictObject({
  group: z.union([idPartSchema, z.number().int().min(0)]),
  prompt: z.string(),
  count: z.number().int().min(1).max(MAX_STEP_SAMPLES),
  maxTokens: z.number().int().min(1).max(MAX_SAMPLE_TOKENS),
});

/** Body of a step as submitted by the trainer. */
export const stepSchema = z
  .strictObject({
    groups: z.array(groupSchema).min(1),
    /** Version of the trainer's policy; stored with the step. */
    policyVersion: z.number().int().min(0),
  })
  .refine(
    ({groups}) =>
      new Set(groups.map(({group}) => String(group))).size === groups.length,
    'each group may appear once',
  )
  .refine(
    ({groups}) =>
      groups.reduce((sum, {count}) => sum + count, 0) <= MAX_STEP_SAMPLES,
    `a step has at most ${MAX_STEP_SAMPLES} samples`,
  );

export type StepContent = z.infer<typeof stepSchema>;

/** A sample of a step that is to be generated. */
export interface SampleSpec {
  id: SampleId;
  group: string | number;
  index: number;
  prompt: string;
  maxTokens: number;
}

/** Returns the deterministic id of a sample. */
export function getSampleId(
  trainer: string,
  step: string,
  group: string | number,
  index: number,
): SampleId {
  return toBranded<SampleId>(`${trainer}/${step}/${group}/${index}`);
}

/** Returns the trainer and step of a sample id; null if the id is malformed. */
export function parseSampleId(
  id: string,
): {trainer: string; step: string} | null {
  const parts = id.split('/');
  if (parts.length !== 4 || parts.some(part => part === '')) return null;
  return {trainer: parts[0], step: parts[1]};
}

/** Returns all samples of a step, group by group. */
export function getSampleSpecs(
  trainer: string,
  step: string,
  {groups}: StepContent,
): SampleSpec[] {
  return groups.flatMap(({group, prompt, count, maxTokens}) =>
    Array.from({length: count}, (_, index) => ({
      id: getSampleId(trainer, step, group, index),
      group,
      index,
      prompt,
      maxTokens,
    })),
  );
}

/**
 * Returns a hash of a step's content that does not depend on the order of
 * fields.
 */
export function getStepHash({groups, policyVersion}: StepContent): string {
  const rows = groups.map(({group, prompt, count, maxTokens}) => [
    String(group),
    prompt,
    count,
    maxTokens,
  ]);
  return getSha256(JSON.stringify([policyVersion, rows]));
}

/** Returns the total number of tokens of the spans. */
export function getSpanTokens(spans: readonly WeightSpan[]): number {
  return spans.reduce((sum, [, tokens]) => sum + tokens, 0);
}

/** Why spans cannot label a sample. */
export type WeightSpanError = 'empty' | 'mismatch' | 'count';

/**
 * Checks that the spans label every token of a text with a confirmed version
 * (requirement R1). Agents use version -1 for tokens whose label they could not
 * confirm.
 */
export function checkSpans(
  spans: readonly WeightSpan[],
  tokens: number,
): WeightSpanError | null {
  if (spans.length === 0) return 'empty';
  const isLabeled = ([version, count]: WeightSpan) => version >= 0 && count > 0;
  if (!spans.every(isLabeled)) return 'mismatch';
  return getSpanTokens(spans) === tokens ? null : 'count';
}

/** Joins the spans of an interrupted response and of its continuation. */
export function joinSpans(
  first: readonly WeightSpan[],
  second: readonly WeightSpan[],
): WeightSpan[] {
  const joined = first.map(span => [...span] as WeightSpan);
  for (const [version, tokens] of second) {
    const last = joined.at(-1);
    if (last && last[0] === version) last[1] += tokens;
    else joined.push([version, tokens]);
  }
  return joined;
}

/** Returns the oldest version in the spans; null if there are none. */
export function getOldestVersion(spans: readonly WeightSpan[]): number | null {
  if (spans.length === 0) return null;
  return spans.reduce((oldest, [v]) => Math.min(oldest, v), Infinity);
}

/**
 * Returns the age of a sample in versions: the model's newest version minus the
 * oldest version that generated any of its tokens. Infinite without spans.
 */
export function getSampleAge(
  newest: number,
  spans: readonly WeightSpan[],
): number {
  const oldest = getOldestVersion(spans);
  return oldest === null ? Infinity : Math.max(0, newest - oldest);
}

/**
 * Returns whether a sample is recent enough to be delivered (requirement R2).
 */
export function isWithinVersionAge(
  newest: number,
  spans: readonly WeightSpan[],
  maxVersionAge: number,
): boolean {
  return getSampleAge(newest, spans) <= maxVersionAge;
}

/**
 * Returns whether unfinished work can still be delivered. Versions only grow,
 * so work whose oldest token is too old stays too old.
 * @param oldest Version of the oldest token; null if there is none yet.
 */
export function canMeetVersionAge(
  newest: number,
  oldest: number | null,
  maxVersionAge: number,
): boolean {
  return oldest === null || newest - oldest <= maxVersionAge;
}
