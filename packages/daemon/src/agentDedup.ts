import type {
  Clock,
  Metrics,
  MonotonicMs,
  Result,
  RpcFailure,
  RpcMethods,
} from '@vanillacross/common';
import {createRpcClient, defineMethod, getDeadline} from '@vanillacross/common';
import type {
  AgentView,
  IdempotencyClaimResponse,
  IdempotencyClaim,
  IdempotencyCompletion,
  IdempotencyEntry,
  IdempotencyOutcome,
  IdempotencySync,
  IdempotencySyncResponse,
  StoredResponse,
} from '@vanillacross/domain';
import {
  ExpiringMap,
  idempotencyClaimResponseSchema,
  idempotencyClaimSchema,
  idempotencyCompletionSchema,
  decideIdempotencyClaim,
  decideKeyedRequest,
  getKeyHolders,
  checkQuorum,
  isAgent,
  mergeIdempotencyEntry,
  idempotencySyncResponseSchema,
  idempotencySyncSchema,
} from '@vanillacross/domain';
import * as http from 'node:http';
import type {ZodType} from 'zod';

import type {AgentLimits} from './agentLimits.js';
import type {QueryHistory} from './dedupHistory.js';

/** Interval of questions to the agent that runs a request, ms. */
const ASK_INTERVAL_MS = 100;
/** Interval of checks whether keys must be fetched from partners, ms. */
const SYNC_INTERVAL_MS = 250;
/** Time before keys are fetched again, ms. */
const SYNC_RETRY_MS = 1_000;
/** Largest page of `dedup.sync`, bytes of stored answers. */
const SYNC_PAGE_BYTES = 1024 * 1024;
const SYNC_PAGE_ENTRIES = 1_024;
/** Pages that one partner may send in one round. */
const MAX_SYNC_PAGES = 256;
/** Time for one page, ms. */
const SYNC_TIMEOUT_MS = 5_000;
const DEFAULT_WINDOW_MS = 600_000;

/** Calls a method of another agent's peer listener. */
export type DedupPeerCall = (
  partner: string,
  method: string,
  params: unknown,
  timeoutMs: number,
) => Promise<Result<unknown, RpcFailure>>;

/** What deduplication by idempotency key needs. */
export interface DedupOptions {
  /** Upstream id of this agent. */
  upstreamId: string;
  epoch: string;
  clock: Clock;
  limits: AgentLimits;
  metrics: Metrics;
  secret: string;
  getView: () => AgentView | null;
  /** Asks the entries for the history of a pool. */
  queryHistory?: QueryHistory;
  /** Pool of this agent. */
  getPoolId?: () => string;
  /** Replaces the calls over HTTP, for tests. */
  callPeer?: DedupPeerCall;
}

/** How a run ended. */
export type RunOutcome =
  | {tag: 'not_run'}
  | {tag: 'done'; answer: StoredResponse | null}
  | {tag: 'unknown'};

/** Permission to run the request of a key. */
export interface RunPermit {
  /** States the outcome; must be called exactly once. */
  finish(outcome: RunOutcome): void;
}

/** What to do with a request that carries an idempotency key. */
export type IdempotencyDecision =
  | {tag: 'run'; run: RunPermit}
  | {tag: 'replay'; answer: StoredResponse}
  | {tag: 'unknown'}
  | {tag: 'reused'}
  /** Too few partners answered; nothing ran. */
  | {tag: 'not_ready'};

type ClaimResult =
  /** The local state has changed and is decided about again. */
  {tag: 'again'} | {tag: 'decided'; decision: IdempotencyDecision};

/** Runs each idempotency key at most once over the agents of a pool. */
export class AgentDedup {
  readonly rpcMethods: RpcMethods;
  private readonly keys: ExpiringMap<IdempotencyEntry>;
  private readonly waiters = new Map<string, Set<() => void>>();
  private readonly removed = new Map<string, number>();
  private readonly connections = new http.Agent({keepAlive: true});
  private readonly sends = new Set<Promise<unknown>>();
  private readonly startedAt: number;
  private members: ReadonlyMap<string, string> = new Map();
  private seenMembers: AgentView['members'] | null = null;
  private firstOffset: number | null = null;
  private isSynced = false;
  private needsSync = true;
  private nextSyncAt = 0;
  private claimCount = 0;
  private waiting = 0;
  /** Size of stored answers; may count expired ones. */
  private storedBytes = 0;

