import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';

/** A request that waits for capacity. Times are monotonic, in ms. */
export interface AdmissionItem {
  id: string;
  pool: string;
  account: string;
  /** Weight of the account's fair share. */
  weight: number;
  /** Maximum number of concurrent requests of the account at this entry. */
  maxConcurrent: number;
  /** Estimated number of tokens; 1 for plain services. */
  cost: number;
  /** Within an account, requests with a higher priority start first. */
  priority: number;
  deadline: number;
}

/** Why a request was not queued. */
export interface AdmissionFailure {
  tag: 'queue_deadline' | 'account_limit';
  /** Estimated time until the queue has room, ms. */
  retryAfterMs: number;
}

/** Queued requests of one account in one pool. */
interface AccountQueue {
  weight: number;
  /** Highest priority first, then in order of arrival. */
  items: AdmissionItem[];
  queuedCost: number;
  /** Virtual time at which the account's most recently started request ends. */
  finishTag: number;
  /** Virtual start time of the account's first queued request. */
  startTag: number;
}

/** State of the fair queue of one pool. */
interface PoolQueue {
  virtualTime: number;
  accounts: Map<string, AccountQueue>;
  queued: number;
  running: number;
  /** Time since which the queue has not been empty; null while it is empty. */
  backlogSince: number | null;
  lastStart: number;
  /** Exponentially decayed sum of the costs of starts made under a backlog. */
  recentCost: number;
  /**
   * Exponentially decayed sum of the intervals before the starts in
   * `recentCost`, ms: for each, the time since the preceding start.
   */
  recentMs: number;
  rateSamples: number;
}

/** Running requests of one account across all pools. */
interface AccountActivity {
  running: number;
  /** Moving average of the time from start to finish, ms; 0 if unknown. */
  meanServiceMs: number;
}

interface RunningItem {
  item: AdmissionItem;
  startedAt: number;
}

/** Maximum number of queued requests per account and pool; bounds memory. */
export const MAX_QUEUED_PER_ACCOUNT = 1_024;
/** Decay factor per start in the estimate of a pool's throughput. */
const RATE_DECAY = 0.95;
/** Weight of the newest sample in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/**
 * Number of starts to observe before requests are refused because of the
 * estimated throughput.
 */
const MIN_RATE_SAMPLES = 8;
/** Minimum `retryAfterMs` of a refusal, ms. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Start-time fair queueing across client accounts, with one queue per pool.
 * Accounts with queued requests get capacity in proportion to their weights,
 * measured in cost. The queue is work-conserving: capacity is never left idle
 * while some account below its concurrency limit has a queued request.
 */
export class FairAdmissionQueue {
  private readonly pools = new Map<string, PoolQueue>();
  private readonly activities = new Map<string, AccountActivity>();
  private readonly running = new Map<string, RunningItem>();

