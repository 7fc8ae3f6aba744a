import type {BodyFailure, Result} from '@vanillacross/common';
import {
  fail,
  getSha256,
  isEqualSecret,
  ok,
  readJson,
  sendJson,
} from '@vanillacross/common';
import type {ControlState, Put, StoredRecord} from '@vanillacross/domain';
import {
  listRecords,
  isRecordKind,
  parseRecordKey,
  parseRecordBody,
} from '@vanillacross/domain';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';

import {createInForceQuery} from './inForceQuery.js';
import type {EntryMembership} from './membership.js';
import type {CallPeer} from './peerCalls.js';
import {createCallPeer} from './peerCalls.js';
import type {
  AgentPresence,
  Context,
  ControlFollower,
  HttpAction,
} from './types.js';

export interface OperatorOptions {
  /** SHA-256 of the operator token in hex. */
  tokenHash: string;
  callPeer?: CallPeer;
}

/** An accepted version of a configuration record. */
interface HistoryItem {
  key: string;
  revision: number;
  offset: number;
  schemaVersion: number;
  operator: string;
  isDeleted: boolean;
  body: unknown;
}

/** Outcome of one put by an operator. */
type PutOutcome =
  | {tag: 'accepted'; offset: number; revision: number}
  | {tag: 'conflict'; winner: string; revision: number; offset: number}
  | {tag: 'invalid'; mistakes: string[]}
  | {tag: 'log_unavailable'; detail: string}
  | {tag: 'unknown'; detail: string; appendId: string};

interface OperatorError {
  status: number;
  code: string;
  message: string;
  notRun: boolean;
}

type ActionResult = Result<unknown, OperatorError>;

interface OperatorRequest {
  request: IncomingMessage;
  query: URLSearchParams;
  /** Decoded path segments after the prefix. */
  segments: string[];
}

interface OperatorAction {
  name: string;
  method: string;
  path: RegExp;
  perform(request: OperatorRequest): Promise<ActionResult> | ActionResult;
}

const PREFIX = '/operator/v1/';
const MAX_BODY_BYTES = 1024 * 1024;
const MAX_PUTS = 256;
/** Maximum number of accepted versions kept for `history`, over all keys. */
const MAX_HISTORY = 2_048;

const putsSchema = z.strictObject({
  operator: z.string().min(1).max(200),
  puts: z
    .array(
      z.strictObject({
        key: z.string(),
        baseRevision: z.number().int().min(0),
        schemaVersion: z.number().int().min(1),
        body: z.unknown().optional(),
      }),
    )
    .min(1)
    .max(MAX_PUTS),
});

type PutRequest = z.infer<typeof putsSchema>['puts'][number];

const bodyErrors: Record<BodyFailure['tag'], Omit<OperatorError, 'notRun'>> = {
  too_large: {
    status: 413,
    code: 'too_large',
    message: `the body is larger than ${MAX_BODY_BYTES} bytes`,
  },
  not_json: {status: 400, code: 'bad_request', message: 'the body is not JSON'},
  cut: {status: 400, code: 'bad_request', message: 'the body is incomplete'},
  no_room: {status: 503, code: 'account_limit', message: 'no memory is left'},
};

function createError(
  status: number,
  code: string,
  message: string,
): Result<never, OperatorError> {
  return fail({status, code, message, notRun: true});
}

function describeRecord(record: StoredRecord): HistoryItem & {
  isUnderstood: boolean;
} {
  return {
    key: record.key,
    revision: record.revision,
    offset: record.offset,
    schemaVersion: record.schemaVersion,
    operator: record.operator,
    isDeleted: record.raw === null,
    isUnderstood: record.isUnderstood,
    body: record.raw,
  };
}

/** Validation errors that do not depend on the state of the log. */
function validatePut(put: PutRequest): string[] {
  const key = parseRecordKey(put.key);
  if (!key.ok) {
    return key.error.tag === 'unknown_kind'
      ? [`key: "${put.key}" has no known record kind`]
      : [`key: "${put.key}" is not kind/id`];
  }
  if (put.body === null) return [];
  if (put.body === undefined) return ['body: missing; null deletes a record'];
  const body = parseRecordBody(key.value.kind, put.schemaVersion, put.body);
  if (body.ok) return [];
  if (body.error.tag === 'invalid_body') return body.error.mistakes;
  return [`schemaVersion: ${put.schemaVersion} is not known to this entry`];
}

