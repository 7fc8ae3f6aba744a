import type {RpcMethods} from '@vanillacross/common';
import {defineMethod, requestJson} from '@vanillacross/common';
import type {
  OrderFence,
  Order,
  OrderAction,
  OrderOutcome,
  Pool,
} from '@vanillacross/domain';
import {
  createOrderFence,
  decideRolloutStep,
  decideOrder,
  getHighestKnownFencing,
  orderSchema,
  withAcceptedOrder,
  withOrderOutcome,
} from '@vanillacross/domain';
import type {OrderPreparation} from '@vanillacross/domain';
import PQueue from 'p-queue';
import {z} from 'zod';

import type {LocalUpstream} from './localUpstream.js';
import type {AgentLimits} from './agentLimits.js';
import type {HealthChecker} from './healthChecker.js';
import type {Context} from './types.js';

/**
 * Maximum number of running and queued orders. Further ones are refused as not
 * ready, and controllers resend them.
 */
const MAX_ACTIVE_ORDERS = 16;
/**
 * Maximum number of times an order is sent to the engine. The engine's status
 * is read before each resend.
 */
const MAX_SENDS = 3;

/** Dependencies of order execution. */
export interface AgentOrdersOptions {
  context: Context;
  url: string;
  limits: AgentLimits;
  localUpstream: LocalUpstream;
  healthChecker: HealthChecker;
  getPool: () => Pool | null;
  /**
   * Returns the highest fencing number received from an entry, or null before
   * the first control view.
   */
  getHighestFencing: () => number | null;
  onDrain: () => void;
}

/** Outcome of sending an order to the engine once. */
type SendOutcome = OrderOutcome | {tag: 'lost'; detail: string};

/** Body of a 200 response to an order that the engine failed to execute. */
const failureSchema = z.object({
  status: z.literal('failed'),
  detail: z.string().optional(),
});

const refusalSchema = z.object({highest: z.number().int()});

function getNewVersion(order: Order): number | null {
  const {action} = order;
  const isSwap = action.type === 'load' || action.type === 'activate';
  return isSwap ? action.version : null;
}

/**
 * Executes orders of controllers one at a time, protected by fencing numbers.
 */
export class AgentOrders {
  readonly rpcMethods: RpcMethods;
  private readonly queue = new PQueue({concurrency: 1});
  private readonly active = new Map<string, Promise<OrderOutcome>>();
  /** Orders that this agent created for a declared rollout. */
  private readonly rolloutOrders = new WeakSet<Order>();
  private fence: OrderFence;

  constructor(private readonly options: AgentOrdersOptions) {
    const {clock, epoch} = options.context;
    this.fence = createOrderFence(epoch, clock.now());
    this.rpcMethods = {
      'order.prepare': defineMethod(z.unknown(), () => this.prepare()),
      'order.execute': defineMethod(orderSchema, order => this.execute(order)),
    };
  }

  /** Returns what a controller needs to create an order. */
  prepare(): OrderPreparation {
    const {context, localUpstream, getHighestFencing} = this.options;
    return {
      agentEpoch: context.epoch,
      monotonicMs: context.clock.now(),
      highestFencing: getHighestKnownFencing(
        this.fence,
        getHighestFencing() ?? -1,
      ),
      load: localUpstream.getLoad(),
    };
  }

  /**
   * Executes an order. For a repeated order, returns the outcome of the first
   * execution.
   */
  async execute(order: Order): Promise<OrderOutcome> {
    const running = this.active.get(order.orderId);
    if (running) return running;
    const decision = this.decide(order);
    if (decision.tag === 'answer') return this.count(decision.outcome);
    if (this.active.size >= MAX_ACTIVE_ORDERS) {
      return this.count(this.refuse('not_ready'));
    }
    this.fence = withAcceptedOrder(this.fence, order);
    const execution = this.queue.add(() => this.runOrder(order));
    const outcome = execution as Promise<OrderOutcome>;
    this.active.set(order.orderId, outcome);
    try {
      return this.count(await outcome);
    } finally {
      this.active.delete(order.orderId);
    }
  }

  /**
   * Executes a step of a rollout declared in the control log, with the highest
   * known fencing number. The step is queued behind running orders.
   */
  async executeDeclared(
    orderId: string,
    action: OrderAction & {type: 'stage' | 'activate'},
  ): Promise<OrderOutcome> {
    const {context, getHighestFencing} = this.options;
    const order: Order = {
      orderId,
      fencing: getHighestKnownFencing(this.fence, getHighestFencing() ?? -1),
      agentEpoch: context.epoch,
      validUntilAgentMs: Infinity,
      action,
    };
    this.rolloutOrders.add(order);
    return this.execute(order);
  }

  private decide(order: Order) {
    const receivedFencing = this.options.getHighestFencing();
    if (this.rolloutOrders.has(order)) {
      return decideRolloutStep(this.fence, order, receivedFencing);
    }
    const now = this.options.context.clock.now();
    return decideOrder(this.fence, order, receivedFencing, now);
  }

