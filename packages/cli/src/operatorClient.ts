import type {Result} from '@vanillacross/common';
import {fail, ok, requestJson} from '@vanillacross/common';
import {z} from 'zod';
import type {ZodType} from 'zod';

import {OPERATOR_REQUEST_TIMEOUT_MS} from './constants.js';
import type {CommandFailure} from './errors.js';
import type {RecordChange, ConfigurationRecord} from './types.js';

const recordSchema = z.looseObject({
  key: z.string(),
  revision: z.number(),
  offset: z.number(),
  schemaVersion: z.number(),
  body: z.unknown(),
  operator: z.string(),
});

const outcomeSchema = z.discriminatedUnion('tag', [
  z.looseObject({
    key: z.string(),
    tag: z.literal('accepted'),
    offset: z.number(),
    revision: z.number(),
  }),
  z.looseObject({
    key: z.string(),
    tag: z.literal('conflict'),
    winner: z.string(),
    revision: z.number(),
  }),
  z.looseObject({
    key: z.string(),
    tag: z.literal('invalid'),
    mistakes: z.array(z.string()),
  }),
  z.looseObject({
    key: z.string(),
    tag: z.literal('log_unavailable'),
    detail: z.string(),
  }),
  z.looseObject({
    key: z.string(),
    tag: z.literal('unknown'),
    detail: z.string(),
  }),
]);

const putResponseSchema = z.looseObject({outcomes: z.array(outcomeSchema)});

/** An instance name: a string, or an object with an id. */
const nameSchema = z.union([
  z.string(),
  z.looseObject({id: z.string()}).transform(({id}) => id),
]);

/**
 * How many instances of a role have not applied a change yet. Entries send
 * either a list of these instances, or their count and a bounded list of names.
 */
const behindSchema = z
  .looseObject({
    total: z.number(),
    behind: z.union([z.number(), z.array(nameSchema)]),
    names: z.array(nameSchema).optional(),
  })
  .transform(({total, behind, names}) =>
    typeof behind === 'number'
      ? {total, behind, names: names ?? []}
      : {total, behind: behind.length, names: names ?? behind},
  );

const inForceSchema = z.looseObject({
  entries: behindSchema,
  agents: behindSchema,
});

const instanceSchema = z.looseObject({
  id: z.string(),
  role: z.string(),
  domain: z.string(),
  state: z.string(),
});

const upstreamSchema = z.looseObject({
  id: z.string(),
  pool: z.string(),
  domain: z.string(),
  isLeaving: z.boolean(),
  /** Log offset up to which the agent's configuration is current. */
  offset: z.number(),
  /** Time since the last message of the agent, ms; null before the first. */
  heardAgoMs: z.number().nullable(),
  /** Configuration record of the upstream; null if there is none. */
  record: z.looseObject({state: z.string()}).nullable(),
  load: z
    .looseObject({
      running: z.number(),
      limit: z.number(),
      version: z.number(),
      cold: z.boolean(),
    })
    .nullable(),
});

const statusSchema = z.looseObject({
  instance: instanceSchema,
  control: z.looseObject({
    highest: z.number(),
    isComplete: z.boolean(),
    newerSchemas: z.number(),
    lastSealed: z.number(),
    logContactAgoMs: z.number().nullable(),
  }),
  lease: z.looseObject({
    holder: z.string(),
    fencing: z.number(),
    isReleased: z.boolean(),
  }),
  hasAuthority: z.boolean(),
  heardDomains: z.array(z.string()),
  instances: z.array(instanceSchema),
  upstreams: z.array(upstreamSchema),
  domains: z.array(
    z.looseObject({id: z.string(), region: z.string(), state: z.string()}),
  ),
  quarantined: z.array(z.string()),
});

const reportsSchema = z.looseObject({
  lastSealed: z.number(),
  reports: z.array(
    z.looseObject({
      window: z.number(),
      offset: z.number(),
      figures: z.record(
        z.string(),
        z.looseObject({
          requests: z.number(),
          promptTokens: z.number(),
          generatedTokens: z.number(),
        }),
      ),
    }),
  ),
});

const recordsSchema = z.looseObject({records: z.array(recordSchema)});
const historySchema = z.looseObject({history: z.array(recordSchema)});

const errorSchema = z.object({
  error: z.looseObject({code: z.string(), message: z.string()}),
});