  constructor(private readonly options: DedupOptions) {
    this.keys = new ExpiringMap(options.limits.maxKeys);
    this.startedAt = options.clock.now();
    this.rpcMethods = {
      'dedup.claim': defineMethod(idempotencyClaimSchema, p =>
        this.answerClaim(p),
      ),
      'dedup.complete': defineMethod(idempotencyCompletionSchema, p =>
        this.complete(p),
      ),
      'dedup.sync': defineMethod(idempotencySyncSchema, p =>
        this.answerSync(p),
      ),
    };
    options.metrics.gauge('vc_agent_keys', () => this.keys.size);
  }

  /** Says whether anything is known locally about a key. */
  hasEntry(key: string): boolean {
    return this.keys.get(key, this.now()) !== null;
  }

  /** Decides about a request; waits for a run of the same key. */
  async begin(
    key: string,
    fingerprint: string,
    deadline: MonotonicMs,
  ): Promise<IdempotencyDecision> {
    this.applyView();
    while (this.now() < deadline) {
      const entry = this.keys.get(key, this.now());
      const {upstreamId: self, epoch} = this.options;
      const decision = decideKeyedRequest(entry, fingerprint, self, epoch);
      switch (decision.tag) {
        case 'claim': {
          const result = await this.claim(key, fingerprint, deadline);
          if (result.tag === 'decided') return result.decision;
          break;
        }
        case 'wait':
          if (!(await this.waitForChange(key, deadline))) {
            return {tag: 'unknown'};
          }
          break;
        case 'ask':
          await this.ask(key, decision.runner, decision.runnerEpoch, deadline);
          break;
        default:
          return decision;
      }
    }
    return {tag: 'unknown'};
  }

  /** Fetches keys from partners after start and after changes. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.applyView();
      this.keys.prune(this.now());
      if (this.needsSync && this.now() >= this.nextSyncAt) await this.sync();
      const until = getDeadline(this.options.clock.now(), SYNC_INTERVAL_MS);
      await this.options.clock.waitUntil(until, signal);
    }
  }

  /** Waits until partners have heard of all outcomes, or cannot. */
  async flush(): Promise<void> {
    await Promise.all(this.sends);
  }

  /** Closes idle connections to partners. */
  close(): void {
    this.connections.destroy();
  }

  /** Says whether this agent knows all keys that it must know. */
  isInformed(): boolean {
    if (this.isSynced) return true;
    if (this.now() >= this.startedAt + this.getWindowMs()) return true;
    const createdAt = this.options.getView()?.poolCreatedAt ?? -1;
    return this.firstOffset !== null && createdAt > this.firstOffset;
  }

  /** Takes over the members of the newest control view. */
  applyView(): void {
    const view = this.options.getView();
    if (!view) return;
    this.firstOffset ??= view.offset;
    for (const [id, deadline] of this.removed) {
      if (deadline <= this.now()) this.removed.delete(id);
    }
    if (view.members === this.seenMembers) return;
    this.seenMembers = view.members;
    const members = new Map<string, string>();
    for (const member of view.members) {
      if (isAgent(member)) members.set(member.upstream.id, member.peerAddress);
    }
    members.delete(this.options.upstreamId);
    const until = this.now() + this.getWindowMs();
    for (const id of this.members.keys()) {
      if (members.has(id)) continue;
      this.removed.set(id, until);
      this.needsSync = true;
    }
    for (const id of members.keys()) {
      if (!this.members.has(id)) this.needsSync = true;
      this.removed.delete(id);
    }
    this.members = members;
  }

  private now(): number {
    return this.options.clock.now();
  }

  private getWindowMs(): number {
    return this.options.getView()?.pool?.dedupWindowMs ?? DEFAULT_WINDOW_MS;
  }

  /** Holders of a key; removed ones count until their keys were fetched. */
  private getHolders(
    key: string,
    claimant = this.options.upstreamId,
  ): string[] {
    const {upstreamId: self} = this.options;
    const members = [...this.members.keys(), ...this.removed.keys()];
    return getKeyHolders(key, [...new Set([self, claimant, ...members])]);
  }

  private setEntry(key: string, entry: IdempotencyEntry): boolean {
    const now = this.now();
    const kept = this.limitStored(entry);
    const isOpen =
      kept.state.tag === 'claiming' || kept.state.tag === 'running';
    // A short window must not end before the run that it protects.
    const spanMs = isOpen
      ? Math.max(this.getWindowMs(), DEFAULT_WINDOW_MS)
      : this.getWindowMs();
    const isSet = this.keys.set(key, kept, now + spanMs, now);
    if (!isSet) this.options.metrics.count('vc_agent_keys_full_total');
    this.notify(key);
    return isSet;
  }

