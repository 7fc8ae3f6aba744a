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

/** Interval between queries to the agent that runs a request, ms. */
const QUERY_INTERVAL_MS = 100;
/** Interval between checks whether keys must be synchronized from peers, ms. */
const SYNC_CHECK_INTERVAL_MS = 250;
/** Minimum delay between two synchronizations, ms. */
const MIN_SYNC_DELAY_MS = 1_000;
/** Maximum size of the stored responses in one `dedup.sync` page, bytes. */
const MAX_SYNC_PAGE_BYTES = 1024 * 1024;
const MAX_SYNC_PAGE_ENTRIES = 1_024;
/** Maximum number of pages fetched from one peer per synchronization. */
const MAX_SYNC_PAGES = 256;
/** Timeout for fetching one page, ms. */
const SYNC_TIMEOUT_MS = 5_000;
/**
 * Dedup window while that of the pool is not known, ms; also the minimum
 * lifetime of an entry whose request is claimed or running.
 */
const DEFAULT_WINDOW_MS = 600_000;

/** Calls an RPC method on the peer listener of another agent. */
export type DedupPeerCall = (
  peer: string,
  method: string,
  params: unknown,
  timeoutMs: number,
) => Promise<Result<unknown, RpcFailure>>;

/** Dependencies of deduplication by idempotency key. */
export interface DedupOptions {
  /** Id of the upstream that this agent serves. */
  upstream: string;
  epoch: string;
  clock: Clock;
  limits: AgentLimits;
  metrics: Metrics;
  secret: string;
  getView: () => AgentView | null;
  /**
   * Asks the entry instances which upstreams of a pool received requests with
   * idempotency keys.
   */
  queryHistory?: QueryHistory;
  /** Pool that this agent serves. */
  getPoolId?: () => string;
  /** Replaces RPC over HTTP in tests. */
  callPeer?: DedupPeerCall;
}

/** Outcome of an execution. */
export type RunOutcome =
  | {tag: 'not_run'}
  | {tag: 'done'; answer: StoredResponse | null}
  | {tag: 'unknown'};

/** Permission to execute the request with a key. */
export interface RunPermit {
  /** Records the outcome; must be called exactly once. */
  finish(outcome: RunOutcome): void;
}

/** How to handle a request that carries an idempotency key. */
export type IdempotencyDecision =
  | {tag: 'run'; permit: RunPermit}
  | {tag: 'replay'; answer: StoredResponse}
  | {tag: 'unknown'}
  | {tag: 'reused'}
  /** Too few holders answered to reach a quorum; nothing ran. */
  | {tag: 'not_ready'};

type ClaimResult =
  /**
   * The local entry has changed, so the caller must decide again how to handle
   * the request.
   */
  {tag: 'again'} | {tag: 'decided'; decision: IdempotencyDecision};

/**
 * Runs the request with each idempotency key at most once across the agents of a
 * pool. The holders of a key must grant a claim before the request runs.
 */
export class AgentDedup {
  readonly rpcMethods: RpcMethods;
  private readonly keys: ExpiringMap<IdempotencyEntry>;
  private readonly waiters = new Map<string, Set<() => void>>();
  /** Latest time until which each departed upstream counts as a member. */
  private readonly departed = new Map<string, number>();
  private readonly connections = new http.Agent({keepAlive: true});
  private readonly pendingSends = new Set<Promise<unknown>>();
  private readonly startedAt: number;
  private members: ReadonlyMap<string, string> = new Map();
  private appliedMembers: AgentView['members'] | null = null;
  /**
   * Control offset of the first view; a pool created after it has no keys from
   * before this process.
   */
  private firstOffset: number | null = null;
  /** True once the members have supplied all keys that this agent must hold. */
  private isSynced = false;
  /** True if keys must be fetched from the members at the next opportunity. */
  private needsSync = true;
  private nextSyncAt = 0;
  private claimCount = 0;
  private waiterCount = 0;
  /** Size of the stored responses, bytes; may still count expired ones. */
  private storedBytes = 0;