  /**
   * Queues a request, or refuses it if it is not expected to start before its
   * deadline.
   */
  offer(item: AdmissionItem, now: number): Result<null, AdmissionFailure> {
    const pool = this.getPool(item.pool);
    const account = this.getAccount(pool, item);
    if (account.items.length >= MAX_QUEUED_PER_ACCOUNT) {
      this.removeIfIdle(pool, item.account);
      return fail({tag: 'account_limit', retryAfterMs: MIN_RETRY_AFTER_MS});
    }
    const waitMs = this.getExpectedWaitMs(pool, account, item);
    if (now + waitMs >= item.deadline) {
      this.removeIfIdle(pool, item.account);
      const excessMs = now + waitMs - item.deadline;
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, excessMs);
      return fail({tag: 'queue_deadline', retryAfterMs});
    }
    this.enqueue(pool, account, item, now);
    return ok(null);
  }

  /**
   * Starts up to `capacity` queued requests of a pool in fair order. `capacity`
   * is the number of requests that the upstreams have room for.
   */
  start(poolId: string, capacity: number, now: number): AdmissionItem[] {
    const pool = this.pools.get(poolId);
    const started: AdmissionItem[] = [];
    while (pool && started.length < capacity) {
      const next = this.getNextAccount(pool);
      if (!next) break;
      started.push(this.startFirst(pool, next, now));
    }
    return started;
  }

  /** Removes and returns the queued requests whose deadline has passed. */
  expire(now: number): AdmissionItem[] {
    const expired: AdmissionItem[] = [];
    for (const pool of this.pools.values()) {
      for (const account of [...pool.accounts.values()]) {
        const late = account.items.filter(item => item.deadline <= now);
        for (const item of late) this.remove(pool, item);
        expired.push(...late);
      }
    }
    return expired;
  }

  /** Removes a queued request; returns false if it is not queued. */
  cancel(item: AdmissionItem): boolean {
    const pool = this.pools.get(item.pool);
    return pool !== undefined && this.remove(pool, item);
  }

  /**
   * Ends a started request. If the actual cost is known, the difference from
   * the estimate is charged to the account's next start.
   */
  finish(id: string, now: number, actualCost?: number): void {
    const run = this.running.get(id);
    if (!run) return;
    this.running.delete(id);
    const {item, startedAt} = run;
    const activity = this.activities.get(item.account);
    if (activity) {
      activity.running -= 1;
      const durationMs = now - startedAt;
      activity.meanServiceMs =
        activity.meanServiceMs === 0
          ? durationMs
          : activity.meanServiceMs * (1 - SERVICE_TIME_WEIGHT) +
            durationMs * SERVICE_TIME_WEIGHT;
      if (activity.running === 0 && !this.isQueued(item.account)) {
        this.activities.delete(item.account);
      }
    }
    const pool = this.pools.get(item.pool);
    const account = pool?.accounts.get(item.account);
    if (account && actualCost !== undefined) {
      account.finishTag += (actualCost - item.cost) / item.weight;
      if (account.items.length > 0) {
        account.startTag = Math.max(account.startTag, account.finishTag);
      }
    }
    if (!pool) return;
    pool.running -= 1;
    // In an idle pool no accounts compete, so their start and finish tags are
    // discarded.
    if (pool.running === 0 && pool.queued === 0) pool.accounts.clear();
  }

  getQueued(poolId: string): number {
    return this.pools.get(poolId)?.queued ?? 0;
  }

  /** Returns the number of running requests of an account across all pools. */
  getRunning(account: string): number {
    return this.activities.get(account)?.running ?? 0;
  }

  /** Returns the pools with queued requests. */
  getBackloggedPools(): string[] {
    return [...this.pools]
      .filter(([, pool]) => pool.queued > 0)
      .map(([id]) => id);
  }

  private isQueued(account: string): boolean {
    return [...this.pools.values()].some(
      pool => (pool.accounts.get(account)?.items.length ?? 0) > 0,
    );
  }

  private getPool(id: string): PoolQueue {
    let pool = this.pools.get(id);
    if (!pool) {
      pool = {
        virtualTime: 0,
        accounts: new Map(),
        queued: 0,
        running: 0,
        backlogSince: null,
        lastStart: 0,
        recentCost: 0,
        recentMs: 0,
        rateSamples: 0,
      };
      this.pools.set(id, pool);
    }
    return pool;
  }

  private getAccount(pool: PoolQueue, item: AdmissionItem): AccountQueue {
    let account = pool.accounts.get(item.account);
    if (!account) {
      account = {
        weight: item.weight,
        items: [],
        queuedCost: 0,
        finishTag: pool.virtualTime,
        startTag: pool.virtualTime,
      };
      pool.accounts.set(item.account, account);
    }
    account.weight = item.weight;
    return account;
  }

  private getExpectedWaitMs(
    pool: PoolQueue,
    account: AccountQueue,
    item: AdmissionItem,
  ): number {
    const ahead = account.items.filter(
      other => other.priority >= item.priority,
    );
    if (ahead.length === 0) return 0;
    const costAhead = ahead.reduce((sum, other) => sum + other.cost, 0);
    let rateWaitMs = 0;
    if (pool.rateSamples >= MIN_RATE_SAMPLES && pool.recentCost > 0) {
      const share = account.weight / this.getActiveWeight(pool);
      rateWaitMs = (costAhead * pool.recentMs) / (pool.recentCost * share);
    }
    const activity = this.activities.get(item.account);
    if (!activity || activity.running < item.maxConcurrent) return rateWaitMs;
    const limitWaitMs =
      (ahead.length * activity.meanServiceMs) / item.maxConcurrent;
    return Math.max(rateWaitMs, limitWaitMs);
  }

  private getActiveWeight(pool: PoolQueue): number {
    let sum = 0;
    for (const account of pool.accounts.values()) {
      if (account.items.length > 0) sum += account.weight;
    }
    return sum;
  }

  private enqueue(
    pool: PoolQueue,
    account: AccountQueue,
    item: AdmissionItem,
    now: number,
  ): void {
    if (account.items.length === 0) {
      account.startTag = Math.max(pool.virtualTime, account.finishTag);
    }
    const index = account.items.findIndex(
      other => other.priority < item.priority,
    );
    account.items.splice(index < 0 ? account.items.length : index, 0, item);
    account.queuedCost += item.cost;
    if (pool.queued === 0) pool.backlogSince = now;
    pool.queued += 1;
  }

  /**
   * Returns the account with the lowest start tag among those below their
   * concurrency limit.
   */
  private getNextAccount(pool: PoolQueue): AccountQueue | null {
    let best: AccountQueue | null = null;
    let bestShare = 0;
    for (const account of pool.accounts.values()) {
      const first = account.items[0];
      if (!first) continue;
      const running = this.getRunning(first.account);
      if (running >= first.maxConcurrent) continue;
      const share = running / account.weight;
      const isBetter =
        !best ||
        account.startTag < best.startTag ||
        (account.startTag === best.startTag && share < bestShare);
      if (!isBetter) continue;
      best = account;
      bestShare = share;
    }
    return best;
  }

  private startFirst(
    pool: PoolQueue,
    account: AccountQueue,
    now: number,
  ): AdmissionItem {
    const item = account.items[0];
    this.updateRate(pool, item, now);
    pool.virtualTime = Math.max(pool.virtualTime, account.startTag);
    account.finishTag = account.startTag + item.cost / account.weight;
    account.startTag = account.finishTag;
    const activity = this.activities.get(item.account);
    if (activity) activity.running += 1;
    else this.activities.set(item.account, {running: 1, meanServiceMs: 0});
    this.running.set(item.id, {item, startedAt: now});
    pool.running += 1;
    this.remove(pool, item);
    return item;
  }

  /**
   * Updates the estimate of the pool's throughput. Only starts made under a
   * backlog count, because otherwise the arrival rate would be measured.
   */
  private updateRate(pool: PoolQueue, item: AdmissionItem, now: number): void {
    const wasBacklogged =
      pool.backlogSince !== null && pool.backlogSince <= pool.lastStart;
    if (wasBacklogged) {
      pool.recentCost = pool.recentCost * RATE_DECAY + item.cost;
      pool.recentMs = pool.recentMs * RATE_DECAY + (now - pool.lastStart);
      pool.rateSamples += 1;
    }
    pool.lastStart = now;
  }

  private remove(pool: PoolQueue, item: AdmissionItem): boolean {
    const account = pool.accounts.get(item.account);
    const index = account?.items.indexOf(item) ?? -1;
    if (!account || index < 0) return false;
    account.items.splice(index, 1);
    account.queuedCost -= item.cost;
    pool.queued -= 1;
    if (pool.queued === 0) pool.backlogSince = null;
    this.removeIfIdle(pool, item.account);
    return true;
  }

  /**
   * Removes an account that has no queued requests and whose finish tag no
   * longer affects its next start.
   */
  private removeIfIdle(pool: PoolQueue, id: string): void {
    const account = pool.accounts.get(id);
    if (!account || account.items.length > 0) return;
    if (account.finishTag <= pool.virtualTime) pool.accounts.delete(id);
  }
}