  /** Drops the stored answer if all stored answers take too much memory. */
  private limitStored(entry: IdempotencyEntry): IdempotencyEntry {
    if (entry.state.tag !== 'done' || !entry.state.answer) return entry;
    const {maxStoredTotalBytes} = this.options.limits;
    const size = entry.state.answer.body.length;
    if (this.storedBytes + size > maxStoredTotalBytes) this.recountStored();
    if (this.storedBytes + size > maxStoredTotalBytes) {
      this.options.metrics.count('vc_agent_stored_answers_dropped_total');
      return {...entry, state: {tag: 'done', answer: null}};
    }
    this.storedBytes += size;
    return entry;
  }

  private recountStored(): void {
    this.storedBytes = 0;
    this.keys.prune(this.now());
    for (const [, {value}] of this.keys.getEntries(0, this.now())) {
      if (value.state.tag !== 'done') continue;
      this.storedBytes += value.state.answer?.body.length ?? 0;
    }
  }

  private deleteEntry(key: string): void {
    this.keys.delete(key);
    this.notify(key);
  }

  private notify(key: string): void {
    const waiters = this.waiters.get(key);
    this.waiters.delete(key);
    for (const wake of waiters ?? []) wake();
  }

  /** Waits for a change of the key; false if too many wait already. */
  private async waitForChange(
    key: string,
    deadline: MonotonicMs,
  ): Promise<boolean> {
    if (this.waiting >= this.options.limits.maxWaiters) return false;
    this.waiting += 1;
    const changed = new AbortController();
    const wake = () => changed.abort();
    const waiters = this.waiters.get(key) ?? new Set();
    waiters.add(wake);
    this.waiters.set(key, waiters);
    await this.options.clock.waitUntil(deadline, changed.signal);
    waiters.delete(wake);
    if (waiters.size === 0 && this.waiters.get(key) === waiters) {
      this.waiters.delete(key);
    }
    this.waiting -= 1;
    return true;
  }

  private async call<Answer>(
    partner: string,
    method: string,
    params: unknown,
    schema: ZodType<Answer>,
    timeoutMs: number,
  ): Promise<Answer | null> {
    const result = await this.callRaw(partner, method, params, timeoutMs);
    if (!result.ok) {
      this.options.metrics.count('vc_agent_partner_failures_total', {method});
      return null;
    }
    const parsed = schema.safeParse(result.value);
    return parsed.success ? parsed.data : null;
  }

