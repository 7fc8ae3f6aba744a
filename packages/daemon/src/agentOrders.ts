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

/** Orders that wait for their turn; the controller repeats the others. */
const MAX_WAITING_ORDERS = 16;
/** Sends of one order to the engine, each after reading its status. */
const MAX_SENDS = 3;

/** What order execution needs. */
export interface AgentOrdersOptions {
  context: Context;
  url: string;
  limits: AgentLimits;
  localUpstream: LocalUpstream;
  healthChecker: HealthChecker;
  getPool: () => Pool | null;
  /** Highest fencing number that an entry named; null before the first. */
  getHighestFencing: () => number | null;
  onDrain: () => void;
}

/** What the engine said about one send of an order. */
type SendOutcome = OrderOutcome | {tag: 'lost'; detail: string};

/** An engine answers 200 also for an order that it tried and failed. */
const failureSchema = z.object({
  status: z.literal('failed'),
  detail: z.string().optional(),
});

const refusalSchema = z.object({highest: z.number().int()});

function changesVersion(order: Order): number | null {
  const {action} = order;
  const isSwap = action.type === 'load' || action.type === 'activate';
  return isSwap ? action.version : null;
}

/** Executes the orders of controllers, one at a time and fenced. */
export class AgentOrders {
  readonly rpcMethods: RpcMethods;
  private readonly queue = new PQueue({concurrency: 1});
  private readonly active = new Map<string, Promise<OrderOutcome>>();
  /** Orders that this agent made from a declared rollout. */
  private readonly declared = new WeakSet<Order>();
  private fence: OrderFence;

  constructor(private readonly options: AgentOrdersOptions) {
    const {clock, epoch} = options.context;
    this.fence = createOrderFence(epoch, clock.now());
    this.rpcMethods = {
      'order.prepare': defineMethod(z.unknown(), () => this.prepare()),
      'order.execute': defineMethod(orderSchema, order => this.execute(order)),
    };
  }

  /** What a controller needs to write an order. */
  prepare(): OrderPreparation {
    const {
      context,
      localUpstream: gate,
      getHighestFencing: getHeard,
    } = this.options;
    return {
      agentEpoch: context.epoch,
      monotonicMs: context.clock.now(),
      highestFencing: getHighestKnownFencing(this.fence, getHeard() ?? -1),
      load: gate.getLoad(),
    };
  }

  /** Executes an order, or returns the outcome of its first execution. */
  async execute(order: Order): Promise<OrderOutcome> {
    const running = this.active.get(order.orderId);
    if (running) return running;
    const decision = this.decide(order);
    if (decision.tag === 'answer') return this.count(decision.outcome);
    if (this.active.size >= MAX_WAITING_ORDERS) {
      return this.count(this.refuse('not_ready'));
    }
    this.fence = withAcceptedOrder(this.fence, order);
    const execution = this.queue.add(() => this.perform(order));
    const outcome = execution as Promise<OrderOutcome>;
    this.active.set(order.orderId, outcome);
    try {
      return this.count(await outcome);
    } finally {
      this.active.delete(order.orderId);
    }
  }

  /**
   * Executes a step of a rollout that the log declared, under the highest
   * fencing number that is known. It takes its turn after running orders.
   */
  async executeDeclared(
    orderId: string,
    action: OrderAction & {type: 'stage' | 'activate'},
  ): Promise<OrderOutcome> {
    const {context, getHighestFencing: getHeard} = this.options;
    const order: Order = {
      orderId,
      fencing: getHighestKnownFencing(this.fence, getHeard() ?? -1),
      agentEpoch: context.epoch,
      validUntilAgentMs: Infinity,
      action,
    };
    this.declared.add(order);
    return this.execute(order);
  }

  private decide(order: Order) {
    const heard = this.options.getHighestFencing();
    if (this.declared.has(order)) {
      return decideRolloutStep(this.fence, order, heard);
    }
    const now = this.options.context.clock.now();
    return decideOrder(this.fence, order, heard, now);
  }

  private refuse(
    reason: (OrderOutcome & {tag: 'refused'})['reason'],
    highest = -1,
  ): OrderOutcome {
    const heard = Math.max(highest, this.options.getHighestFencing() ?? -1);
    const highestFencing = getHighestKnownFencing(this.fence, heard);
    return {tag: 'refused', reason, highestFencing};
  }

  private count(outcome: OrderOutcome): OrderOutcome {
    const reason = outcome.tag === 'refused' ? outcome.reason : outcome.tag;
    this.options.context.metrics.count('vc_agent_orders_total', {reason});
    return outcome;
  }

  private async perform(order: Order): Promise<OrderOutcome> {
    // Time has passed in the queue, and a newer order may have come.
    const decision = this.decide(order);
    if (decision.tag === 'answer') return decision.outcome;
    const outcome = await this.performAction(order);
    if (outcome.tag === 'refused') {
      // It ran nothing, so a repeat is decided afresh; the engine may know of
      // a newer controller than this agent.
      const fencing = outcome.highestFencing;
      this.fence = withAcceptedOrder(this.fence, {...order, fencing});
    } else {
      this.fence = withOrderOutcome(this.fence, order.orderId, outcome);
    }
    return outcome;
  }

  private async performAction(order: Order): Promise<OrderOutcome> {
    if (order.action.type === 'drain') {
      this.options.onDrain();
      return {tag: 'done'};
    }
    if (this.options.getPool()?.kind !== 'engine') {
      return {tag: 'failed', detail: 'the upstream is not an engine'};
    }
    const version = changesVersion(order);
    const {localUpstream: gate} = this.options;
    if (version === null) return this.sendUntilKnown(order);
    gate.beginActivation(version);
    const outcome = await this.sendUntilKnown(order);
    if (outcome.tag === 'done') gate.confirmActivation(version);
    else gate.abandonActivation();
    // The status shows which version a failed swap left.
    if (outcome.tag !== 'done') await this.options.healthChecker.check();
    return outcome;
  }

  /** Sends the order; after a lost answer the status decides about a repeat. */
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

  /** Reads from the engine whether an order has taken effect. */
  private async isInEffect(order: Order): Promise<boolean> {
    const {healthChecker: watcher} = this.options;
    // A check that began before the order was sent would be out of date.
    await watcher.check();
    await watcher.check();
    const status = watcher.getStatus();
    if (!status || !watcher.isUp()) return false;
    const {action} = order;
    if (action.type === 'load' || action.type === 'activate') {
      const isModel = !status.model || status.model === action.model;
      return isModel && status.weightVersion === action.version;
    }
    if (action.type === 'stage') {
      return status.staged?.includes(action.version) ?? false;
    }
    return false;
  }
}
