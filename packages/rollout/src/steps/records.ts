import type {RequestId, Result} from '@vanillacross/common';
import {fail, ok, parseJson} from '@vanillacross/common';
import {z} from 'zod';

import type {SampleResult, Step} from '../model/index.js';
import type {ProgressPart} from './progress.js';

/** Schema version of the records that this process writes. */
const SCHEMA_VERSION = 1;

const scoringSchema = z.object({
  id: z.string(),
  host: z.string(),
  path: z.string(),
  body: z.string(),
});

const promptSchema = z.object({
  model: z.string().nullable(),
  parts: z.array(z.object({id: z.string(), tokens: z.number().min(0)})),
  outputTokens: z.number().nullable(),
});

const sampleSchema = z.object({
  id: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  tokens: z.number(),
  expectedTokens: z.number().nullable(),
  // Older releases write no prompt. As it only guides the placement, one that
  // can't be read must not lose the step.
  prompt: promptSchema.nullable().catch(null),
  group: z.string(),
  scoring: scoringSchema.nullable(),
});

const stepSchema = z.object({
  id: z.string(),
  account: z.string().nullable(),
  route: z.string(),
  host: z.string(),
  model: z.string().nullable(),
  minVersion: z.number(),
  targetGroups: z.number(),
  acceptedAt: z.number(),
  samples: z.array(sampleSchema),
});

const textLocationSchema = z.object({
  partition: z.number(),
  offset: z.number(),
  bytes: z.number(),
});

const resultSchema = z.object({
  sample: z.string(),
  state: z.enum(['completed', 'dead']),
  versions: z.array(z.number()),
  score: z.string().nullable(),
  text: textLocationSchema.nullable(),
});

const partSchema = z.object({
  sample: z.string(),
  chain: z.string(),
  parent: z.string(),
  branch: z.number(),
  after: z.number(),
  events: z.number(),
  versions: z.array(z.number()),
  software: z.string().nullable().default(null),
  text: textLocationSchema,
});

const schema = z.literal(SCHEMA_VERSION);
const recordSchema = z.discriminatedUnion('tag', [
  z.object({tag: z.literal('step'), schema, step: stepSchema}),
  z.object({
    tag: z.literal('result'),
    schema,
    step: z.string(),
    result: resultSchema,
  }),
  z.object({tag: z.literal('progress'), schema, part: partSchema}),
  z.object({tag: z.literal('end'), schema, step: z.string()}),
]);

/** A record of the step stream. */
export type StepRecord =
  | {tag: 'step'; step: Step}
  | {tag: 'result'; step: RequestId; result: SampleResult}
  | {tag: 'progress'; part: ProgressPart}
  | {tag: 'end'; step: RequestId};

/** Encodes a record as JSON. */
export function encodeStepRecord(record: StepRecord): Buffer {
  return Buffer.from(JSON.stringify({schema: SCHEMA_VERSION, ...record}));
}

/**
 * Decodes a record; fails if it is invalid or has another schema version, which a
 * newer release of this program may have written.
 */
export function decodeStepRecord(entry: Buffer): Result<StepRecord, string> {
  const parsed = parseJson(entry.toString('utf8'));
  if (!parsed.ok) return fail(parsed.error.detail);
  const record = recordSchema.safeParse(parsed.value);
  if (!record.success) return fail(record.error.issues[0].message);
  const {schema: _schema, ...decoded} = record.data;
  return ok(decoded as unknown as StepRecord);
}