  private async callRaw(
    partner: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, RpcFailure>> {
    const {callPeer: call, secret} = this.options;
    if (call) return call(partner, method, params, timeoutMs);
    const address = this.members.get(partner);
    if (address === undefined) {
      return {ok: false, error: {tag: 'refused', detail: 'not a member'}};
    }
    const client = createRpcClient(secret, address, this.connections);
    return client.call(method, params, timeoutMs);
  }

  private sendClaim(
    partner: string,
    key: string,
    fingerprint: string,
    claimNumber: number | null,
    deadline: MonotonicMs,
  ): Promise<IdempotencyClaimResponse | null> {
    const leftMs = Math.max(1, deadline - this.now());
    const timeoutMs = Math.min(this.options.limits.claimTimeoutMs, leftMs);
    const claim: IdempotencyClaim = {
      key,
      fingerprint,
      from: this.options.upstreamId,
      fromEpoch: this.options.epoch,
      claimNumber: claimNumber ?? 0,
      isQuestion: claimNumber === null,
    };
    return this.call(
      partner,
      'dedup.claim',
      claim,
      idempotencyClaimResponseSchema,
      timeoutMs,
    );
  }

  /** Asks the other holders for permission to run. */
  private async claim(
    key: string,
    fingerprint: string,
    deadline: MonotonicMs,
  ): Promise<ClaimResult> {
    const {upstreamId: self} = this.options;
    const holders = this.getHolders(key);
    if (!holders.includes(self)) {
      return {tag: 'decided', decision: {tag: 'not_ready'}};
    }
    const claiming: IdempotencyEntry = {fingerprint, state: {tag: 'claiming'}};
    const claimNumber = ++this.claimCount;
    if (!this.setEntry(key, claiming)) {
      return {tag: 'decided', decision: {tag: 'not_ready'}};
    }
    const agreeing = [this.isInformed()];
    const asked: string[] = [];
    let holderCount = holders.length;
    let agreement = checkQuorum(holderCount, agreeing);
    for (const partner of holders) {
      if (partner === self || agreement === 'yes') continue;
      asked.push(partner);
      const answer = await this.sendClaim(
        partner,
        key,
        fingerprint,
        claimNumber,
        deadline,
      );
      // Another claim may have taken the place of this one meanwhile.
      if (this.keys.get(key, this.now()) !== claiming) {
        const outcome = {tag: 'released', claimNumber} as const;
        this.tell(key, fingerprint, asked, outcome);
        return {tag: 'again'};
      }
      if (!answer || answer.answer.tag === 'declined') continue;
      if (answer.answer.tag === 'known') {
        const {entry} = answer.answer;
        this.adopt(key, partner, answer.epoch, entry, asked, claimNumber);
        return {tag: 'again'};
      }
      agreeing.push(answer.isInformed);
      // The partner may remember holders that left before this agent came.
      holderCount = Math.max(holderCount, answer.holders);
      agreement = checkQuorum(holderCount, agreeing);
    }
    if (agreement !== 'yes') {
      this.deleteEntry(key);
      this.tell(key, fingerprint, asked, {tag: 'released', claimNumber});
      const tag = agreement === 'uninformed' ? 'unknown' : 'not_ready';
      this.options.metrics.count('vc_agent_claims_failed_total', {tag});
      return {tag: 'decided', decision: {tag}};
    }
    const {epoch} = this.options;
    const state = {
      tag: 'running',
      runner: self,
      runnerEpoch: epoch,
      claimNumber,
    } as const;
    this.setEntry(key, {fingerprint, state});
    const run = this.createRun(key, fingerprint, asked, claimNumber);
    return {tag: 'decided', decision: {tag: 'run', run}};
  }

  /** Takes over what a partner knows instead of claiming further. */
  private adopt(
    key: string,
    partner: string,
    partnerEpoch: string,
    entry: IdempotencyEntry,
    asked: readonly string[],
    claimNumber: number,
  ): void {
    const {state} = entry;
    const others = asked.filter(id => id !== partner);
    if (state.tag === 'claiming') {
      // The partner is about to run; its questions are answered the same way.
      const next = {
        tag: 'running',
        runner: partner,
        runnerEpoch: partnerEpoch,
        claimNumber: 0,
      } as const;
      this.setEntry(key, {...entry, state: next});
    } else {
      this.setEntry(key, entry);
    }
    const outcome: IdempotencyOutcome =
      state.tag === 'done' || state.tag === 'unknown'
        ? state
        : {tag: 'released', claimNumber};
    this.tell(key, entry.fingerprint, others, outcome);
  }

  private createRun(
    key: string,
    fingerprint: string,
    partners: readonly string[],
    claimNumber: number,
  ): RunPermit {
    return {
      finish: ended => {
        if (ended.tag === 'not_run') {
          this.deleteEntry(key);
          const outcome = {tag: 'released', claimNumber} as const;
          this.tell(key, fingerprint, partners, outcome);
          return;
        }
        this.setEntry(key, {fingerprint, state: ended});
        this.tell(key, fingerprint, partners, ended);
      },
    };
  }

  /** Tells partners of an outcome; a lost message leaves them asking. */
  private tell(
    key: string,
    fingerprint: string,
    partners: readonly string[],
    outcome: IdempotencyOutcome,
  ): void {
    const completion: IdempotencyCompletion = {
      key,
      from: this.options.upstreamId,
      fromEpoch: this.options.epoch,
      fingerprint,
      outcome,
    };
    const {claimTimeoutMs} = this.options.limits;
    for (const partner of partners) {
      const send = this.callRaw(
        partner,
        'dedup.complete',
        completion,
        claimTimeoutMs,
      );
      this.sends.add(send);
      void send.finally(() => this.sends.delete(send));
    }
  }

  /** Asks the agent that has the permission how its run went. */
  private async ask(
    key: string,
    runner: string,
    runnerEpoch: string,
    deadline: MonotonicMs,
  ): Promise<void> {
    const before = this.keys.get(key, this.now());
    const answer = await this.sendClaim(runner, key, '', null, deadline);
    const entry = this.keys.get(key, this.now());
    if (!entry || entry !== before) return;
    const unknown: IdempotencyEntry = {...entry, state: {tag: 'unknown'}};
    if (!answer || answer.epoch !== runnerEpoch) {
      // A claim without an outcome is never run again.
      this.setEntry(key, unknown);
      return;
    }
    if (answer.answer.tag !== 'known') {
      // The same process forgets a key early only if nothing ran.
      this.deleteEntry(key);
      return;
    }
    const {state} = answer.answer.entry;
    if (state.tag === 'done' || state.tag === 'unknown') {
      this.setEntry(key, {...entry, state});
      return;
    }
    if (this.isOwnRun(answer.answer.entry)) {
      // Neither of the two runs it; the other's grant is out of date.
      this.deleteEntry(key);
      return;
    }
    if (state.tag === 'running' && state.runner !== runner) {
      this.setEntry(key, {...entry, state});
    }
    const next = getDeadline(this.options.clock.now(), ASK_INTERVAL_MS);
    const until = Math.min(next, deadline) as MonotonicMs;
    await this.options.clock.waitUntil(until);
  }

  /** Says whether a partner names this process; it knows that itself. */
  private isOwnRun({state}: IdempotencyEntry): boolean {
    const {upstreamId: self, epoch} = this.options;
    if (state.tag !== 'running') return false;
    return state.runner === self && state.runnerEpoch === epoch;
  }

  /** Handler of `dedup.claim`. */
  answerClaim(claim: IdempotencyClaim): IdempotencyClaimResponse {
    this.applyView();
    const {upstreamId: self, epoch} = this.options;
    const entry = this.keys.get(claim.key, this.now());
    const order = this.getHolders(claim.key, claim.from);
    const decision = decideIdempotencyClaim(entry, claim, self, order);
    const isInformed = this.isInformed();
    const head = {epoch, isInformed, holders: order.length};
    const {fingerprint} = claim;
    switch (decision.tag) {
      case 'grant': {
        // The grant of an agent that holds no keys like this proves nothing.
        if (!order.includes(self) || !order.includes(claim.from)) {
          return {...head, answer: {tag: 'declined'}};
        }
        const state = {
          tag: 'running',
          runner: claim.from,
          runnerEpoch: claim.fromEpoch,
          claimNumber: claim.claimNumber,
        } as const;
        const isSet = this.setEntry(claim.key, {fingerprint, state});
        return {...head, answer: {tag: isSet ? 'granted' : 'declined'}};
      }
      case 'lost': {
        const lost: IdempotencyEntry = {fingerprint, state: {tag: 'unknown'}};
        this.setEntry(claim.key, lost);
        return {...head, answer: {tag: 'known', entry: lost}};
      }
      default:
        return {...head, answer: decision};
    }
  }

  /** Handler of `dedup.complete`. */
  complete(completion: IdempotencyCompletion): void {
    const {key, from, fromEpoch, fingerprint, outcome} = completion;
    const entry = this.keys.get(key, this.now());
    const state = entry?.state;
    if (outcome.tag === 'released') {
      const isTheirs =
        state?.tag === 'running' &&
        state.runner === from &&
        state.runnerEpoch === fromEpoch &&
        // A late release must not end a newer claim of the same agent.
        state.claimNumber <= outcome.claimNumber;
      if (isTheirs) this.deleteEntry(key);
      return;
    }
    if (state?.tag === 'done') return;
    if (state?.tag === 'running' && state.runner === this.options.upstreamId) {
      return;
    }
    this.setEntry(key, {fingerprint, state: outcome});
  }

  /** Handler of `dedup.sync`: entries of which the caller is a holder. */
  answerSync(sync: IdempotencySync): IdempotencySyncResponse {
    const now = this.now();
    const entries: IdempotencySyncResponse['entries'] = [];
    const isInformed = this.isInformed();
    const removed = this.getRemovedFor(sync.members);
    let bytes = 0;
    let last = sync.after;
    for (const [key, kept] of this.keys.getEntries(sync.after, now)) {
      const isFull = bytes > SYNC_PAGE_BYTES;
      if (isFull || entries.length >= SYNC_PAGE_ENTRIES) {
        return {isInformed, removed, entries, next: last};
      }
      last = kept.sequence;
      if (!getKeyHolders(key, sync.members).includes(sync.from)) continue;
      const {value, deadline} = kept;
      const entry = this.getShared(value);
      entries.push({key, leftMs: deadline - now, entry});
      if (entry.state.tag === 'done') {
        bytes += entry.state.answer?.body.length ?? 0;
      }
    }
    return {isInformed, removed, entries, next: null};
  }

  /** Members that left, or that the caller does not see. */
  private getRemovedFor(
    members: readonly string[],
  ): IdempotencySyncResponse['removed'] {
    const removed = [...this.removed].map(([id, until]) => ({
      id,
      leftMs: until - this.now(),
    }));
    const leftMs = this.getWindowMs();
    for (const id of this.members.keys()) {
      if (!members.includes(id)) removed.push({id, leftMs});
    }
    return removed;
  }

  /**
   * A claim under way counts as running for others: a grant may be on its way
   * from a process of the caller that has ended since.
   */
  private getShared(entry: IdempotencyEntry): IdempotencyEntry {
    if (entry.state.tag !== 'claiming') return entry;
    const state = {
      tag: 'running',
      runner: this.options.upstreamId,
      runnerEpoch: this.options.epoch,
      claimNumber: this.claimCount,
    } as const;
    return {...entry, state};
  }

  /** Fetches this agent's keys from all members. */
  private async sync(): Promise<void> {
    if (this.options.getView() === null) return;
    const partners = [...this.members.keys()];
    const removedBefore = [...this.removed.keys()];
    const members = [this.options.upstreamId, ...partners];
    this.needsSync = false;
    this.nextSyncAt = this.now() + SYNC_RETRY_MS;
    let areInformed = true;
    let haveAnswered = true;
    for (const partner of partners) {
      const isInformed = await this.syncFrom(partner, members);
      areInformed &&= isInformed === true;
      haveAnswered &&= isInformed !== null;
    }
    if (haveAnswered && !this.isInformed()) await this.applyHistory(members);
    if (!areInformed) {
      this.needsSync = true;
      return;
    }
    // A member that left may have shared keys with an earlier process of this
    // agent only; then time alone makes this agent informed.
    if (partners.length > 0 && this.removed.size === 0) this.isSynced = true;
    // Without partners only the history can tell, so it is asked again.
    if (!this.isInformed()) this.needsSync = true;
    // An informed agent shared the keys of one member that left with it or
    // has fetched them from others. Of two that left together, some keys may
    // have been shared by these two only.
    const isSingle = removedBefore.length === 1 && this.removed.size === 1;
    if (isSingle && this.isInformed()) this.removed.delete(removedBefore[0]);
  }

  /**
   * After all members sent what they know: if the entries sent no request to
   * any other process, nothing is missing. Asked after the members, so that a
   * process that ends meanwhile is not alive for the entries.
   */
  private async applyHistory(members: readonly string[]): Promise<void> {
    const pool = this.options.getPoolId?.();
    if (pool === undefined || this.options.getView()?.pool?.kind !== 'plain') {
      return;
    }
    const upstreams = await this.options.queryHistory?.(pool);
    if (!upstreams || this.removed.size > 0) return;
    if ([...upstreams].every(id => members.includes(id))) this.isSynced = true;
  }

  /** Says whether the partner is informed; null if it did not answer. */
  private async syncFrom(
    partner: string,
    members: string[],
  ): Promise<boolean | null> {
    let after = 0;
    for (let page = 0; page < MAX_SYNC_PAGES; page++) {
      const params: IdempotencySync = {
        from: this.options.upstreamId,
        members,
        after,
      };
      const answer = await this.call(
        partner,
        'dedup.sync',
        params,
        idempotencySyncResponseSchema,
        SYNC_TIMEOUT_MS,
      );
      if (!answer) return null;
      for (const {key, entry} of answer.entries) this.merge(key, entry);
      for (const {id, leftMs} of answer.removed) this.noteRemoved(id, leftMs);
      if (answer.next === null) return answer.isInformed;
      after = answer.next;
    }
    return null;
  }

  /** Takes over that a member left, which this process may not have seen. */
  private noteRemoved(id: string, leftMs: number): void {
    if (id === this.options.upstreamId || this.members.has(id)) return;
    const until = this.now() + leftMs;
    this.removed.set(id, Math.max(until, this.removed.get(id) ?? 0));
  }

  private merge(key: string, remote: IdempotencyEntry): void {
    const local = this.keys.get(key, this.now());
    if (this.isOwnRun(remote)) return;
    const merged = mergeIdempotencyEntry(local, remote);
    if (merged && merged !== local) this.setEntry(key, merged);
  }
}
