import type {Result} from '@vanillacross/common';
import {fail, getDeadline, getSha256, ok} from '@vanillacross/common';
import type {AccessTable} from '@vanillacross/domain';
import {
  authorizeRequest,
  getKeyAccount,
  ANONYMOUS_ACCOUNT,
  sanitizeRequestHeaders,
} from '@vanillacross/domain';
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {writeResponse} from './responseWriter.js';
import type {BodyBudget} from './callerBody.js';
import {readCallerBody} from './callerBody.js';
import type {CheckedHead, CheckedRequest} from './callerRequest.js';
import {checkBody, checkHead} from './callerRequest.js';
import type {CallerLimits} from './callerServer.js';
import type {ConnectedCallers} from './connectedCallers.js';
import {
  createMaybeRunRefusal,
  createNotRunRefusal,
  sendRefusal,
} from './refusals.js';
import type {
  Context,
  ControlFollower,
  Dispatcher,
  DispatchRequest,
  Membership,
  Refusal,
  RefusalCode,
  UpstreamResponse,
} from './types.js';

/** Dependencies of the handler of route requests. */
export interface RouteContext {
  context: Context;
  control: ControlFollower;
  membership: Membership;
  dispatcher: Dispatcher;
  connectedCallers: ConnectedCallers;
  bodyBudget: BodyBudget;
  limits: CallerLimits;
  getAccessTable(): AccessTable;
  countRefusal(code: RefusalCode): void;
  isDraining(): boolean;
}

/** A caller's request while it is being handled. */
interface CallerExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Aborted when the caller disconnects or its key is withdrawn. */
  controller: AbortController;
  isKeyWithdrawn: boolean;
}

/** Longest accepted idempotency key, characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

/** Time for a caller to read the error event before it is disconnected, ms. */
const KEY_WITHDRAWN_GRACE_MS = 2_000;

/**
 * Refusals that close the connection instead of reading the rest of the body.
 */
const CLOSING_CODES: ReadonlySet<RefusalCode> = new Set([
  'too_large',
  'key_withdrawn',
  'draining',
]);

/** True if this entry currently cannot validate the keys of callers. */
function lacksAuthority(input: RouteContext): boolean {
  return (
    !input.membership.hasAuthority() || !input.control.getState().isComplete
  );
}

function createAuthorityRefusal(): Refusal {
  const message = 'this entry cannot check keys at the moment';
  return createNotRunRefusal('authority_lost', message, 1);
}

function checkCallerHead(
  input: RouteContext,
  request: IncomingMessage,
): Result<CheckedHead, Refusal> {
  const state = input.control.getState();
  const head = checkHead(input.getAccessTable(), state, request);
  // An outdated control state may lack a valid key, so it must not reject keys.
  const isKeyRejected = !head.ok && head.error.tag === 'unauthorized';
  if (isKeyRejected && request.headers.authorization && lacksAuthority(input)) {
    return fail(createAuthorityRefusal());
  }
  if (!head.ok) return head;
  const needsKey = head.value.routes.every(
    ({route}) => route.access !== 'open',
  );
  if (needsKey && lacksAuthority(input)) return fail(createAuthorityRefusal());
  return head;
}

function checkCallerBody(
  input: RouteContext,
  head: CheckedHead,
  body: Buffer,
): Result<CheckedRequest, Refusal> {
  const table = input.getAccessTable();
  const checked = checkBody(table, input.control.getState(), head, body);
  if (!checked.ok || !lacksAuthority(input)) return checked;
  const {route} = checked.value.routeEntry;
  if (route.access !== 'open') return fail(createAuthorityRefusal());
  // Callers of open routes are treated as anonymous if keys cannot be validated.
  const account = authorizeRequest(table, route, null);
  return account.ok ? ok({...checked.value, account: account.value}) : checked;
}

function getIdempotencyKey(
  request: IncomingMessage,
  checked: CheckedRequest,
): Result<string | undefined, Refusal> {
  const value = request.headers['idempotency-key'];
  if (checked.routeEntry.route.repeat !== 'once' || value === undefined) {
    return ok(undefined);
  }
  const text = Array.isArray(value) ? value.join(',') : value;
  if (text === '' || text.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    const message = `an idempotency key has 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`;
    return fail(createNotRunRefusal('bad_request', message));
  }
  return ok(getSha256(`${checked.account}\n${text}`));
}

function createDispatchRequest(
  input: RouteContext,
  exchange: CallerExchange,
  head: CheckedHead,
  checked: CheckedRequest,
  body: Buffer,
): Result<DispatchRequest, Refusal> {
  const {route} = checked.routeEntry;
  const idempotencyKey = getIdempotencyKey(exchange.request, checked);
  if (!idempotencyKey.ok) return idempotencyKey;
  const key = head.key?.key ?? null;
  return ok({
    requestId: randomUUID(),
    account: checked.account,
    poolId: route.pool,
    pool: checked.pool,
    method: head.method,
    path: head.path,
    headers: sanitizeRequestHeaders(exchange.request.headers, key),
    body,
    repeat: route.repeat,
    idempotencyKey: idempotencyKey.value,
    fingerprint: checked.fingerprint,
    priority: route.priority,
    cost: checked.cost,
    affinity: checked.affinity,
    deadline: getDeadline(input.context.clock.now(), route.timeoutMs),
    signal: exchange.controller.signal,
  });
}

