import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';
import {z} from 'zod';

const idPattern = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/;
const idSchema = z
  .string()
  .regex(idPattern, 'an id of letters, digits, ".", "_" or "-"');

/** Fair share and limits of a client account. */
export const accountSchema = z.strictObject({
  weight: z.number().positive().default(1),
  maxConcurrent: z.number().int().positive().default(64),
  /** Retries allowed per successful request. */
  retryRatio: z.number().min(0).max(1).default(0.1),
});

/** A caller's API key, stored as a hash. */
export const apiKeySchema = z.strictObject({
  account: idSchema,
  hash: z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of the key in hex'),
  state: z.enum(['active', 'withdrawn']),
});

/** Maps requests to a pool and lists the accounts that may send them. */
export const routeSchema = z.strictObject({
  pathPrefix: z.string().startsWith('/'),
  methods: z.array(z.string()).nonempty().default(['GET', 'POST']),
  /** Matches the `model` field of a completion request. */
  model: z.string().optional(),
  pool: idSchema,
  access: z.union([z.literal('open'), z.array(idSchema).nonempty()]),
  /**
   * Whether a request may be sent again if an earlier attempt may have run:
   * `idempotent` allows it, `once` does not.
   */
  repeat: z.enum(['idempotent', 'once']),
  timeoutMs: z.number().int().positive().default(30_000),
  /**
   * Among the requests of one account, those with a higher priority start
   * first. Also passed to engines.
   */
  priority: z.number().int().min(0).max(9).default(5),
});

/** A group of upstreams of one kind, and their limits. */
export const poolSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']),
  model: z.string().optional(),
  /** Maximum number of concurrent requests per warm upstream. */
  maxConcurrent: z.number().int().positive().default(16),
  ramp: z
    .strictObject({
      initial: z.number().int().positive().default(1),
      factor: z.number().gt(1).default(2),
      stepMs: z.number().int().positive().default(2_000),
    })
    .prefault({}),
  minUpstreams: z.number().int().min(0).default(1),
  maxUpstreams: z.number().int().positive().default(64),
  coldStartMs: z.number().int().min(0).default(60_000),
  /** How long an idempotency key is kept, ms. */
  dedupWindowMs: z.number().int().positive().default(600_000),
});

/**
 * An operator's settings for one upstream; only needed to deviate from the
 * defaults.
 */
export const upstreamSchema = z.strictObject({
  pool: idSchema,
  domain: idSchema,
  state: z.enum(['in', 'draining']).default('in'),
  checksFencing: z.boolean().default(false),
});

/** A failure domain and whether it takes new work. */
export const domainSchema = z.strictObject({
  region: idSchema,
  state: z.enum(['in', 'out']).default('in'),
});

/** A trainer and the maximum age of its samples. */
export const trainerSchema = z.strictObject({
  account: idSchema,
  model: z.string(),
  /**
   * Maximum number of versions by which a sample may be behind the newest one
   * at delivery.
   */
  maxVersionAge: z.number().int().min(0),
  weight: z.number().positive().default(1),
});

/** Settings of usage reporting. */
export const reportingSchema = z.strictObject({
  windowMs: z.number().int().min(1_000).default(300_000),
});

/** Schemas of each record kind, one per schema version, oldest first. */
export const recordSchemas = {
  account: [accountSchema],
  key: [apiKeySchema],
  route: [routeSchema],
  pool: [poolSchema],
  upstream: [upstreamSchema],
  domain: [domainSchema],
  trainer: [trainerSchema],
  reporting: [reportingSchema],
} as const;

export type RecordKind = keyof typeof recordSchemas;
export type Account = z.infer<typeof accountSchema>;
export type ApiKey = z.infer<typeof apiKeySchema>;
export type Route = z.infer<typeof routeSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type FailureDomain = z.infer<typeof domainSchema>;
export type Trainer = z.infer<typeof trainerSchema>;
export type Reporting = z.infer<typeof reportingSchema>;

/** Body type of each record kind at its newest schema version. */
export interface RecordBodies {
  account: Account;
  key: ApiKey;
  route: Route;
  pool: Pool;
  upstream: Upstream;
  domain: FailureDomain;
  trainer: Trainer;
  reporting: Reporting;
}

/** `kind/id`, for example `route/seats`. */
export type RecordKey = `${RecordKind}/${string}`;

export type RecordFailure =
  | {tag: 'unknown_kind'; kind: string}
  | {tag: 'bad_id'; id: string}
  | {tag: 'newer_schema'; kind: RecordKind; version: number}
  | {tag: 'invalid_body'; mistakes: string[]};

/**
 * Functions that migrate a body from version N to N + 1; index 0 migrates
 * version 1.
 */
type Migrations = ReadonlyArray<(body: unknown) => unknown>;

/** One migration per schema version that is not the newest. */
const migrations: Record<RecordKind, Migrations> = {
  account: [],
  key: [],
  route: [],
  pool: [],
  upstream: [],
  domain: [],
  trainer: [],
  reporting: [],
};

export function isRecordKind(kind: string): kind is RecordKind {
  return Object.hasOwn(recordSchemas, kind);
}

/** Returns the newest schema version of a kind; versions start at 1. */
export function getNewestSchemaVersion(kind: RecordKind): number {
  return recordSchemas[kind].length;
}

/** Parses and validates `kind/id`. */
export function parseRecordKey(
  key: string,
): Result<{kind: RecordKind; id: string}, RecordFailure> {
  const slash = key.indexOf('/');
  const kind = key.slice(0, Math.max(slash, 0));
  const id = key.slice(slash + 1);
  if (!isRecordKind(kind)) return fail({tag: 'unknown_kind', kind});
  if (!idPattern.test(id)) return fail({tag: 'bad_id', id});
  return ok({kind, id});
}

/**
 * Validates a body against its schema version and migrates it to the newest.
 */
export function parseRecordBody<Kind extends RecordKind>(
  kind: Kind,
  version: number,
  body: unknown,
): Result<RecordBodies[Kind], RecordFailure> {
  const newest = getNewestSchemaVersion(kind);
  if (!Number.isInteger(version) || version < 1 || version > newest) {
    return fail({tag: 'newer_schema', kind, version});
  }
  const parsed = recordSchemas[kind][version - 1].safeParse(body);
  if (!parsed.success) {
    const mistakes = parsed.error.issues.map(
      issue => `${issue.path.map(String).join('.')}: ${issue.message}`,
    );
    return fail({tag: 'invalid_body', mistakes});
  }
  let migrated: unknown = parsed.data;
  for (const migrate of migrations[kind].slice(version - 1)) {
    migrated = migrate(migrated);
  }
  return ok(migrated as RecordBodies[Kind]);
}
