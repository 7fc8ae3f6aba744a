import type {RequestId, Result, SampleId} from '@vanillacross/common';
import {as, fail, ok, parseJson} from '@vanillacross/common';
import {z} from 'zod';

import type {SampleResult, Step} from '../model/index.js';

/** Version of the record layout that this process writes. */
const SCHEMA_VERSION = 1;
const LINE_FEED = 0x0a;

const scoringSchema = z.object({
  id: z.string(),
  host: z.string(),
  path: z.string(),
  body: z.string(),
});

const sampleSchema = z.object({
  id: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  tokens: z.number(),
  expectedTokens: z.number().nullable(),
  group: z.string(),
  scoring: scoringSchema.nullable(),
});

const stepSchema = z.object({
  type: z.literal('step'),
  schema: z.literal(SCHEMA_VERSION),
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

const resultSchema = z.object({
  type: z.literal('result'),
  schema: z.literal(SCHEMA_VERSION),
  step: z.string(),
  sample: z.string(),
  state: z.enum(['completed', 'dead']),
  versions: z.array(z.number()),
  score: z.string().nullable(),
});

const endSchema = z.object({
  type: z.literal('end'),
  schema: z.literal(SCHEMA_VERSION),
  step: z.string(),
});

const headerSchema = z.discriminatedUnion('type', [
  stepSchema,
  resultSchema,
  endSchema,
]);

/** What the step stream tells. */
export type StepRecord =
  | {tag: 'step'; step: Step}
  | {tag: 'result'; step: RequestId; result: SampleResult}
  | {tag: 'end'; step: RequestId};

function encode(header: object, payload?: Buffer): Buffer {
  const line = Buffer.from(`${JSON.stringify(header)}\n`);
  return payload ? Buffer.concat([line, payload]) : line;
}

/** Writes a record as one JSON line, with the text of a result after it. */
export function encodeStepRecord(record: StepRecord): Buffer {
  const schema = SCHEMA_VERSION;
  if (record.tag === 'step') {
    return encode({type: 'step', schema, ...record.step});
  }
  if (record.tag === 'end') {
    return encode({type: 'end', schema, step: record.step});
  }
  const {output, ...result} = record.result;
  return encode({type: 'result', schema, step: record.step, ...result}, output);
}

/** Reads a record; unknown layouts of newer processes are an error. */
export function decodeStepRecord(entry: Buffer): Result<StepRecord, string> {
  const end = entry.indexOf(LINE_FEED);
  if (end < 0) return fail('no header line');
  const parsed = parseJson(entry.toString('utf8', 0, end));
  if (!parsed.ok) return fail(parsed.error.detail);
  const header = headerSchema.safeParse(parsed.value);
  if (!header.success) return fail(header.error.issues[0].message);
  const data = header.data;
  if (data.type === 'step') {
    const {type: _type, schema: _schema, ...step} = data;
    return ok({tag: 'step', step: step as unknown as Step});
  }
  if (data.type === 'end') {
    return ok({tag: 'end', step: data.step as RequestId});
  }
  // Copied, so that the buffer of a whole read is not kept alive.
  const output = Buffer.from(entry.subarray(end + 1));
  const result: SampleResult = {
    sample: as<SampleId>(data.sample),
    state: data.state,
    versions: data.versions,
    score: data.score,
    output,
  };
  return ok({tag: 'result', step: data.step as RequestId, result});
}
