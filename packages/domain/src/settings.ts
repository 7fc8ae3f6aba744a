import type {ListenAddress} from '@vanillacross/common';
import {parseAddress} from '@vanillacross/common';
import {z} from 'zod';

const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const ID_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/;
const MIN_SECRET_LENGTH = 16;

const id = z
  .string({error: 'an id'})
  .regex(
    ID_PATTERN,
    'an id of 1 to 64 letters, digits, ".", "_" or "-", with a letter or digit first',
  );

const address = z
  .string({error: 'an address of the form ip:port'})
  .transform((text, context): ListenAddress => {
    const parsed = parseAddress(text);
    if (parsed) return parsed;
    context.addIssue({
      code: 'custom',
      message: 'an address of the form ip:port',
    });
    return z.NEVER;
  });

const url = z
  .string({error: 'a URL that starts with http://'})
  .regex(/^http:\/\/[^\s/]+$/, 'a URL such as http://127.0.0.1:9000');

const addresses = z
  .string()
  .default('')
  .transform(text =>
    text
      .split(',')
      .map(part => part.trim())
      .filter(part => part !== ''),
  )
  .pipe(
    z.array(
      z
        .string()
        .refine(
          part => parseAddress(part) !== null,
          'addresses of the form ip:port, separated by commas',
        ),
    ),
  );

/**
 * An integer within bounds. Values in INI files are strings, so they are
 * coerced.
 */
function integer(defaultValue: number, min: number, max: number) {
  return z.coerce
    .number({error: `a whole number from ${min} to ${max}`})
    .int(`a whole number from ${min} to ${max}`)
    .min(min, `at least ${min}`)
    .max(max, `at most ${max}`)
    .default(defaultValue);
}

const limits = z
  .strictObject({
    /** Time that running requests get to complete at shutdown, ms. */
    drainMs: integer(30_000, 0, 3_600_000),
    maxBodyBytes: integer(4 * 1024 * 1024, 1_024, 1024 * 1024 * 1024),
    /** Time for a caller to send its headers and body, ms. */
    callerTimeoutMs: integer(30_000, 100, 600_000),
    /** Maximum rate at which this process appends to the log, per second. */
    appendsPerSecond: integer(20, 1, 1_000),
  })
  .prefault({});

const log = z
  .strictObject({
    level: z
      .enum(['info', 'warn', 'error', 'silent'], {
        error: 'info, warn, error or silent',
      })
      .default('info'),
  })
  .prefault({});

const cluster = z.strictObject({
  secret: z
    .string({error: `a secret of at least ${MIN_SECRET_LENGTH} characters`})
    .min(MIN_SECRET_LENGTH, `at least ${MIN_SECRET_LENGTH} characters`),
  /** Peer listeners of entries, used until the instance list has been read. */
  seeds: addresses,
});

const instanceFields = {
  id,
  domain: id,
  region: id.default('default'),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  instance: z.strictObject({role: z.literal('entry'), ...instanceFields}),
  listen: z.strictObject({caller: address, peer: address, admin: address}),
  platform: z.strictObject({
    log: url,
    instances: url,
    reports: url,
    weights: url.optional(),
    scoring: url.optional(),
    /** URL of the ordering interface by failure domain. */
    ordering: z.record(id, url).default({}),
  }),
  cluster,
  operator: z.strictObject({
    tokenHash: z
      .string({error: 'the SHA-256 of the operator token in hex'})
      .regex(SHA256_PATTERN, 'the SHA-256 of the operator token in hex'),
  }),
  controller: z
    .strictObject({
      /** Retention of the platform's log, ms. */
      retentionMs: integer(86_400_000, 10_000, 31_536_000_000),
      /**
       * Whether to scale the number of upstreams with demand; if off, none are
       * started or stopped.
       */
      scaling: z.boolean({error: 'true or false'}).default(false),
    })
    .prefault({}),
  limits,
  log,
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  instance: z.strictObject({role: z.literal('agent'), ...instanceFields}),
  listen: z.strictObject({data: address, peer: address, admin: address}),
  platform: z.object({instances: url}),
  cluster,
  upstream: z.strictObject({id, pool: id, url}),
  limits,
  log,
});

/** Settings of either role. */
export const settingsSchema = z
  .looseObject({
    instance: z.looseObject(
      {
        role: z.enum(['entry', 'agent'], {error: 'entry or agent'}),
      },
      {error: 'a section with role, id and domain'},
    ),
  })
  .transform((raw, context): EntrySettings | AgentSettings => {
    const schema = settingsSchemas[raw.instance.role];
    const parsed = schema.safeParse(raw);
    if (parsed.success) return parsed.data;
    for (const issue of parsed.error.issues) {
      context.addIssue({
        code: 'custom',
        message:
          issue.code === 'unrecognized_keys'
            ? `no such key: ${issue.keys.join(', ')}`
            : issue.message,
        path: issue.path.map(part =>
          typeof part === 'symbol' ? String(part) : part,
        ),
      });
    }
    return z.NEVER;
  });

const settingsSchemas = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
};

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
export type Settings = EntrySettings | AgentSettings;

export function isEntrySettings(settings: Settings): settings is EntrySettings {
  return settings.instance.role === 'entry';
}