  private refuse(
    reason: (OrderOutcome & {tag: 'refused'})['reason'],
    highest = -1,
  ): OrderOutcome {
    const receivedFencing = Math.max(
      highest,
      this.options.getHighestFencing() ?? -1,
    );
    const highestFencing = getHighestKnownFencing(this.fence, receivedFencing);
    return {tag: 'refused', reason, highestFencing};
  }

  private count(outcome: OrderOutcome): OrderOutcome {
    const reason = outcome.tag === 'refused' ? outcome.reason : outcome.tag;
    this.options.context.metrics.count('vc_agent_orders_total', {reason});
    return outcome;
  }

  private async runOrder(order: Order): Promise<OrderOutcome> {
    // Checked again, because the order may have expired in the queue or a newer
    // one may have been accepted.
    const decision = this.decide(order);
    if (decision.tag === 'answer') return decision.outcome;
    const outcome = await this.runAction(order);
    if (outcome.tag === 'refused') {
      // Nothing ran, so a repeated order is decided again. The engine may know
      // a newer controller than this agent does.
      const fencing = outcome.highestFencing;
      this.fence = withAcceptedOrder(this.fence, {...order, fencing});
    } else {
      this.fence = withOrderOutcome(this.fence, order.orderId, outcome);
    }
    return outcome;
  }

  private async runAction(order: Order): Promise<OrderOutcome> {
    if (order.action.type === 'drain') {
      this.options.onDrain();
      return {tag: 'done'};
    }
    if (this.options.getPool()?.kind !== 'engine') {
      return {tag: 'failed', detail: 'the upstream is not an engine'};
    }
    const version = getNewVersion(order);
    const {localUpstream} = this.options;
    if (version === null) return this.sendUntilKnown(order);
    localUpstream.beginActivation(version);
    const outcome = await this.sendUntilKnown(order);
    if (outcome.tag === 'done') localUpstream.confirmActivation(version);
    else localUpstream.abandonActivation();
    // The status shows which version is live after a failed swap.
    if (outcome.tag !== 'done') await this.options.healthChecker.check();
    return outcome;
  }

  /**
   * Sends the order until its outcome is known. After a lost response, the
   * engine's status shows whether a resend is needed.
   */
  private async sendUntilKnown(order: Order): Promise<OrderOutcome> {
    let detail = '';
    for (let sends = 0; sends < MAX_SENDS; sends++) {
      const decision = this.decide(order);
      if (decision.tag === 'answer') {
        if (sends === 0) return decision.outcome;
        return {tag: 'failed', detail: `outcome unknown: ${detail}`};
      }
      const outcome = await this.send(order);
      if (outcome.tag !== 'lost') return outcome;
      detail = outcome.detail;
      this.options.context.metrics.count('vc_agent_order_answers_lost_total');
      if (await this.isInEffect(order)) return {tag: 'done'};
    }
    return {tag: 'failed', detail: `outcome unknown: ${detail}`};
  }

  private async send(order: Order): Promise<SendOutcome> {
    const {type, ...fields} = order.action;
    const answer = await requestJson({
      method: 'POST',
      url: `${this.options.url.replace(/\/$/, '')}/v1/engine/orders`,
      body: {
        orderId: order.orderId,
        fencing: order.fencing,
        action: type,
        ...fields,
      },
      timeoutMs: this.options.limits.orderTimeoutMs,
    });
    if (!answer.ok) return {tag: 'lost', detail: answer.error.detail};
    if (answer.value.status === 200) {
      const failure = failureSchema.safeParse(answer.value.body);
      if (!failure.success) return {tag: 'done'};
      return {tag: 'failed', detail: failure.data.detail ?? 'no detail'};
    }
    if (answer.value.status === 409) {
      const refusal = refusalSchema.safeParse(answer.value.body);
      const highest = refusal.success ? refusal.data.highest : -1;
      return this.refuse('stale_fencing', highest);
    }
    return {tag: 'failed', detail: `status ${answer.value.status}`};
  }

  /**
   * Returns whether the engine's status shows that the order has taken effect.
   */
  private async isInEffect(order: Order): Promise<boolean> {
    const {healthChecker} = this.options;
    // The first check may join one that began before the order was sent and
    // return a stale status.
    await healthChecker.check();
    await healthChecker.check();
    const status = healthChecker.getStatus();
    if (!status || !healthChecker.isUp()) return false;
    const {action} = order;
    if (action.type === 'load' || action.type === 'activate') {
      const hasMatchingModel = !status.model || status.model === action.model;
      return hasMatchingModel && status.weightVersion === action.version;
    }
    if (action.type === 'stage') {
      return status.staged?.includes(action.version) ?? false;
    }
    return false;
  }
}
