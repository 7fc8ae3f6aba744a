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

const putAnswerSchema = z.looseObject({outcomes: z.array(outcomeSchema)});

/** A name as text, or as an object with an id. */
const nameSchema = z.union([
  z.string(),
  z.looseObject({id: z.string()}).transform(({id}) => id),
]);

/**
 * How many instances of a role are behind. Entries answer either with the
 * list of those behind, or with their count and a bounded list of names.
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
  /** Offset of the control view that the agent has. */
  offset: z.number(),
  /** Age of the last message of the agent, ms; null before the first. */
  heardAgoMs: z.number().nullable(),
  /** The record of the upstream, null if there is none. */
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

/** Calls the operator API of one entry. */
export interface OperatorClient {
  getRecords(
    kind?: string,
  ): Promise<Result<ConfigurationRecord[], CommandFailure>>;
  /** One record, also a deleted one; null if there never was one. */
  getRecord(
    key: string,
  ): Promise<Result<ConfigurationRecord | null, CommandFailure>>;
  /** Accepted changes, oldest first. */
  getHistory(
    key?: string,
  ): Promise<Result<ConfigurationRecord[], CommandFailure>>;
  /** Sends at most `MAX_PUTS` changes in one request. */
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
  async function call<Body>(
    method: 'GET' | 'POST',
    path: string,
    schema: ZodType<Body>,
    body?: unknown,
  ): Promise<Result<Body, CommandFailure & {code?: string}>> {
    const answer = await requestJson({
      method,
      url: `${entry}/operator/v1/${path}`,
      body,
      headers: {authorization: `Bearer ${token}`},
      timeoutMs: OPERATOR_REQUEST_TIMEOUT_MS,
    });
    if (!answer.ok) {
      const isLost = method === 'POST' && answer.error.tag !== 'refused';
      return fail({
        tag: isLost ? 'unknown' : 'unreachable',
        message: `entry ${entry}: ${answer.error.detail}`,
      });
    }
    if (answer.value.status !== 200) {
      const error = errorSchema.safeParse(answer.value.body);
      const message = error.success
        ? `${error.data.error.code}: ${error.data.error.message}`
        : `status ${answer.value.status}`;
      const code = error.data?.error.code;
      return fail({tag: 'refused', message, code});
    }
    const parsed = schema.safeParse(answer.value.body);
    if (parsed.success) return ok(parsed.data);
    return fail({
      tag: method === 'POST' ? 'unknown' : 'refused',
      message: `unexpected answer to ${path}: ${parsed.error.message}`,
    });
  }

  return {
    getRecords: async kind => {
      const query = kind ? `?kind=${encodeURIComponent(kind)}` : '';
      const answer = await call('GET', `records${query}`, recordsSchema);
      return answer.ok
        ? ok(answer.value.records as ConfigurationRecord[])
        : answer;
    },
    getRecord: async key => {
      const path = key.split('/').map(encodeURIComponent).join('/');
      const answer = await call('GET', `records/${path}`, recordSchema);
      if (answer.ok) return ok(answer.value as ConfigurationRecord);
      return answer.error.code === 'not_found' ? ok(null) : answer;
    },
    getHistory: async key => {
      const query = key ? `?key=${encodeURIComponent(key)}` : '';
      const answer = await call('GET', `history${query}`, historySchema);
      if (!answer.ok) return answer;
      const history = answer.value.history as ConfigurationRecord[];
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
      const answer = await call('POST', 'records', putAnswerSchema, body);
      return answer.ok ? ok(answer.value.outcomes) : answer;
    },
    getInForceStatus: offset =>
      call('GET', `in-force?offset=${offset}`, inForceSchema),
    getStatus: () => call('GET', 'status', statusSchema),
    getReports: async () => {
      const answer = await call('GET', 'reports', reportsSchema);
      return answer.ok ? ok(answer.value.reports) : answer;
    },
  };
}
