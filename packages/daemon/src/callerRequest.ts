import type {Result} from '@vanillacross/common';
import {
  fail,
  getRequestFingerprint,
  getSha256,
  ok,
  parseJson,
} from '@vanillacross/common';
import type {
  AccessFailure,
  AccessTable,
  ControlState,
  Pool,
  RouteEntry,
} from '@vanillacross/domain';
import {
  authorizeRequest,
  getRecordBody,
  getKeyAccount,
  getModelRoute,
  getPathRoutes,
  hasKeyInPath,
  isCanonicalPath,
  sanitizeQuery,
} from '@vanillacross/domain';
import type {IncomingMessage} from 'node:http';
import {z} from 'zod';

import {createNotRunRefusal} from './refusals.js';
import type {Refusal} from './types.js';

/** The key of a caller and its hash. */
export interface CallerKey {
  key: string;
  hash: string;
}

/** A request whose path, method and key have been validated. */
export interface CheckedHead {
  method: string;
  /** Path and query, with caller keys removed. */
  path: string;
  key: CallerKey | null;
  routes: RouteEntry[];
  /** True if a non-empty body must be a JSON object with a `model`. */
  needsModel: boolean;
}

/** A validated request that may be dispatched. */
export interface CheckedRequest {
  account: string;
  routeEntry: RouteEntry;
  pool: Pool;
  fingerprint: string;
  /** Estimated tokens; 1 for a plain pool or an empty body. */
  cost: number;
  /** Hash of the prompt prefix; '' if there is none. */
  affinity: string;
}

/** Average size of a prompt token, for cost estimates, bytes. */
const BYTES_PER_TOKEN = 4;
/** Tokens assumed for a completion without `max_tokens`. */
const DEFAULT_MAX_TOKENS = 256;
/**
 * Maximum of `max_tokens` that counts towards a cost, tokens. With larger
 * values, virtual times of the fair queue would lose precision.
 */
const MAX_COST_COMPLETION_TOKENS = 1_000_000;
/** Length of the prompt prefix hashed for cache affinity, characters. */
const AFFINITY_PREFIX_LENGTH = 256;

const completionSchema = z.looseObject({
  model: z.string(),
  max_tokens: z.number().positive().optional().catch(undefined),
  prompt: z.unknown().optional(),
  messages: z.unknown().optional(),
});
type Completion = z.infer<typeof completionSchema>;

const ACCESS_MESSAGES: Record<AccessFailure, string> = {
  unauthorized: 'no valid key was given',
  key_withdrawn: 'the key was withdrawn',
  forbidden: 'the key gives no access to this route',
};

/** Returns the key of an `Authorization: Bearer` header, or null. */
export function getCallerKey(request: IncomingMessage): CallerKey | null {
  const match = /^Bearer +(\S+) *$/i.exec(request.headers.authorization ?? '');
  return match ? {key: match[1], hash: getSha256(match[1])} : null;
}

/** Validates a request as far as possible without its body. */
export function checkHead(
  table: AccessTable,
  state: ControlState,
  request: IncomingMessage,
): Result<CheckedHead, Refusal> {
  const key = getCallerKey(request);
  const path = sanitizeQuery(request.url ?? '/', key?.key ?? null);
  const pathname = path.split('?', 1)[0];
  if (!isCanonicalPath(pathname) || hasKeyInPath(path, key?.key ?? null)) {
    return fail(
      createNotRunRefusal('bad_request', 'the path is not acceptable'),
    );
  }
  const method = request.method ?? 'GET';
  const routes = getPathRoutes(table, method, pathname);
  if (routes.length === 0) {
    return fail(
      createNotRunRefusal('route_unknown', 'no route takes this request'),
    );
  }
  const isOpen = routes.some(({route}) => route.access === 'open');
  const account = getKeyAccount(table, key?.hash ?? null);
  if (!isOpen && !account.ok) {
    return fail(
      createNotRunRefusal(account.error, ACCESS_MESSAGES[account.error]),
    );
  }
  const needsModel = routes.some(
    ({route}) =>
      route.model !== undefined ||
      getRecordBody(state, 'pool', route.pool)?.kind === 'engine',
  );
  return ok({method, path, key, routes, needsModel});
}

/** Returns the prompt as text; null if it is nested too deeply to serialize. */
function getPromptText(completion: Completion): string | null {
  const prompt = completion.prompt ?? completion.messages ?? '';
  if (typeof prompt === 'string') return prompt;
  try {
    return JSON.stringify(prompt);
  } catch {
    // `JSON.parse` accepts deeper nesting than `JSON.stringify` does.
    return null;
  }
}

function readCompletion(
  head: CheckedHead,
  body: Buffer,
): Result<Completion | null, Refusal> {
  if (!head.needsModel || body.length === 0) return ok(null);
  const parsed = parseJson(body.toString('utf8'));
  const checked = parsed.ok && completionSchema.safeParse(parsed.value);
  if (!checked || !checked.success) {
    const message = 'the body is not a JSON object with a model';
    return fail(createNotRunRefusal('bad_request', message));
  }
  return ok(checked.data);
}

function estimateCost(
  pool: Pool,
  completion: Completion | null,
  body: Buffer,
): {cost: number; affinity: string} | null {
  if (pool.kind === 'plain' || !completion) return {cost: 1, affinity: ''};
  const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN);
  const maxTokens = completion.max_tokens ?? DEFAULT_MAX_TOKENS;
  const cost = promptTokens + Math.min(maxTokens, MAX_COST_COMPLETION_TOKENS);
  const prefix = getPromptText(completion)?.slice(0, AFFINITY_PREFIX_LENGTH);
  if (prefix === undefined) return null;
  return {cost, affinity: getSha256(`${completion.model}\n${prefix}`)};
}

/** Validates model, access and quarantine, which depend on the body. */
export function checkBody(
  table: AccessTable,
  state: ControlState,
  head: CheckedHead,
  body: Buffer,
): Result<CheckedRequest, Refusal> {
  const completion = readCompletion(head, body);
  if (!completion.ok) return completion;
  const routeEntry = getModelRoute(head.routes, completion.value?.model);
  if (!routeEntry) {
    return fail(
      createNotRunRefusal('route_unknown', 'no route takes this model'),
    );
  }
  const account = authorizeRequest(
    table,
    routeEntry.route,
    head.key?.hash ?? null,
  );
  if (!account.ok) {
    return fail(
      createNotRunRefusal(account.error, ACCESS_MESSAGES[account.error]),
    );
  }
  const pool = getRecordBody(state, 'pool', routeEntry.route.pool);
  if (!pool) {
    return fail(
      createNotRunRefusal('no_upstream', 'the pool is not configured', 1),
    );
  }
  const fingerprint = getRequestFingerprint(head.method, head.path, body);
  if (state.quarantine.has(fingerprint)) {
    const message = 'the request crashes upstreams and is not run again';
    return fail(createNotRunRefusal('quarantined', message));
  }
  const estimate = estimateCost(pool, completion.value, body);
  if (!estimate) {
    const message = 'the prompt is nested too deeply';
    return fail(createNotRunRefusal('bad_request', message));
  }
  return ok({
    account: account.value,
    routeEntry,
    pool,
    fingerprint,
    ...estimate,
  });
}