  constructor(private readonly options: DedupOptions) {
    this.keys = new ExpiringMap(options.limits.maxKeys);
    this.startedAt = options.clock.now();
    this.rpcMethods = {
      'dedup.claim': defineMethod(idempotencyClaimSchema, p =>
        this.handleClaim(p),
      ),
      'dedup.complete': defineMethod(idempotencyCompletionSchema, p =>
        this.handleCompletion(p),
      ),
      'dedup.sync': defineMethod(idempotencySyncSchema, p =>
        this.handleSync(p),
      ),
    };
    options.metrics.gauge('vc_agent_keys', () => this.keys.size);
  }

  /** Returns whether there is a local entry for a key. */
  hasEntry(key: string): boolean {
    return this.keys.get(key, this.now()) !== null;
  }

  /**
   * Decides how to handle a request; waits while a request with the same key is
   * running.
   */
  async begin(
    key: string,
    fingerprint: string,
    deadline: MonotonicMs,
  ): Promise<IdempotencyDecision> {
    this.applyView();
    while (this.now() < deadline) {
      const entry = this.keys.get(key, this.now());
      const {upstream: self, epoch} = this.options;
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
          await this.queryRunner(
            key,
            decision.runner,
            decision.runnerEpoch,
            deadline,
          );
          break;
        default:
          return decision;
      }
    }
    return {tag: 'unknown'};
  }

  /**
   * Synchronizes keys from peers after startup and after membership changes.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.applyView();
      this.keys.prune(this.now());
      if (this.needsSync && this.now() >= this.nextSyncAt) await this.sync();
      const until = getDeadline(
        this.options.clock.now(),
        SYNC_CHECK_INTERVAL_MS,
      );
      await this.options.clock.waitUntil(until, signal);
    }
  }

  /** Waits until each pending outcome was delivered to the peers or failed. */
  async flush(): Promise<void> {
    await Promise.all(this.pendingSends);
  }

  /** Closes idle connections to peers. */
  close(): void {
    this.connections.destroy();
  }

  /**
   * Returns whether this agent knows all keys of which it is a holder: it has
   * synchronized them, has run for a whole dedup window or has existed for longer
   * than the pool.
   */
  isInformed(): boolean {
    if (this.isSynced) return true;
    if (this.now() >= this.startedAt + this.getWindowMs()) return true;
    const createdAt = this.options.getView()?.poolCreatedAt ?? -1;
    return this.firstOffset !== null && createdAt > this.firstOffset;
  }

  /** Applies the membership of the newest control view. */
  applyView(): void {
    const view = this.options.getView();
    if (!view) return;
    this.firstOffset ??= view.offset;
    for (const [id, deadline] of this.departed) {
      if (deadline <= this.now()) this.departed.delete(id);
    }
    if (view.members === this.appliedMembers) return;
    this.appliedMembers = view.members;
    const members = new Map<string, string>();
    for (const member of view.members) {
      if (isAgent(member)) members.set(member.upstream.id, member.peerAddress);
    }
    members.delete(this.options.upstream);
    const until = this.now() + this.getWindowMs();
    for (const id of this.members.keys()) {
      if (members.has(id)) continue;
      this.departed.set(id, until);
      this.needsSync = true;
    }
    for (const id of members.keys()) {
      if (!this.members.has(id)) this.needsSync = true;
      this.departed.delete(id);
    }
    this.members = members;
  }

  private now(): number {
    return this.options.clock.now();
  }

  private getWindowMs(): number {
    return this.options.getView()?.pool?.dedupWindowMs ?? DEFAULT_WINDOW_MS;
  }

  /**
   * Returns the holders of a key. Departed members count as members until their
   * keys have been fetched or the dedup window has passed.
   */
  private getHolders(key: string, claimant = this.options.upstream): string[] {
    const {upstream: self} = this.options;
    const members = [...this.members.keys(), ...this.departed.keys()];
    return getKeyHolders(key, [...new Set([self, claimant, ...members])]);
  }

  private setEntry(key: string, entry: IdempotencyEntry): boolean {
    const now = this.now();
    const limited = this.limitStoredBytes(entry);
    const isOpen =
      limited.state.tag === 'claiming' || limited.state.tag === 'running';
    // An open entry must outlive the execution that it guards, which may take
    // longer than the dedup window.
    const ttlMs = isOpen
      ? Math.max(this.getWindowMs(), DEFAULT_WINDOW_MS)
      : this.getWindowMs();
    const isSet = this.keys.set(key, limited, now + ttlMs, now);
    if (!isSet) this.options.metrics.count('vc_agent_keys_full_total');
    this.wakeWaiters(key);
    return isSet;
  }

  /**
   * Drops the stored response if stored responses would exceed the memory
   * limit.
   */
  private limitStoredBytes(entry: IdempotencyEntry): IdempotencyEntry {
    if (entry.state.tag !== 'done' || !entry.state.answer) return entry;
    const {maxStoredTotalBytes} = this.options.limits;
    const size = entry.state.answer.body.length;
    if (this.storedBytes + size > maxStoredTotalBytes) this.recountBytes();
    if (this.storedBytes + size > maxStoredTotalBytes) {
      this.options.metrics.count('vc_agent_stored_answers_dropped_total');
      return {...entry, state: {tag: 'done', answer: null}};
    }
    this.storedBytes += size;
    return entry;
  }

  private recountBytes(): void {
    this.storedBytes = 0;
    this.keys.prune(this.now());
    for (const [, {value}] of this.keys.getEntries(0, this.now())) {
      if (value.state.tag !== 'done') continue;
      this.storedBytes += value.state.answer?.body.length ?? 0;
    }
  }

  private deleteEntry(key: string): void {
    this.keys.delete(key);
    this.wakeWaiters(key);
  }

  private wakeWaiters(key: string): void {
    const waiters = this.waiters.get(key);
    this.waiters.delete(key);
    for (const wake of waiters ?? []) wake();
  }

  /**
   * Waits until the entry of the key changes or the deadline passes; returns
   * false if too many requests are waiting.
   */
  private async waitForChange(
    key: string,
    deadline: MonotonicMs,
  ): Promise<boolean> {
    if (this.waiterCount >= this.options.limits.maxWaiters) return false;
    this.waiterCount += 1;
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
    this.waiterCount -= 1;
    return true;
  }

  private async call<Answer>(
    peer: string,
    method: string,
    params: unknown,
    schema: ZodType<Answer>,
    timeoutMs: number,
  ): Promise<Answer | null> {
    const result = await this.callUnparsed(peer, method, params, timeoutMs);
    if (!result.ok) {
      this.options.metrics.count('vc_agent_partner_failures_total', {method});
      return null;
    }
    const parsed = schema.safeParse(result.value);
    return parsed.success ? parsed.data : null;
  }

  private async callUnparsed(
    peer: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, RpcFailure>> {
    const {callPeer, secret} = this.options;
    if (callPeer) return callPeer(peer, method, params, timeoutMs);
    const address = this.members.get(peer);
    if (address === undefined) {
      return {ok: false, error: {tag: 'refused', detail: 'not a member'}};
    }
    const client = createRpcClient(secret, address, this.connections);
    return client.call(method, params, timeoutMs);
  }

  /**
   * Sends a claim. A null `claimNumber` asks for the entry without claiming the
   * key.
   */
  private sendClaim(
    peer: string,
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
      from: this.options.upstream,
      fromEpoch: this.options.epoch,
      claimNumber: claimNumber ?? 0,
      isQuestion: claimNumber === null,
    };
    return this.call(
      peer,
      'dedup.claim',
      claim,
      idempotencyClaimResponseSchema,
      timeoutMs,
    );
  }

  /** Claims a key: asks its other holders for permission to run the request. */
  private async claim(
    key: string,
    fingerprint: string,
    deadline: MonotonicMs,
  ): Promise<ClaimResult> {
    const {upstream: self} = this.options;
    const holders = this.getHolders(key);
    if (!holders.includes(self)) {
      return {tag: 'decided', decision: {tag: 'not_ready'}};
    }
    const claiming: IdempotencyEntry = {fingerprint, state: {tag: 'claiming'}};
    const claimNumber = ++this.claimCount;
    if (!this.setEntry(key, claiming)) {
      return {tag: 'decided', decision: {tag: 'not_ready'}};
    }
    const informedGrants = [this.isInformed()];
    const askedPeers: string[] = [];
    let holderCount = holders.length;
    let quorum = checkQuorum(holderCount, informedGrants);
    for (const peer of holders) {
      if (peer === self || quorum === 'yes') continue;
      askedPeers.push(peer);
      const answer = await this.sendClaim(
        peer,
        key,
        fingerprint,
        claimNumber,
        deadline,
      );
      // The entry was replaced while waiting, for example by the claim of
      // another agent.
      if (this.keys.get(key, this.now()) !== claiming) {
        const outcome = {tag: 'released', claimNumber} as const;
        this.sendOutcome(key, fingerprint, askedPeers, outcome);
        return {tag: 'again'};
      }
      if (!answer || answer.answer.tag === 'declined') continue;
      if (answer.answer.tag === 'known') {
        const {entry} = answer.answer;
        this.adoptPeerEntry(
          key,
          peer,
          answer.epoch,
          entry,
          askedPeers,
          claimNumber,
        );
        return {tag: 'again'};
      }
      informedGrants.push(answer.isInformed);
      // The peer may know of holders that departed before this agent joined.
      holderCount = Math.max(holderCount, answer.holders);
      quorum = checkQuorum(holderCount, informedGrants);
    }
    if (quorum !== 'yes') {
      this.deleteEntry(key);
      this.sendOutcome(key, fingerprint, askedPeers, {
        tag: 'released',
        claimNumber,
      });
      const tag = quorum === 'uninformed' ? 'unknown' : 'not_ready';
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
    const permit = this.createPermit(key, fingerprint, askedPeers, claimNumber);
    return {tag: 'decided', decision: {tag: 'run', permit}};
  }

  /** Adopts the entry of a peer and gives up this agent's claim. */
  private adoptPeerEntry(
    key: string,
    peer: string,
    peerEpoch: string,
    entry: IdempotencyEntry,
    askedPeers: readonly string[],
    claimNumber: number,
  ): void {
    const {state} = entry;
    const others = askedPeers.filter(id => id !== peer);
    if (state.tag === 'claiming') {
      // The peer claims the key too and is about to run the request. Recording
      // the peer as the runner grants its claim.
      const next = {
        tag: 'running',
        runner: peer,
        runnerEpoch: peerEpoch,
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
    this.sendOutcome(key, entry.fingerprint, others, outcome);
  }

  private createPermit(
    key: string,
    fingerprint: string,
    peers: readonly string[],
    claimNumber: number,
  ): RunPermit {
    return {
      finish: ended => {
        if (ended.tag === 'not_run') {
          this.deleteEntry(key);
          const outcome = {tag: 'released', claimNumber} as const;
          this.sendOutcome(key, fingerprint, peers, outcome);
          return;
        }
        this.setEntry(key, {fingerprint, state: ended});
        this.sendOutcome(key, fingerprint, peers, ended);
      },
    };
  }

  /**
   * Sends an outcome to peers. Holders that miss the message query this agent
   * later.
   */
  private sendOutcome(
    key: string,
    fingerprint: string,
    peers: readonly string[],
    outcome: IdempotencyOutcome,
  ): void {
    const completion: IdempotencyCompletion = {
      key,
      from: this.options.upstream,
      fromEpoch: this.options.epoch,
      fingerprint,
      outcome,
    };
    const {claimTimeoutMs} = this.options.limits;
    for (const peer of peers) {
      const call = this.callUnparsed(
        peer,
        'dedup.complete',
        completion,
        claimTimeoutMs,
      );
      this.pendingSends.add(call);
      void call.finally(() => this.pendingSends.delete(call));
    }
  }

  /**
   * Asks the agent that holds the granted claim for the outcome of its execution.
   */
  private async queryRunner(
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
      // A granted execution with an unknown outcome is never run again.
      this.setEntry(key, unknown);
      return;
    }
    if (answer.answer.tag !== 'known') {
      // The runner has not restarted, and it deletes an unexpired entry only if
      // nothing ran.
      this.deleteEntry(key);
      return;
    }
    const {state} = answer.answer.entry;
    if (state.tag === 'done' || state.tag === 'unknown') {
      this.setEntry(key, {...entry, state});
      return;
    }
    if (this.isOwnRun(answer.answer.entry)) {
      // Each agent has recorded the other as the runner, so neither runs the
      // request. The local entry is stale.
      this.deleteEntry(key);
      return;
    }
    if (state.tag === 'running' && state.runner !== runner) {
      this.setEntry(key, {...entry, state});
    }
    const next = getDeadline(this.options.clock.now(), QUERY_INTERVAL_MS);
    const until = Math.min(next, deadline) as MonotonicMs;
    await this.options.clock.waitUntil(until);
  }

  /**
   * Returns whether the entry says that this process runs the request. Only the
   * local entry is authoritative for that.
   */
  private isOwnRun({state}: IdempotencyEntry): boolean {
    const {upstream: self, epoch} = this.options;
    if (state.tag !== 'running') return false;
    return state.runner === self && state.runnerEpoch === epoch;
  }

  /** Grants or declines the claim of another agent, or answers its query. */
  handleClaim(claim: IdempotencyClaim): IdempotencyClaimResponse {
    this.applyView();
    const {upstream: self, epoch} = this.options;
    const entry = this.keys.get(claim.key, this.now());
    const holders = this.getHolders(claim.key, claim.from);
    const decision = decideIdempotencyClaim(entry, claim, self, holders);
    const isInformed = this.isInformed();
    const head = {epoch, isInformed, holders: holders.length};
    const {fingerprint} = claim;
    switch (decision.tag) {
      case 'grant': {
        // A grant is only valid between agents that both hold the key.
        if (!holders.includes(self) || !holders.includes(claim.from)) {
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

  /** Applies the outcome that another agent reports for a key. */
  handleCompletion(completion: IdempotencyCompletion): void {
    const {key, from, fromEpoch, fingerprint, outcome} = completion;
    const entry = this.keys.get(key, this.now());
    const old = entry?.state;
    if (outcome.tag === 'released') {
      const isClaimOfSender =
        old?.tag === 'running' &&
        old.runner === from &&
        old.runnerEpoch === fromEpoch &&
        // A delayed release must not remove a newer claim of the same agent.
        old.claimNumber <= outcome.claimNumber;
      if (isClaimOfSender) this.deleteEntry(key);
      return;
    }
    if (old?.tag === 'done') return;
    if (old?.tag === 'running' && old.runner === this.options.upstream) {
      return;
    }
    this.setEntry(key, {fingerprint, state: outcome});
  }

  /**
   * Returns a page of the entries whose keys the requesting peer must hold.
   */
  handleSync(sync: IdempotencySync): IdempotencySyncResponse {
    const now = this.now();
    const entries: IdempotencySyncResponse['entries'] = [];
    const isInformed = this.isInformed();
    const removed = this.getDeparted(sync.members);
    let bytes = 0;
    let lastSequence = sync.after;
    for (const [key, item] of this.keys.getEntries(sync.after, now)) {
      const isFull = bytes > MAX_SYNC_PAGE_BYTES;
      if (isFull || entries.length >= MAX_SYNC_PAGE_ENTRIES) {
        return {isInformed, removed, entries, next: lastSequence};
      }
      lastSequence = item.sequence;
      if (!getKeyHolders(key, sync.members).includes(sync.from)) continue;
      const {value, deadline} = item;
      const entry = this.toPeerEntry(value);
      entries.push({key, leftMs: deadline - now, entry});
      if (entry.state.tag === 'done') {
        bytes += entry.state.answer?.body.length ?? 0;
      }
    }
    return {isInformed, removed, entries, next: null};
  }

  /**
   * Returns the departed members. Also returns members that the requesting peer
   * does not list, because they may have departed before it started.
   */
  private getDeparted(
    members: readonly string[],
  ): IdempotencySyncResponse['removed'] {
    const departed = [...this.departed].map(([id, until]) => ({
      id,
      leftMs: until - this.now(),
    }));
    const leftMs = this.getWindowMs();
    for (const id of this.members.keys()) {
      if (!members.includes(id)) departed.push({id, leftMs});
    }
    return departed;
  }

  /**
   * Returns the entry as sent to peers. A claim of this agent that is still in
   * progress is sent as running, because an earlier process of the requesting
   * peer may already have granted it.
   */
  private toPeerEntry(entry: IdempotencyEntry): IdempotencyEntry {
    if (entry.state.tag !== 'claiming') return entry;
    const state = {
      tag: 'running',
      runner: this.options.upstream,
      runnerEpoch: this.options.epoch,
      claimNumber: this.claimCount,
    } as const;
    return {...entry, state};
  }

  /** Fetches the keys of which this agent is a holder from all members. */
  private async sync(): Promise<void> {
    if (this.options.getView() === null) return;
    const peers = [...this.members.keys()];
    const departedBefore = [...this.departed.keys()];
    const members = [this.options.upstream, ...peers];
    this.needsSync = false;
    this.nextSyncAt = this.now() + MIN_SYNC_DELAY_MS;
    let areAllInformed = true;
    let haveAllAnswered = true;
    for (const peer of peers) {
      const isInformed = await this.syncFrom(peer, members);
      areAllInformed &&= isInformed === true;
      haveAllAnswered &&= isInformed !== null;
    }
    if (haveAllAnswered && !this.isInformed()) await this.applyHistory(members);
    if (!areAllInformed) {
      this.needsSync = true;
      return;
    }
    // A departed member may have held keys whose only other holder was an
    // earlier process of this agent. No member can supply these, so this agent
    // waits for the dedup window to pass.
    if (peers.length > 0 && this.departed.size === 0) this.isSynced = true;
    // Without peers, only the entry instances can show that no key is missing,
    // so they are queried again at the next synchronization.
    if (!this.isInformed()) this.needsSync = true;
    // After a single departure, an informed agent knows every key that it has
    // taken over: it held the key before or has fetched it from another holder.
    // The departed member then no longer matters. If two members left together,
    // some keys may have been known only to these two.
    const isSingle = departedBefore.length === 1 && this.departed.size === 1;
    if (isSingle && this.isInformed()) this.departed.delete(departedBefore[0]);
  }

  /**
   * If the entry instances sent requests with idempotency keys only to
   * processes of current members, the members have supplied every key, so this
   * agent is marked as synchronized. Must run after the members have answered:
   * in the reverse order, a process that was reported as alive could end before
   * it supplied its keys.
   */
  private async applyHistory(members: readonly string[]): Promise<void> {
    const pool = this.options.getPoolId?.();
    if (pool === undefined || this.options.getView()?.pool?.kind !== 'plain') {
      return;
    }
    const upstreams = await this.options.queryHistory?.(pool);
    if (!upstreams || this.departed.size > 0) return;
    if ([...upstreams].every(id => members.includes(id))) this.isSynced = true;
  }

  /** Returns whether the peer is informed, or null if it did not answer. */
  private async syncFrom(
    peer: string,
    members: string[],
  ): Promise<boolean | null> {
    let after = 0;
    for (let page = 0; page < MAX_SYNC_PAGES; page++) {
      const params: IdempotencySync = {
        from: this.options.upstream,
        members,
        after,
      };
      const answer = await this.call(
        peer,
        'dedup.sync',
        params,
        idempotencySyncResponseSchema,
        SYNC_TIMEOUT_MS,
      );
      if (!answer) return null;
      for (const {key, entry} of answer.entries) this.merge(key, entry);
      for (const {id, leftMs} of answer.removed) this.addDeparted(id, leftMs);
      if (answer.next === null) return answer.isInformed;
      after = answer.next;
    }
    return null;
  }

  /**
   * Records a departure reported by a peer; this process may have missed it.
   */
  private addDeparted(id: string, leftMs: number): void {
    if (id === this.options.upstream || this.members.has(id)) return;
    const until = this.now() + leftMs;
    this.departed.set(id, Math.max(until, this.departed.get(id) ?? 0));
  }

  private merge(key: string, remote: IdempotencyEntry): void {
    const local = this.keys.get(key, this.now());
    if (this.isOwnRun(remote)) return;
    const merged = mergeIdempotencyEntry(local, remote);
    if (merged && merged !== local) this.setEntry(key, merged);
  }
}