/** Creates the HTTP handlers of the operator API; all require its token. */
export function createOperatorActions(
  context: Context,
  control: ControlFollower,
  membership: EntryMembership,
  options: OperatorOptions,
): HttpAction[] {
  const {clock, metrics} = context;
  const logger = context.logger.child('operator');
  const callPeer = options.callPeer ?? createCallPeer(context.clusterSecret);
  const queryInForce = createInForceQuery(context, membership, callPeer);
  const history: HistoryItem[] = [];

  const recordHistory = (state: ControlState, previous?: ControlState) => {
    const changed = [...state.records.values()].filter(
      record => previous?.records.get(record.key)?.revision !== record.revision,
    );
    changed.sort((a, b) => a.offset - b.offset);
    history.push(...changed.map(describeRecord));
    history.splice(0, Math.max(0, history.length - MAX_HISTORY));
  };
  recordHistory(control.getState());
  control.subscribe(recordHistory);

  const getRecords = ({query}: OperatorRequest): ActionResult => {
    const kind = query.get('kind');
    if (kind !== null && !isRecordKind(kind)) {
      return createError(400, 'bad_request', `unknown record kind "${kind}"`);
    }
    const state = control.getState();
    const records = [...state.records.values()]
      .filter(record => record.raw !== null)
      .filter(record => kind === null || record.key.startsWith(`${kind}/`))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(describeRecord);
    return ok({highest: state.highest, records});
  };

  const getRecord = ({segments}: OperatorRequest): ActionResult => {
    const key = segments.slice(1).join('/');
    const record = control.getState().records.get(key);
    if (!record) return createError(404, 'not_found', `no record "${key}"`);
    return ok(describeRecord(record));
  };

  const getHistory = ({query}: OperatorRequest): ActionResult => {
    const key = query.get('key');
    const items = history.filter(item => key === null || item.key === key);
    return ok({history: items.reverse()});
  };

  const putRecord = async (
    put: PutRequest,
    operator: string,
  ): Promise<PutOutcome> => {
    const mistakes = validatePut(put);
    if (mistakes.length > 0) return {tag: 'invalid', mistakes};
    const current = control.getState().records.get(put.key);
    if (current && current.revision > put.baseRevision) {
      // Revisions never decrease, so the log would reject the put as well.
      const {operator: winner, revision, offset} = current;
      return {tag: 'conflict', winner, revision, offset};
    }
    const payload: Put = {type: 'put', ...put, operator, body: put.body};
    const result = await control.append(payload);
    if (!result.ok) {
      const {error} = result;
      return error.tag === 'append_unknown'
        ? {tag: 'unknown', detail: error.detail, appendId: error.appendId}
        : error;
    }
    const outcome = result.value;
    if (outcome.tag === 'invalid') {
      return {tag: 'invalid', mistakes: [outcome.detail]};
    }
    if (outcome.tag === 'conflict') return outcome;
    const revision = outcome.revision ?? put.baseRevision + 1;
    return {tag: 'accepted', offset: outcome.offset, revision};
  };

  const postRecords = async ({
    request,
  }: OperatorRequest): Promise<ActionResult> => {
    const raw = await readJson(request, MAX_BODY_BYTES);
    if (!raw.ok) {
      // Discards the rest, so that the client can finish and read the response.
      request.resume();
      return fail({...bodyErrors[raw.error.tag], notRun: true});
    }
    const parsed = putsSchema.safeParse(raw.value);
    if (!parsed.success) {
      const mistakes = parsed.error.issues.map(
        issue => `${issue.path.map(String).join('.')}: ${issue.message}`,
      );
      return createError(400, 'bad_request', mistakes.join('; '));
    }
    const {puts, operator} = parsed.data;
    const outcomes = await Promise.all(
      puts.map(async put => {
        const outcome = await putRecord(put, operator);
        metrics.count('vc_operator_puts_total', {outcome: outcome.tag});
        logger.info('operator put processed', {
          record: put.key,
          operator,
          outcome: outcome.tag,
        });
        return {key: put.key, ...outcome};
      }),
    );
    return ok({outcomes});
  };

  const getInForce = async ({
    query,
  }: OperatorRequest): Promise<ActionResult> => {
    const text = query.get('offset');
    const offset = text === null ? control.getState().highest : Number(text);
    if (text === '' || !Number.isInteger(offset) || offset < -1) {
      return createError(400, 'bad_request', 'offset must be an integer');
    }
    return ok(await queryInForce(offset));
  };

  const getAgeMs = (time: number | null) =>
    time === null ? null : Math.round(clock.now() - time);

  const describeAgent = (state: ControlState, agent: AgentPresence) => {
    const {instance, load, offset, isLeaving} = agent;
    const record = state.records.get(`upstream/${instance.upstream.id}`);
    return {
      id: instance.upstream.id,
      pool: instance.upstream.pool,
      domain: instance.domain,
      agent: instance.id,
      address: instance.address,
      isLeaving,
      load,
      offset,
      heardAgoMs: getAgeMs(agent.lastSeenAt),
      record: record?.body ?? null,
    };
  };

  const getStatus = (): ActionResult => {
    const state = control.getState();
    return ok({
      instance: context.self,
      epoch: context.epoch,
      control: {
        highest: state.highest,
        isComplete: state.isComplete,
        newerSchemas: state.newerSchemas,
        lastSealed: state.lastSealed,
        logContactAgoMs: getAgeMs(control.getLastLogContact()),
      },
      lease: state.lease,
      hasAuthority: membership.hasAuthority(),
      heardDomains: membership.getReachableDomains(),
      domains: listRecords(state, 'domain').map(({id, body}) => ({
        id,
        ...body,
      })),
      instances: membership.getInstances(),
      upstreams: membership
        .getAgents()
        .map(agent => describeAgent(state, agent))
        .sort((a, b) => (a.id < b.id ? -1 : 1)),
      quarantined: [...state.quarantine.keys()],
    });
  };

  const getReports = (): ActionResult => {
    const state = control.getState();
    const reports = [...state.seals.values()]
      .sort((a, b) => a.window - b.window)
      .map(({window, offset, figures, sources}) => ({
        window,
        offset,
        figures,
        sources,
      }));
    return ok({lastSealed: state.lastSealed, reports});
  };

  const actions: OperatorAction[] = [
    {
      name: 'list records',
      method: 'GET',
      path: /^records$/,
      perform: getRecords,
    },
    {
      name: 'get record',
      method: 'GET',
      path: /^records\/[^/]+\/[^/]+$/,
      perform: getRecord,
    },
    {
      name: 'put records',
      method: 'POST',
      path: /^records$/,
      perform: postRecords,
    },
    {name: 'history', method: 'GET', path: /^history$/, perform: getHistory},
    {name: 'in force', method: 'GET', path: /^in-force$/, perform: getInForce},
    {name: 'status', method: 'GET', path: /^status$/, perform: getStatus},
    {name: 'reports', method: 'GET', path: /^reports$/, perform: getReports},
    {
      name: 'unknown operator path',
      method: '',
      path: /^/,
      perform: () => createError(404, 'not_found', 'unknown operator path'),
    },
  ];

  const isAuthorized = (request: IncomingMessage): boolean => {
    const match = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '');
    if (!match) return false;
    return isEqualSecret(
      getSha256(match[1].trim()),
      options.tokenHash.toLowerCase(),
    );
  };

  const sendResult = (response: ServerResponse, result: ActionResult) => {
    if (result.ok) return sendJson(response, 200, result.value);
    const {status, ...error} = result.error;
    metrics.count('vc_operator_errors_total', {code: error.code});
    // Unread bytes of the body must not be parsed as the next request.
    sendJson(response, status, {error}, {connection: 'close'});
  };

  const runAction = async (
    action: OperatorAction,
    request: IncomingMessage,
  ): Promise<ActionResult> => {
    if (!isAuthorized(request)) {
      return createError(
        401,
        'unauthorized',
        'the operator token is missing or wrong',
      );
    }
    const url = new URL(request.url ?? '/', 'http://entry');
    const segments = url.pathname.slice(PREFIX.length).split('/');
    try {
      const decoded = segments.map(decodeURIComponent);
      return await action.perform({
        request,
        query: url.searchParams,
        segments: decoded,
      });
    } catch (error) {
      if (error instanceof URIError) {
        return createError(400, 'bad_request', 'the path is not valid');
      }
      logger.error('operator request failed', {detail: String(error)});
      return fail({
        status: 500,
        code: 'internal',
        message: 'the request failed inside the entry',
        notRun: false,
      });
    }
  };

  return actions.map(action => ({
    name: `operator: ${action.name}`,
    matches: (method, path) => {
      const pathname = path.split('?')[0];
      if (!pathname.startsWith(PREFIX)) return false;
      if (action.method !== '' && action.method !== method) return false;
      return action.path.test(pathname.slice(PREFIX.length));
    },
    perform: async (request, response) =>
      sendResult(response, await runAction(action, request)),
  }));
}