export type PutOutcome = z.infer<typeof outcomeSchema>;
export type InForceStatus = z.infer<typeof inForceSchema>;
export type SystemStatus = z.infer<typeof statusSchema>;
export type UpstreamStatus = SystemStatus['upstreams'][number];
export type WindowReport = z.infer<typeof reportsSchema>['reports'][number];

/** Client of the operator API of one entry. */
export interface OperatorClient {
  getRecords(
    kind?: string,
  ): Promise<Result<ConfigurationRecord[], CommandFailure>>;
  /** Returns a record, even if it was deleted; null if it never existed. */
  getRecord(
    key: string,
  ): Promise<Result<ConfigurationRecord | null, CommandFailure>>;
  /** Returns the accepted changes, oldest first. */
  getHistory(
    key?: string,
  ): Promise<Result<ConfigurationRecord[], CommandFailure>>;
  /** Sends at most `MAX_PUTS_PER_REQUEST` changes in one request. */
  putRecords(
    changes: readonly RecordChange[],
    operator: string,
  ): Promise<Result<PutOutcome[], CommandFailure>>;
  getInForceStatus(
    offset: number,
  ): Promise<Result<InForceStatus, CommandFailure>>;
  getStatus(): Promise<Result<SystemStatus, CommandFailure>>;
  getReports(): Promise<Result<WindowReport[], CommandFailure>>;
}

/** Creates a client; `entry` is the base URL of an entry. */
export function createOperatorClient(
  entry: string,
  token: string,
): OperatorClient {
  async function request<Body>(
    method: 'GET' | 'POST',
    path: string,
    schema: ZodType<Body>,
    body?: unknown,
  ): Promise<Result<Body, CommandFailure & {code?: string}>> {
    const response = await requestJson({
      method,
      url: `${entry}/operator/v1/${path}`,
      body,
      headers: {authorization: `Bearer ${token}`},
      timeoutMs: OPERATOR_REQUEST_TIMEOUT_MS,
    });
    if (!response.ok) {
      const isOutcomeUnknown =
        method === 'POST' && response.error.tag !== 'refused';
      return fail({
        tag: isOutcomeUnknown ? 'unknown' : 'unreachable',
        message: `entry ${entry}: ${response.error.detail}`,
      });
    }
    if (response.value.status !== 200) {
      const error = errorSchema.safeParse(response.value.body);
      const message = error.success
        ? `${error.data.error.code}: ${error.data.error.message}`
        : `status ${response.value.status}`;
      const code = error.data?.error.code;
      return fail({tag: 'refused', message, code});
    }
    const parsed = schema.safeParse(response.value.body);
    if (parsed.success) return ok(parsed.data);
    return fail({
      tag: method === 'POST' ? 'unknown' : 'refused',
      message: `unexpected response to ${path}: ${parsed.error.message}`,
    });
  }

  return {
    getRecords: async kind => {
      const query = kind ? `?kind=${encodeURIComponent(kind)}` : '';
      const response = await request('GET', `records${query}`, recordsSchema);
      return response.ok
        ? ok(response.value.records as ConfigurationRecord[])
        : response;
    },
    getRecord: async key => {
      const path = key.split('/').map(encodeURIComponent).join('/');
      const response = await request('GET', `records/${path}`, recordSchema);
      if (response.ok) return ok(response.value as ConfigurationRecord);
      return response.error.code === 'not_found' ? ok(null) : response;
    },
    getHistory: async key => {
      const query = key ? `?key=${encodeURIComponent(key)}` : '';
      const response = await request('GET', `history${query}`, historySchema);
      if (!response.ok) return response;
      const history = response.value.history as ConfigurationRecord[];
      return ok(history.sort((a, b) => a.offset - b.offset));
    },
    putRecords: async (changes, operator) => {
      const puts = changes.map(change => ({
        key: change.key,
        baseRevision: change.baseRevision,
        schemaVersion: change.schemaVersion,
        body: change.body,
      }));
      const body = {puts, operator};
      const response = await request(
        'POST',
        'records',
        putResponseSchema,
        body,
      );
      return response.ok ? ok(response.value.outcomes) : response;
    },
    getInForceStatus: offset =>
      request('GET', `in-force?offset=${offset}`, inForceSchema),
    getStatus: () => request('GET', 'status', statusSchema),
    getReports: async () => {
      const response = await request('GET', 'reports', reportsSchema);
      return response.ok ? ok(response.value.reports) : response;
    },
  };
}
