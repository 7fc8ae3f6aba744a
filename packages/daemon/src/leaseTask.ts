import type {MonotonicMs, Result} from '@vanillacross/common';
import {fail, getDeadline, getRendezvousOrder, ok} from '@vanillacross/common';
import type {AppendOutcome, ControlState} from '@vanillacross/domain';
import {
  LEASE_RENEW_MS,
  getClaimDeadline,
  getHolderDeadline,
  isOrderAllowed,
} from '@vanillacross/domain';

import {createLoop} from './loop.js';
import type {
  AppendFailure,
  Context,
  ControlFollower,
  Membership,
  Component,
} from './types.js';

/** Delay before a failed append of a lease record is retried, ms. */
const LEASE_RETRY_MS = 1_000;
/** Delay between the claims of successive claimants, to limit races, ms. */
const CLAIM_STAGGER_MS = 250;
/**
 * Number of claimants with different delays; all later ones share the longest.
 */
const MAX_STAGGERED_CLAIMANTS = 40;
/** Maximum number of appends with unknown outcome that are looked up later. */
const MAX_PENDING_APPENDS = 16;

/** Permission to send orders with a fencing number until a deadline. */
export interface Tenure {
  fencing: number;
  deadline: MonotonicMs;
}

/** This process does not hold the lease, or not for long enough. */
export interface NotLeaseHolder {
  tag: 'not_holder';
}

/**
 * An action that is allowed only during a tenure, such as sending an order or a
 * report. `mayWrite` must be checked again after any wait before the write to the
 * socket.
 */
export type FencedAction<Value> = (
  tenure: Tenure,
  mayWrite: () => boolean,
) => Promise<Value>;

/** Claims, renews and releases the controller lease. */
export interface LeaseTask extends Component {
  getTenure(): Tenure | null;
  /**
   * Calls `perform` if more than `timeoutMs` of the tenure is left; otherwise
   * fails without calling it.
   */
  runFenced<Value>(
    timeoutMs: number,
    perform: FencedAction<Value>,
  ): Promise<Result<Value, NotLeaseHolder>>;
  /**
   * Records a fencing number reported by a receiver. If it is higher than the
   * fencing number of this tenure, the tenure ends.
   */
  recordFencing(highest: number): void;
}

/** An append whose response was lost. */
interface PendingAppend {
  type: 'claim' | 'renew';
  appendId: string;
  sentAt: MonotonicMs;
}

function isFencingCurrent(state: ControlState, fencing: number): boolean {
  // The local state may not include the accepted claim yet.
  if (state.lease.fencing < fencing) return true;
  return state.lease.fencing === fencing && !state.lease.isReleased;
}

