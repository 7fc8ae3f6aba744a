import * as http from 'node:http';

import type {Result, RpcClient} from '@vanillacross/common';
import {createRpcClient, fail, getDeadline, ok} from '@vanillacross/common';
import type {
  AgentInstance,
  OrderAction,
  OrderOutcome,
  OrderPreparation,
} from '@vanillacross/domain';
import {orderOutcomeSchema, orderPreparationSchema} from '@vanillacross/domain';
import type {OrderingPort, UpstreamOrder} from '@vanillacross/platform';

import type {LeaseTask, Tenure} from './leaseTask.js';
import type {Context} from './types.js';

/**
 * RPC timeout of an order, ms; at most `LEASE_MARGIN_MS`, the time between the
 * expiry of a lease and the earliest claim by another entry.
 */
export const ORDER_TIMEOUT_MS = 2_000;
/** Delay before the first resend, ms; doubles with each further one. */
const MIN_RESEND_DELAY_MS = 500;
const MAX_RESEND_DELAY_MS = 4_000;
/** Time for which an order without outcome is resent, ms. */
const RESEND_TIMEOUT_MS = 60_000;

export type OrderFailure =
  /** The lease was lost or ends too soon; the last attempt sent nothing. */
  | {tag: 'not_holder'}
  /** No attempt had an effect. */
  | {tag: 'unavailable'; detail: string}
  /** The receiver rejected the order or failed. */
  | {tag: 'rejected'; detail: string}
  /** Some attempt may have had an effect. */
  | {tag: 'unknown'; detail: string};

export type ClientFactory = (address: string) => RpcClient;

/** Sends orders to agents and the platform while the lease is held. */
export interface OrderSender {
  /** Sends an order to an agent and retries with the same id. */
  sendAgentOrder(
    agent: AgentInstance,
    orderSuffix: string,
    action: OrderAction,
  ): Promise<Result<null, OrderFailure>>;
  /**
   * Sends an order to the platform and retries with the same id. Before each
   * retry, queries whether an earlier attempt took effect.
   */
  sendPlatformOrder(
    port: OrderingPort,
    orderSuffix: string,
    order: Omit<UpstreamOrder, 'orderId' | 'fencing'>,
  ): Promise<Result<{status: string}, OrderFailure>>;
}

/**
 * Id of an order; identical for all attempts of one tenure. `orderSuffix`
 * identifies the order within its pool and tenure.
 */
export function getOrderId(
  fencing: number,
  pool: string,
  orderSuffix: string,
): string {
  return `${fencing}.${pool}.${orderSuffix}`;
}

/** Creates RPC clients that share one connection pool. */
export function createClientFactory(context: Context): ClientFactory {
  const agent = new http.Agent({keepAlive: true});
  return address => createRpcClient(context.clusterSecret, address, agent);
}

/** Result of one attempt: final, or a failure that is retried. */
type Attempt<Value> =
  | {isFinal: true; result: Result<Value, OrderFailure>}
  | {isFinal: false; mayHaveRun: boolean; detail: string; waitMs?: number};

function toFinalAttempt<Value>(
  result: Result<Value, OrderFailure>,
): Attempt<Value> {
  return {isFinal: true, result};
}

function toRetryAttempt(
  detail: string,
  mayHaveRun: boolean,
  waitMs?: number,
): Attempt<never> {
  return {isFinal: false, mayHaveRun, detail, waitMs};
}

