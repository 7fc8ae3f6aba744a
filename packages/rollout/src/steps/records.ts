import type {RequestId, Result, SampleId} from '@vanillacross/common';
import {as, fail, ok, parseJson} from '@vanillacross/common';
import {z} from 'zod';

import type {SampleResult, Step} from '../model/index.js';
import type {ProgressPart} from './progress.js';

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

/** The data of the events follows as a JSON array. */
const progressSchema = z.object({
  type: z.literal('progress'),
  schema: z.literal(SCHEMA_VERSION),
  sample: z.string(),
  chain: z.string(),
  parent: z.string(),
  branch: z.number(),
  after: z.number(),
  versions: z.array(z.number()),
});
const eventsSchema = z.array(z.string());

const headerSchema = z.discriminatedUnion('type', [
  stepSchema,
  resultSchema,
  progressSchema,
  endSchema,
]);

/** What the step stream tells. */
export type StepRecord =
  | {tag: 'step'; step: Step}
  | {tag: 'result'; step: RequestId; result: SampleResult}
  | {tag: 'progress'; part: ProgressPart}
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
  if (record.tag === 'progress') {
    const {events, ...part} = record.part;
    const payload = Buffer.from(JSON.stringify(events));
    return encode({type: 'progress', schema, ...part}, payload);
  }
  const {output, ...result} = record.result;
  return encode({type: 'result', schema, step: record.step, ...result}, output);
}

type Header = z.infer<typeof headerSchema>;

type RecordReaders = {
  [Type in Header['type']]: (
    header: Header & {type: Type},
    payload: Buffer,
  ) => Result<StepRecord, string>;
};

/** How each type of record is read from its header and payload. */
const readers: RecordReaders = {
  step: header => {
    const {type: _type, schema: _schema, ...step} = header;
    return ok({tag: 'step', step: step as unknown as Step});
  },
  end: header => ok({tag: 'end', step: as<RequestId>(header.step)}),
  progress: (header, payload) => {
    const parsed = parseJson(payload.toString('utf8'));
    if (!parsed.ok) return fail(parsed.error.detail);
    const events = eventsSchema.safeParse(parsed.value);
    if (!events.success) return fail(events.error.issues[0].message);
    const {type: _type, schema: _schema, ...part} = header;
    const sample = as<SampleId>(header.sample);
    return ok({
      tag: 'progress',
      part: {...part, sample, events: events.data},
    });
  },
  result: (header, payload) => {
    const result: SampleResult = {
      sample: as<SampleId>(header.sample),
      state: header.state,
      versions: header.versions,
      score: header.score,
      // Copied, so that the buffer of a whole read is not kept alive.
      output: Buffer.from(payload),
    };
    return ok({tag: 'result', step: as<RequestId>(header.step), result});
  },
};

/** Reads a record; unknown layouts of newer processes are an error. */
export function decodeStepRecord(entry: Buffer): Result<StepRecord, string> {
  const end = entry.indexOf(LINE_FEED);
  if (end < 0) return fail('no header line');
  const parsed = parseJson(entry.toString('utf8', 0, end));
  if (!parsed.ok) return fail(parsed.error.detail);
  const header = headerSchema.safeParse(parsed.value);
  if (!header.success) return fail(header.error.issues[0].message);
  const payload = entry.subarray(end + 1);
  return readers[header.data.type](header.data as never, payload);
}
