import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';

/** One request that waits for capacity. Times are monotonic, ms. */
export interface AdmissionItem {
  id: string;
  pool: string;
  account: string;
  /** Fair share of the account. */
  weight: number;
  /** Requests that the account may have running at this entry. */
  maxConcurrent: number;
  /** Estimated tokens; 1 for plain services. */
  cost: number;
  /** Higher runs first within its account. */
  priority: number;
  deadline: number;
}

/** Why a request is not queued. */
export interface AdmissionFailure {
  tag: 'queue_deadline' | 'account_limit';
  /** When the queue will probably have room, ms. */
  retryAfterMs: number;
}

/** Queue of one account in one pool. */
interface AccountQueue {
  weight: number;
  /** Highest priority first, then in order of arrival. */
  items: AdmissionItem[];
  queuedCost: number;
  /** Virtual time at which the account's last started request ends. */
  finishTag: number;
  /** Virtual start time of the first queued request. */
  startTag: number;
}

/** Start-time fair queue of one pool. */
interface PoolQueue {
  virtualTime: number;
  accounts: Map<string, AccountQueue>;
  queued: number;
  running: number;
  /** Since when something was queued without interruption; null if empty. */
  backlogSince: number | null;
  lastStart: number;
  /** Cost and time of recent starts out of a backlog, decayed. */
  recentCost: number;
  recentMs: number;
  samples: number;
}

/** Running requests of one account over all pools. */
interface AccountRuns {
  running: number;
  /** Mean time from start to finish, ms; 0 if unknown. */
  meanServiceMs: number;
}

interface RunningItem {
  item: AdmissionItem;
  startedAt: number;
}

/** Requests of one account that may wait in one pool; bounds memory. */
export const MAX_QUEUED_PER_ACCOUNT = 1_024;
/** Weight of the past in the estimate of a pool's speed, per start. */
const RATE_DECAY = 0.95;
/** Weight of the newest service time in the mean. */
const SERVICE_WEIGHT = 0.1;
/** Starts that must be seen before early refusals rely on the speed. */
const MIN_RATE_SAMPLES = 8;
/** Shortest time that a refused caller is told to wait, ms. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Start-time fair queueing over client accounts, one queue per pool. Each
 * account with queued requests gets starts in proportion to its weight,
 * measured in cost. A start is given to any account that can use it, so no
 * capacity stays idle while something is queued. Time is passed in.
 */
export class FairAdmissionQueue {
  private readonly pools = new Map<string, PoolQueue>();
  private readonly runs = new Map<string, AccountRuns>();
  private readonly running = new Map<string, RunningItem>();

  /** Queues a request, or refuses it if it cannot start in time. */
  offer(item: AdmissionItem, now: number): Result<null, AdmissionFailure> {
    const pool = this.getPool(item.pool);
    const account = this.getAccount(pool, item);
    if (account.items.length >= MAX_QUEUED_PER_ACCOUNT) {
      this.dropIfIdle(pool, item.account);
      return fail({tag: 'account_limit', retryAfterMs: MIN_RETRY_AFTER_MS});
    }
    const waitMs = this.getExpectedWaitMs(pool, account, item);
    if (now + waitMs >= item.deadline) {
      this.dropIfIdle(pool, item.account);
      const late = now + waitMs - item.deadline;
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, late);
      return fail({tag: 'queue_deadline', retryAfterMs});
    }
    this.enqueue(pool, account, item, now);
    return ok(null);
  }

  /**
   * Starts up to `capacity` queued requests of a pool, in fair order.
   * `capacity` is the number of requests that the upstreams have room for.
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

  /** Removes and returns queued requests whose deadline has passed. */
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

  /** Removes a queued request; false if it is not queued. */
  cancel(item: AdmissionItem): boolean {
    const pool = this.pools.get(item.pool);
    return pool !== undefined && this.remove(pool, item);
  }

  /**
   * Ends a started request. If the actual cost is known, the account's next
   * start is corrected by the difference to the estimate.
   */
  finish(id: string, now: number, actualCost?: number): void {
    const run = this.running.get(id);
    if (!run) return;
    this.running.delete(id);
    const {item, startedAt} = run;
    const runs = this.runs.get(item.account);
    if (runs) {
      runs.running -= 1;
      const tookMs = now - startedAt;
      runs.meanServiceMs =
        runs.meanServiceMs === 0
          ? tookMs
          : runs.meanServiceMs * (1 - SERVICE_WEIGHT) + tookMs * SERVICE_WEIGHT;
      if (runs.running === 0 && !this.isQueued(item.account)) {
        this.runs.delete(item.account);
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
    // An idle pool owes nobody anything, so shares count from here.
    if (pool.running === 0 && pool.queued === 0) pool.accounts.clear();
  }

  getQueued(poolId: string): number {
    return this.pools.get(poolId)?.queued ?? 0;
  }

  /** Running requests of an account. */
  getRunning(account: string): number {
    return this.runs.get(account)?.running ?? 0;
  }

  /** Pools in which something is queued. */
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
        samples: 0,
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
    let byRate = 0;
    if (pool.samples >= MIN_RATE_SAMPLES && pool.recentCost > 0) {
      const share = account.weight / this.getActiveWeight(pool);
      byRate = (costAhead * pool.recentMs) / (pool.recentCost * share);
    }
    const runs = this.runs.get(item.account);
    if (!runs || runs.running < item.maxConcurrent) return byRate;
    const byLimit = (ahead.length * runs.meanServiceMs) / item.maxConcurrent;
    return Math.max(byRate, byLimit);
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
    const after = account.items.findIndex(
      other => other.priority < item.priority,
    );
    account.items.splice(after < 0 ? account.items.length : after, 0, item);
    account.queuedCost += item.cost;
    if (pool.queued === 0) pool.backlogSince = now;
    pool.queued += 1;
  }

  /** The account with the lowest start tag that may run another request. */
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
    this.noteRate(pool, item, now);
    pool.virtualTime = Math.max(pool.virtualTime, account.startTag);
    account.finishTag = account.startTag + item.cost / account.weight;
    account.startTag = account.finishTag;
    const runs = this.runs.get(item.account);
    if (runs) runs.running += 1;
    else this.runs.set(item.account, {running: 1, meanServiceMs: 0});
    this.running.set(item.id, {item, startedAt: now});
    pool.running += 1;
    this.remove(pool, item);
    return item;
  }

  /** Measures the speed of a pool only while it has a backlog. */
  private noteRate(pool: PoolQueue, item: AdmissionItem, now: number): void {
    const wasBacklogged =
      pool.backlogSince !== null && pool.backlogSince <= pool.lastStart;
    if (wasBacklogged) {
      pool.recentCost = pool.recentCost * RATE_DECAY + item.cost;
      pool.recentMs = pool.recentMs * RATE_DECAY + (now - pool.lastStart);
      pool.samples += 1;
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
    this.dropIfIdle(pool, item.account);
    return true;
  }

  /** Forgets accounts whose past no longer affects their next start. */
  private dropIfIdle(pool: PoolQueue, id: string): void {
    const account = pool.accounts.get(id);
    if (!account || account.items.length > 0) return;
    if (account.finishTag <= pool.virtualTime) pool.accounts.delete(id);
  }
}
