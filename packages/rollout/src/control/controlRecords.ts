import type {Result} from '@vanillacross/common';
import {fail, ok, parseJson} from '@vanillacross/common';
import {z} from 'zod';

const versionSchema = z.object({
  type: z.literal('version'),
  upstream: z.string(),
  bornAt: z.number(),
  model: z.string(),
  version: z.number(),
  /**
   * Time for which the engine counts as loading the model, ms; 0 if it is not
   * loading.
   */
  loadingMs: z.number(),
});

const usageSchema = z.object({
  type: z.literal('usage'),
  /** Process that counted the requests; its id is unique for each start. */
  process: z.string(),
  window: z.number(),
  /** Wall clock of the process, ms since the Unix epoch. */
  wallMs: z.number(),
  /** Requests executed in the window so far, by client account. */
  counts: z.record(z.string(), z.number()),
});

const sealSchema = z.object({
  type: z.literal('seal'),
  window: z.number(),
  counts: z.record(z.string(), z.number()),
});

const reportedSchema = z.object({
  type: z.literal('reported'),
  window: z.number(),
});

const crashSchema = z.object({
  type: z.literal('crash'),
  /**
   * Fingerprint of the request that was in flight when the connection broke.
   */
  fingerprint: z.string(),
  upstream: z.string(),
});

const incarnationFields = {
  upstream: z.string(),
  bornAt: z.number(),
  pool: z.string(),
};

const limitSchema = z.object({
  type: z.literal('limit'),
  ...incarnationFields,
  /** Requests/s that all processes together may send; null ends the limit. */
  perSecond: z.number().nullable(),
});

const leavingSchema = z.object({
  type: z.literal('leaving'),
  ...incarnationFields,
});

const demandSchema = z.object({
  type: z.literal('demand'),
  /** Process that has requests for a pool with limited upstreams. */
  process: z.string(),
  pool: z.string(),
});

const streamsSchema = z.object({
  type: z.literal('streams'),
  pool: z.string(),
  /** Software version of the upstreams at which the streams began. */
  software: z.string(),
  /** Ids of the requests that began them. */
  ids: z.array(z.string()),
});

const controlRecordSchema = z.discriminatedUnion('type', [
  versionSchema,
  usageSchema,
  sealSchema,
  reportedSchema,
  crashSchema,
  limitSchema,
  leavingSchema,
  demandSchema,
  streamsSchema,
]);

/** A record of the control stream. */
export type ControlRecord = z.infer<typeof controlRecordSchema>;

export function encodeControlRecord(record: ControlRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

export function decodeControlRecord(
  bytes: Buffer,
): Result<ControlRecord, string> {
  const parsed = parseJson(bytes.toString('utf8'));
  if (!parsed.ok) return fail(parsed.error.detail);
  const record = controlRecordSchema.safeParse(parsed.value);
  return record.success ? ok(record.data) : fail(record.error.message);
}
