import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import type {Account, AdmissionItem} from '@vanillacross/domain';
import {FairAdmissionQueue} from '@vanillacross/domain';

import {createNotRunRefusal} from './refusals.js';
import type {Context, DispatchRequest, Refusal} from './types.js';

/** Permission to send a request; call `finish` when the request ends. */
export interface Grant {
  /** Call when the in-flight count of an upstream includes the request. */
  markCounted(): void;
  /**
   * Ends the request; without `actualCost`, the estimated cost stands. Further
   * calls have no effect.
   */
  finish(actualCost?: number): void;
}

/** Capacity for new requests of a queue. */
export interface Capacity {
  /** Number of further requests that the upstreams can run. */
  slots: number;
  /** False if no upstream accepts new requests. */
  hasUpstream: boolean;
}

/** Queues requests and starts them in fair order as upstreams have capacity. */
export interface AdmissionScheduler {
  admit(
    request: DispatchRequest,
    account: Account,
    queue: string,
    getCapacity: () => Capacity,
  ): Promise<Result<Grant, Refusal>>;
  /** Starts queued requests as far as there is capacity. */
  startQueued(): void;
  /** Refuses all queued requests. */
  refuseAll(refusal: Refusal): void;
  getRunning(): number;
}

interface Waiter {
  item: AdmissionItem;
  settle(result: Result<Grant, Refusal>): void;
}

/**
 * Interval at which queued requests are checked for capacity, ms; not every
 * increase in capacity raises an event.
 */
const POLL_INTERVAL_MS = 20;
/** How long requests stay queued while no upstream is available, ms. */
const NO_UPSTREAM_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;

export function createAdmissionScheduler(context: Context): AdmissionScheduler {
  const {clock, metrics} = context;
  const admission = new FairAdmissionQueue();
  const waiters = new Map<string, Waiter>();
  const capacities = new Map<string, () => Capacity>();
  /**
   * Number of requests per queue that were started but are not yet counted as
   * in flight on an upstream.
   */
  const uncounted = new Map<string, number>();
  const withoutUpstreamSince = new Map<string, number>();
  let running = 0;
  /**
   * Counter for item ids. Request ids are not unique, as hedged copies of a
   * request share one.
   */
  let nextId = 0;
  let isPollScheduled = false;

  function createGrant(item: AdmissionItem): Grant {
    let isCounted = false;
    let isFinished = false;
    running += 1;
    uncounted.set(item.pool, (uncounted.get(item.pool) ?? 0) + 1);
    const markCounted = () => {
      if (isCounted) return;
      isCounted = true;
      const remaining = (uncounted.get(item.pool) ?? 1) - 1;
      if (remaining > 0) uncounted.set(item.pool, remaining);
      else uncounted.delete(item.pool);
    };
    return {
      markCounted,
      finish: actualCost => {
        if (isFinished) return;
        isFinished = true;
        markCounted();
        running -= 1;
        admission.finish(item.id, clock.now(), actualCost);
        startQueued();
      },
    };
  }

  function settle(item: AdmissionItem, result: Result<Grant, Refusal>): void {
    const waiter = waiters.get(item.id);
    waiters.delete(item.id);
    waiter?.settle(result);
  }

  function refuseQueue(queue: string, refusal: Refusal): void {
    for (const {item} of [...waiters.values()]) {
      if (item.pool !== queue || !admission.cancel(item)) continue;
      settle(item, fail(refusal));
    }
  }

  function refuseIfNoUpstream(queue: string, hasUpstream: boolean): void {
    if (hasUpstream) {
      withoutUpstreamSince.delete(queue);
      return;
    }
    const since = withoutUpstreamSince.get(queue) ?? clock.now();
    withoutUpstreamSince.set(queue, since);
    if (clock.now() - since < NO_UPSTREAM_TIMEOUT_MS) return;
    const message = 'no upstream of the pool takes new work';
    refuseQueue(queue, createNotRunRefusal('no_upstream', message, 1));
  }

  function startQueued(): void {
    for (const item of admission.expire(clock.now())) {
      const message = 'the deadline passed in the queue';
      settle(item, fail(createNotRunRefusal('queue_deadline', message, 1)));
    }
    for (const queue of admission.getBackloggedPools()) {
      const capacity = capacities.get(queue)?.();
      if (!capacity) continue;
      const freeSlots = capacity.slots - (uncounted.get(queue) ?? 0);
      for (const item of admission.start(queue, freeSlots, clock.now())) {
        settle(item, ok(createGrant(item)));
      }
      refuseIfNoUpstream(queue, capacity.hasUpstream);
    }
    for (const queue of capacities.keys()) {
      if (admission.getQueued(queue) > 0) continue;
      capacities.delete(queue);
      withoutUpstreamSince.delete(queue);
    }
    if (waiters.size > 0) void schedulePoll();
  }

  async function schedulePoll(): Promise<void> {
    if (isPollScheduled) return;
    isPollScheduled = true;
    await clock.waitUntil(getDeadline(clock.now(), POLL_INTERVAL_MS));
    isPollScheduled = false;
    startQueued();
  }

  function enqueue(
    request: DispatchRequest,
    item: AdmissionItem,
  ): Promise<Result<Grant, Refusal>> {
    return new Promise(resolve => {
      const queuedAt = clock.now();
      const cancel = () => {
        if (!admission.cancel(item)) return;
        const message = 'the caller cancelled the request';
        settle(item, fail(createNotRunRefusal('cancelled', message)));
      };
      request.signal.addEventListener('abort', cancel, {once: true});
      waiters.set(item.id, {
        item,
        settle: result => {
          request.signal.removeEventListener('abort', cancel);
          metrics.observe('vc_queue_ms', clock.now() - queuedAt);
          resolve(result);
        },
      });
      startQueued();
    });
  }

  return {
    startQueued,
    getRunning: () => running,
    refuseAll: refusal => {
      for (const {item} of [...waiters.values()]) {
        if (admission.cancel(item)) settle(item, fail(refusal));
      }
    },
    admit: async (request, account, queue, getCapacity) => {
      const item: AdmissionItem = {
        id: String(nextId++),
        // `FairAdmissionQueue` groups items by `pool`; here, that is the queue id.
        pool: queue,
        account: request.account,
        weight: account.weight,
        maxConcurrent: account.maxConcurrent,
        cost: request.cost,
        priority: request.priority,
        deadline: request.deadline,
      };
      if (request.signal.aborted) {
        const message = 'the caller cancelled the request';
        return fail(createNotRunRefusal('cancelled', message));
      }
      const offer = admission.offer(item, clock.now());
      if (!offer.ok) {
        const {tag, retryAfterMs} = offer.error;
        const message =
          tag === 'account_limit'
            ? 'too many requests of the account are queued'
            : 'the request cannot start before its deadline';
        return fail(
          createNotRunRefusal(tag, message, retryAfterMs / MS_PER_SECOND),
        );
      }
      capacities.set(queue, getCapacity);
      return enqueue(request, item);
    },
  };
}