/** Creates the task; `membership` lists the other claimants. */
export function createLeaseTask(
  context: Context,
  control: ControlFollower,
  membership: Pick<Membership, 'getPeers'>,
): LeaseTask {
  const {clock, self, metrics} = context;
  const logger = context.logger.child('lease');
  let fencing: number | null = null;
  let deadline = clock.now();
  let nextSendAt = clock.now();
  let lastLeaseChangeAt = clock.now();
  let pending: PendingAppend[] = [];
  let inFlight = 0;
  let isStopping = false;
  let unsubscribe = () => {};
  const waiters = new Set<() => void>();

  function getStaggerMs(expects: number): number {
    const claimants = [self, ...membership.getPeers()].map(peer => peer.id);
    const rank = getRendezvousOrder(`lease ${expects}`, claimants).indexOf(
      self.id,
    );
    return Math.min(rank, MAX_STAGGERED_CLAIMANTS) * CLAIM_STAGGER_MS;
  }

  function endTenure(reason: string): void {
    if (fencing === null) return;
    logger.warn('lease tenure ended', {fencing, reason});
    metrics.count('vc_lease_ended', {reason});
    fencing = null;
  }

  function applyAcceptedAppend(
    type: PendingAppend['type'],
    sentAt: MonotonicMs,
    offset: number,
  ): void {
    if (type === 'claim') {
      if (!isFencingCurrent(control.getState(), offset)) return;
      if (fencing !== null && fencing >= offset) return;
      fencing = offset;
      deadline = getHolderDeadline(sentAt) as MonotonicMs;
      logger.info('lease claimed', {fencing});
      metrics.count('vc_lease_claims');
      return;
    }
    const extended = getHolderDeadline(sentAt) as MonotonicMs;
    if (fencing !== null && extended > deadline) deadline = extended;
  }

  /** Applies the outcomes of pending appends that are known by now. */
  function resolvePending(state: ControlState): void {
    const undecided: PendingAppend[] = [];
    for (const item of pending) {
      const outcome = state.outcomes.get(item.appendId);
      if (!outcome) undecided.push(item);
      else if (outcome.tag === 'accepted') {
        applyAcceptedAppend(item.type, item.sentAt, outcome.offset);
      }
    }
    pending = undecided.slice(-MAX_PENDING_APPENDS);
  }

  function handleResult(
    type: PendingAppend['type'],
    sentAt: MonotonicMs,
    result: Result<AppendOutcome, AppendFailure>,
  ): void {
    nextSendAt = getDeadline(clock.now(), LEASE_RETRY_MS);
    if (result.ok) {
      if (result.value.tag !== 'accepted') return;
      applyAcceptedAppend(type, sentAt, result.value.offset);
      nextSendAt = getDeadline(sentAt, LEASE_RENEW_MS);
      return;
    }
    metrics.count('vc_lease_append_failures', {reason: result.error.tag});
    if (result.error.tag === 'append_unknown') {
      pending.push({type, sentAt, appendId: result.error.appendId});
      resolvePending(control.getState());
    }
  }

  async function claim(expects: number): Promise<void> {
    const sentAt = clock.now();
    const result = await control.append({
      type: 'claim',
      holder: self.id,
      expects,
    });
    handleResult('claim', sentAt, result);
  }

  async function renew(current: number): Promise<void> {
    const sentAt = clock.now();
    const result = await control.append({type: 'renew', fencing: current});
    if (fencing === current) handleResult('renew', sentAt, result);
  }

  async function step(): Promise<MonotonicMs> {
    const state = control.getState();
    resolvePending(state);
    if (fencing !== null && !isFencingCurrent(state, fencing)) {
      endTenure('successor');
    }
    if (fencing !== null) {
      // A late renewal is safe: after a successor's claim it is not accepted.
      if (clock.now() >= nextSendAt) await renew(fencing);
      return nextSendAt;
    }
    const {lease} = state;
    const claimAt = getDeadline(
      getClaimDeadline(lastLeaseChangeAt, lease) as MonotonicMs,
      getStaggerMs(lease.lastOffset),
    );
    const waitUntil = Math.max(claimAt, nextSendAt) as MonotonicMs;
    if (clock.now() < waitUntil) return waitUntil;
    // Without a complete state this process would write incomplete checkpoints.
    if (!state.isComplete) return getDeadline(clock.now(), LEASE_RETRY_MS);
    await claim(lease.lastOffset);
    return nextSendAt;
  }

  const loop = createLoop(context, 'lease', step);

  function getTenure(): Tenure | null {
    if (fencing === null || isStopping || clock.now() >= deadline) return null;
    return isFencingCurrent(control.getState(), fencing)
      ? {fencing, deadline}
      : null;
  }

  function isActionAllowed(current: number, timeoutMs: number): boolean {
    const tenure = getTenure();
    if (tenure === null || tenure.fencing !== current) return false;
    return isOrderAllowed(clock.now(), tenure.deadline, timeoutMs);
  }

  function finishAction(): void {
    if (--inFlight > 0) return;
    for (const wake of waiters) wake();
    waiters.clear();
  }

  async function release(): Promise<void> {
    const current = fencing;
    if (current === null) return;
    // A successor may claim at once, so no order may be in flight.
    if (inFlight > 0) await new Promise<void>(resolve => waiters.add(resolve));
    fencing = null;
    await control.append({type: 'release', fencing: current});
  }

  return {
    name: 'lease',
    start: () => {
      lastLeaseChangeAt = clock.now();
      isStopping = false;
      unsubscribe = control.subscribe((state, previous) => {
        if (state.lease.lastOffset === previous.lease.lastOffset) return;
        lastLeaseChangeAt = clock.now();
        if (state.lease.isReleased || pending.length > 0) loop.wake();
      });
      loop.start();
    },
    stop: async signal => {
      isStopping = true;
      await loop.stop(signal);
      const aborted = new Promise<void>(resolve => {
        if (signal.aborted) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
      if (!signal.aborted) await Promise.race([release(), aborted]);
      unsubscribe();
    },
    getTenure,
    runFenced: async (timeoutMs, perform) => {
      const tenure = getTenure();
      if (!tenure || !isActionAllowed(tenure.fencing, timeoutMs)) {
        metrics.count('vc_fenced_refusals');
        return fail({tag: 'not_holder'});
      }
      inFlight++;
      try {
        const mayWrite = () => isActionAllowed(tenure.fencing, timeoutMs);
        return ok(await perform(tenure, mayWrite));
      } finally {
        finishAction();
      }
    },
    recordFencing: highest => {
      if (fencing !== null && highest > fencing) endTenure('fenced');
    },
  };
}
