import type {Result} from '@vanillacross/common';
import {fail, ok, requestJson} from '@vanillacross/common';
import {z} from 'zod';
import type {ZodType} from 'zod';

import {CALL_TIMEOUT_MS} from './constants.js';
import type {CommandFailure} from './errors.js';
import type {Change, ShownRecord} from './types.js';

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
    tag: z.literal('accepted'),
    offset: z.number(),
    revision: z.number().optional(),
  }),
  z.looseObject({
    tag: z.literal('conflict'),
    winner: z.string(),
    revision: z.number(),
  }),
  z.looseObject({tag: z.literal('invalid'), detail: z.string()}),
  z.looseObject({tag: z.literal('log_unavailable'), detail: z.string()}),
  z.looseObject({tag: z.literal('append_unknown'), detail: z.string()}),
]);

const putAnswerSchema = z.object({
  outcomes: z.array(z.object({key: z.string(), outcome: outcomeSchema})),
});

const inForceSchema = z.looseObject({
  isEverywhere: z.boolean(),
  entries: z.number(),
  agents: z.number(),
  behind: z.array(z.string()),
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
  state: z.string(),
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
  entry: z.string(),
  highest: z.number(),
  hasAuthority: z.boolean(),
  logContactAgoMs: z.number().nullable(),
  lease: z.looseObject({holder: z.string(), fencing: z.number()}),
  instances: z.array(instanceSchema),
  upstreams: z.array(upstreamSchema),
  domains: z.array(z.looseObject({id: z.string(), state: z.string()})),
  newerSchemas: z.number(),
});

const reportsSchema = z.object({
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

const errorSchema = z.object({
  error: z.looseObject({code: z.string(), message: z.string()}),
});

export type PutOutcome = z.infer<typeof outcomeSchema>;
export type InForce = z.infer<typeof inForceSchema>;
export type SystemStatus = z.infer<typeof statusSchema>;
export type WindowReport = z.infer<typeof reportsSchema>['reports'][number];

/** Calls the operator API of one entry. */
export interface OperatorClient {
  getRecords(kind?: string): Promise<Result<ShownRecord[], CommandFailure>>;
  getHistory(key?: string): Promise<Result<ShownRecord[], CommandFailure>>;
  putRecords(
    changes: readonly Change[],
    operator: string,
  ): Promise<Result<Array<{key: string; outcome: PutOutcome}>, CommandFailure>>;
  getInForce(offset: number): Promise<Result<InForce, CommandFailure>>;
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
  ): Promise<Result<Body, CommandFailure>> {
    const answer = await requestJson({
      method,
      url: `${entry}/operator/v1/${path}`,
      body,
      headers: {authorization: `Bearer ${token}`},
      timeoutMs: CALL_TIMEOUT_MS,
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
      return fail({tag: 'refused', message});
    }
    const parsed = schema.safeParse(answer.value.body);
    if (parsed.success) return ok(parsed.data);
    return fail({
      tag: 'refused',
      message: `unexpected answer to ${path}: ${parsed.error.message}`,
    });
  }

  const recordsSchema = z.object({records: z.array(recordSchema)});
  const historySchema = z.object({history: z.array(recordSchema)});

  return {
    getRecords: async kind => {
      const query = kind ? `?kind=${encodeURIComponent(kind)}` : '';
      const answer = await call('GET', `records${query}`, recordsSchema);
      return answer.ok ? ok(answer.value.records as ShownRecord[]) : answer;
    },
    getHistory: async key => {
      const query = key ? `?key=${encodeURIComponent(key)}` : '';
      const answer = await call('GET', `history${query}`, historySchema);
      return answer.ok ? ok(answer.value.history as ShownRecord[]) : answer;
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
    getInForce: offset =>
      call('GET', `in-force?offset=${offset}`, inForceSchema),
    getStatus: () => call('GET', 'status', statusSchema),
    getReports: async () => {
      const answer = await call('GET', 'reports', reportsSchema);
      return answer.ok ? ok(answer.value.reports) : answer;
    },
  };
}