export function createOrderSender(
  context: Context,
  lease: LeaseTask,
  createClient: ClientFactory,
): OrderSender {
  const {clock, metrics} = context;

  /** Retries with backoff while the fencing number stays current. */
  async function retryUntilFinal<Value>(
    fencing: number,
    attempt: (index: number) => Promise<Attempt<Value>>,
  ): Promise<Result<Value, OrderFailure>> {
    const until = getDeadline(clock.now(), RESEND_TIMEOUT_MS);
    let mayHaveRun = false;
    for (let index = 0; ; index++) {
      if (lease.getTenure()?.fencing !== fencing) {
        return fail({tag: 'not_holder'});
      }
      const outcome = await attempt(index);
      if (outcome.isFinal) return outcome.result;
      metrics.count('vc_order_resends');
      mayHaveRun ||= outcome.mayHaveRun;
      if (clock.now() >= until) {
        const tag = mayHaveRun ? 'unknown' : 'unavailable';
        return fail({tag, detail: outcome.detail});
      }
      const backoffMs = Math.min(
        MAX_RESEND_DELAY_MS,
        MIN_RESEND_DELAY_MS * 2 ** index,
      );
      const waitMs = outcome.waitMs ?? backoffMs;
      await clock.waitUntil(getDeadline(clock.now(), waitMs));
    }
  }

  async function prepare(
    client: RpcClient,
  ): Promise<Result<OrderPreparation, string>> {
    const response = await client.call('order.prepare', {}, ORDER_TIMEOUT_MS);
    if (!response.ok) return fail(response.error.detail);
    const parsed = orderPreparationSchema.safeParse(response.value);
    return parsed.success ? ok(parsed.data) : fail(parsed.error.message);
  }

  function handleOutcome(outcome: OrderOutcome): Attempt<null> {
    if (outcome.tag === 'done') return toFinalAttempt(ok(null));
    if (outcome.tag === 'failed') {
      return toFinalAttempt(fail({tag: 'rejected', detail: outcome.detail}));
    }
    metrics.count('vc_order_refusals', {reason: outcome.reason});
    if (outcome.reason === 'stale_fencing') {
      lease.recordFencing(outcome.highestFencing);
      return toFinalAttempt(fail({tag: 'not_holder'}));
    }
    return toRetryAttempt(outcome.reason, false);
  }

  async function execute(
    client: RpcClient,
    orderId: string,
    fencing: number,
    prepared: OrderPreparation,
    action: OrderAction,
  ): Promise<Attempt<null>> {
    const sent = await lease.runFenced(ORDER_TIMEOUT_MS, tenure => {
      if (tenure.fencing !== fencing) return Promise.resolve(null);
      // The agent read `monotonicMs` before `remainingMs` is computed here; this
      // delay can only make the order expire earlier than the tenure.
      const remainingMs = tenure.deadline - clock.now();
      const order = {
        orderId,
        fencing,
        agentEpoch: prepared.agentEpoch,
        validUntilAgentMs: prepared.monotonicMs + remainingMs,
        action,
      };
      return client.call('order.execute', order, ORDER_TIMEOUT_MS);
    });
    if (!sent.ok || sent.value === null) {
      return toFinalAttempt(fail({tag: 'not_holder'}));
    }
    if (!sent.value.ok) {
      const {tag, detail} = sent.value.error;
      return toRetryAttempt(detail, tag === 'unknown');
    }
    const outcome = orderOutcomeSchema.safeParse(sent.value.value);
    if (!outcome.success) return toRetryAttempt(outcome.error.message, true);
    return handleOutcome(outcome.data);
  }

  async function sendAgentOrder(
    agent: AgentInstance,
    orderSuffix: string,
    action: OrderAction,
  ): Promise<Result<null, OrderFailure>> {
    const tenure = lease.getTenure();
    if (!tenure) return fail({tag: 'not_holder'});
    const {fencing} = tenure;
    const orderId = getOrderId(fencing, agent.upstream.pool, orderSuffix);
    const client = createClient(agent.peerAddress);
    metrics.count('vc_orders', {action: action.type});
    return retryUntilFinal<null>(fencing, async () => {
      const prepared = await prepare(client);
      if (!prepared.ok) return toRetryAttempt(prepared.error, false);
      if (prepared.value.highestFencing > fencing) {
        lease.recordFencing(prepared.value.highestFencing);
        return toFinalAttempt(fail({tag: 'not_holder'}));
      }
      return execute(client, orderId, fencing, prepared.value, action);
    });
  }

  async function sendToPlatform(
    port: OrderingPort,
    order: UpstreamOrder,
  ): Promise<Attempt<{status: string}>> {
    const sent = await lease.runFenced<Awaited<
      ReturnType<OrderingPort['placeOrder']>
    > | null>(ORDER_TIMEOUT_MS, (tenure: Tenure, mayWrite) =>
      tenure.fencing === order.fencing
        ? port.placeOrder(order, ORDER_TIMEOUT_MS, mayWrite)
        : Promise.resolve(null),
    );
    if (!sent.ok || sent.value === null) {
      return toFinalAttempt(fail({tag: 'not_holder'}));
    }
    if (sent.value.ok) return toFinalAttempt(ok(sent.value.value));
    const {error} = sent.value;
    switch (error.tag) {
      case 'stale_fencing':
        metrics.count('vc_order_refusals', {reason: 'stale_fencing'});
        lease.recordFencing(error.highest);
        return toFinalAttempt(fail({tag: 'not_holder'}));
      case 'rejected':
        return toFinalAttempt(fail({tag: 'rejected', detail: error.detail}));
      case 'unavailable':
        return toRetryAttempt(error.detail, false, error.retryAfterMs);
      case 'unknown':
        return toRetryAttempt(error.detail, true);
    }
  }

  async function sendPlatformOrder(
    port: OrderingPort,
    orderSuffix: string,
    content: Omit<UpstreamOrder, 'orderId' | 'fencing'>,
  ): Promise<Result<{status: string}, OrderFailure>> {
    const tenure = lease.getTenure();
    if (!tenure) return fail({tag: 'not_holder'});
    const {fencing} = tenure;
    const orderId = getOrderId(fencing, content.pool, orderSuffix);
    metrics.count('vc_orders', {action: content.action});
    return retryUntilFinal<{status: string}>(fencing, async index => {
      if (index > 0) {
        const known = await port.getOrder(orderId);
        if (!known.ok) return toRetryAttempt(known.error.tag, true);
        if (known.value) return toFinalAttempt(ok(known.value));
      }
      return sendToPlatform(port, {...content, orderId, fencing});
    });
  }

  return {sendAgentOrder, sendPlatformOrder};
}