/**
 * Returns the refusal to send to the caller: `key_withdrawn` if the key was
 * withdrawn, otherwise the given one.
 */
function getCallerRefusal(exchange: CallerExchange, refusal: Refusal): Refusal {
  if (!exchange.isKeyWithdrawn) return refusal;
  const message = 'the key was withdrawn';
  return refusal.notRun
    ? createNotRunRefusal('key_withdrawn', message)
    : createMaybeRunRefusal('key_withdrawn', message);
}

/** Ends a request whose key was withdrawn (R6). */
function endForWithdrawnKey(
  input: RouteContext,
  exchange: CallerExchange,
): void {
  const {clock} = input.context;
  exchange.isKeyWithdrawn = true;
  exchange.controller.abort();
  // Disconnect callers that do not read the error in time.
  const cancelTimer = clock.callAt(
    getDeadline(clock.now(), KEY_WITHDRAWN_GRACE_MS),
    () => exchange.request.socket.destroy(),
  );
  exchange.response.once('close', cancelTimer);
}

async function forwardResponse(
  input: RouteContext,
  exchange: CallerExchange,
  requestId: string,
  upstreamResponse: UpstreamResponse,
): Promise<void> {
  const {response} = exchange;
  const extraHeaders: Record<string, string> = {'x-request-id': requestId};
  if (input.isDraining()) extraHeaders['connection'] = 'close';
  const callerResponse: UpstreamResponse = {
    ...upstreamResponse,
    finished: upstreamResponse.finished.then(result =>
      result.ok ? result : fail(getCallerRefusal(exchange, result.error)),
    ),
  };
  const {stallTimeoutMs} = input.limits;
  const outcome = await writeResponse(
    response,
    callerResponse,
    stallTimeoutMs,
    extraHeaders,
  );
  if (outcome.tag === 'cut') {
    input.countRefusal(outcome.refusal.tag);
    if (exchange.isKeyWithdrawn) {
      response.once('finish', () => exchange.request.socket.destroySoon());
    }
  }
  if (outcome.tag === 'callerGone') {
    input.context.metrics.count('vc_callers_gone');
    exchange.controller.abort();
  }
}

async function handleExchange(
  input: RouteContext,
  exchange: CallerExchange,
  head: CheckedHead,
): Promise<Refusal | null> {
  const account = getKeyAccount(input.getAccessTable(), head.key?.hash ?? null);
  const reservation = input.bodyBudget.openReservation(
    account.ok ? account.value : ANONYMOUS_ACCOUNT,
  );
  try {
    // Memory is reserved as chunks arrive, so that the incomplete bodies of slow
    // callers count too.
    const body = await readCallerBody(
      exchange.request,
      input.limits.maxBodyBytes,
      exchange.controller.signal,
      reservation.reserve,
    );
    if (!body.ok) return body.error;
    const checked = checkCallerBody(input, head, body.value);
    if (!checked.ok) return checked.error;
    const request = createDispatchRequest(
      input,
      exchange,
      head,
      checked.value,
      body.value,
    );
    if (!request.ok) return request.error;
    const upstreamResponse = await input.dispatcher.dispatch(request.value);
    if (!upstreamResponse.ok) return upstreamResponse.error;
    await forwardResponse(
      input,
      exchange,
      request.value.requestId,
      upstreamResponse.value,
    );
    return null;
  } finally {
    reservation.release();
  }
}

/** Handles a request that matches no action: validates and dispatches it. */
export async function handleRouteRequest(
  input: RouteContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const exchange: CallerExchange = {
    request,
    response,
    controller: new AbortController(),
    isKeyWithdrawn: false,
  };
  response.on('close', () => {
    if (!response.writableFinished) exchange.controller.abort();
  });
  const refuse = (refusal: Refusal) => {
    const callerRefusal = getCallerRefusal(exchange, refusal);
    input.countRefusal(callerRefusal.tag);
    const closesConnection =
      CLOSING_CODES.has(callerRefusal.tag) || input.isDraining();
    sendRefusal(response, callerRefusal, closesConnection || !request.complete);
  };
  const head = checkCallerHead(input, request);
  if (!head.ok) return refuse(head.error);
  const {key} = head.value;
  const isKeyValid = key && getKeyAccount(input.getAccessTable(), key.hash).ok;
  const unregister = isKeyValid
    ? input.connectedCallers.add(key.hash, request.socket, {
        terminate: () => endForWithdrawnKey(input, exchange),
      })
    : () => {};
  try {
    const refusal = await handleExchange(input, exchange, head.value);
    if (refusal) refuse(refusal);
  } finally {
    unregister();
  }
}
