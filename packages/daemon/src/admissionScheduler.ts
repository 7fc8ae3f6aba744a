import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import type {Account, AdmissionItem} from '@vanillacross/domain';
import {FairAdmissionQueue} from '@vanillacross/domain';

import {createNotRunRefusal} from './refusals.js';
import type {Context, DispatchRequest, Refusal} from './types.js';

/** Permission to send a request; must be finished exactly once. */
export interface Grant {
  /** Tells that the request now counts in the load of an upstream. */
  markSent(): void;
  finish(actualCost?: number): void;
}

/** Room for new work in a queue. */
export interface Capacity {
  /** Requests that the upstreams have room for. */
  slots: number;
  /** False if no upstream may get new work. */
  hasUpstream: boolean;
}

/** Lets requests start in fair order while upstreams have room. */
export interface AdmissionScheduler {
  admit(
    request: DispatchRequest,
    account: Account,
    queue: string,
    getCapacity: () => Capacity,
  ): Promise<Result<Grant, Refusal>>;
  /** Starts what has room now. */
  startQueued(): void;
  /** Refuses everything that is queued. */
  refuseAll(refusal: Refusal): void;
  getRunning(): number;
}

interface Waiter {
  item: AdmissionItem;
  settle(result: Result<Grant, Refusal>): void;
}

/** Interval at which queues look for room that no event announced, ms. */
const PUMP_INTERVAL_MS = 20;
/** How long a queue waits for a first upstream before it refuses, ms. */
const NO_UPSTREAM_WAIT_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Creates the pump of an entry. */
export function createAdmissionScheduler(context: Context): AdmissionScheduler {
  const {clock, metrics} = context;
  const admission = new FairAdmissionQueue();
  const waiters = new Map<string, Waiter>();
  const capacities = new Map<string, () => Capacity>();
  /** Started requests that no upstream's load includes yet, by queue. */
  const unsent = new Map<string, number>();
  const withoutUpstream = new Map<string, number>();
  let running = 0;
  /** Request ids may repeat when a request is hedged. */
  let nextId = 0;
  let isTicking = false;

  function createGrant(item: AdmissionItem): Grant {
    let isSent = false;
    let isFinished = false;
    running += 1;
    unsent.set(item.pool, (unsent.get(item.pool) ?? 0) + 1);
    const noteSent = () => {
      if (isSent) return;
      isSent = true;
      const left = (unsent.get(item.pool) ?? 1) - 1;
      if (left > 0) unsent.set(item.pool, left);
      else unsent.delete(item.pool);
    };
    return {
      markSent: noteSent,
      finish: actualCost => {
        if (isFinished) return;
        isFinished = true;
        noteSent();
        running -= 1;
        admission.finish(item.id, clock.now(), actualCost);
        pump();
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

  function checkUpstreams(queue: string, hasUpstream: boolean): void {
    if (hasUpstream) {
      withoutUpstream.delete(queue);
      return;
    }
    const since = withoutUpstream.get(queue) ?? clock.now();
    withoutUpstream.set(queue, since);
    if (clock.now() - since < NO_UPSTREAM_WAIT_MS) return;
    const message = 'no upstream of the pool takes new work';
    refuseQueue(queue, createNotRunRefusal('no_upstream', message, 1));
  }

  function pump(): void {
    for (const item of admission.expire(clock.now())) {
      const message = 'the deadline passed in the queue';
      settle(item, fail(createNotRunRefusal('queue_deadline', message, 1)));
    }
    for (const queue of admission.getBackloggedPools()) {
      const capacity = capacities.get(queue)?.();
      if (!capacity) continue;
      const room = capacity.slots - (unsent.get(queue) ?? 0);
      for (const item of admission.start(queue, room, clock.now())) {
        settle(item, ok(createGrant(item)));
      }
      checkUpstreams(queue, capacity.hasUpstream);
    }
    for (const queue of capacities.keys()) {
      if (admission.getQueued(queue) > 0) continue;
      capacities.delete(queue);
      withoutUpstream.delete(queue);
    }
    if (waiters.size > 0) void tick();
  }

  async function tick(): Promise<void> {
    if (isTicking) return;
    isTicking = true;
    await clock.waitUntil(getDeadline(clock.now(), PUMP_INTERVAL_MS));
    isTicking = false;
    pump();
  }

  function enqueue(
    request: DispatchRequest,
    item: AdmissionItem,
  ): Promise<Result<Grant, Refusal>> {
    return new Promise(resolve => {
      const offeredAt = clock.now();
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
          metrics.observe('vc_queue_ms', clock.now() - offeredAt);
          resolve(result);
        },
      });
      pump();
    });
  }

  return {
    startQueued: pump,
    getRunning: () => running,
    refuseAll: refusal => {
      for (const {item} of [...waiters.values()]) {
        if (admission.cancel(item)) settle(item, fail(refusal));
      }
    },
    admit: async (request, account, queue, getCapacity) => {
      const item: AdmissionItem = {
        id: String(nextId++),
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
