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

/** Wait before a lease record that failed is written again, ms. */
const LEASE_RETRY_MS = 1_000;
/** Claimants follow each other at this distance, so that few race, ms. */
const CLAIM_STAGGER_MS = 250;
/** Most claimants that wait for their turn; the rest claim together. */
const MAX_STAGGERED = 40;
/** Appends whose outcome is unknown and that are looked up later. */
const MAX_PENDING = 16;

/** The right to send orders with a fencing number up to a deadline. */
export interface Tenure {
  fencing: number;
  deadline: MonotonicMs;
}

/** This process may not send orders now. */
export interface NotLeaseHolder {
  tag: 'not_holder';
}

/**
 * Sends one order. `mayWrite` must be asked again after any wait between the
 * call and the write to the socket.
 */
export type FencedAction<Value> = (
  tenure: Tenure,
  mayWrite: () => boolean,
) => Promise<Value>;

/** Claims, renews and releases the controller lease. */
export interface LeaseTask extends Component {
  getTenure(): Tenure | null;
  /**
   * Performs an exchange that ends within `timeoutMs` only if it then ends
   * before the lease does. Refused without any effect otherwise.
   */
  runFenced<Value>(
    timeoutMs: number,
    perform: FencedAction<Value>,
  ): Promise<Result<Value, NotLeaseHolder>>;
  /** Tells of a fencing number seen elsewhere; a higher one ends the tenure. */
  recordFencing(highest: number): void;
}

/** An append whose answer was lost. */
interface PendingAppend {
  type: 'claim' | 'renew';
  appendId: string;
  sentAt: MonotonicMs;
}

function isFencingCurrent(state: ControlState, fencing: number): boolean {
  // The own state may not have reached the winning claim yet.
  if (state.lease.fencing < fencing) return true;
  return state.lease.fencing === fencing && !state.lease.isReleased;
}

/** Creates the task; `membership` tells the other claimants. */
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
  let readAt = clock.now();
  let pending: PendingAppend[] = [];
  let inFlight = 0;
  let isLeaving = false;
  let unsubscribe = () => {};
  const idle = new Set<() => void>();

  function getStaggerMs(expects: number): number {
    const claimants = [self, ...membership.getPeers()].map(peer => peer.id);
    const rank = getRendezvousOrder(`lease ${expects}`, claimants).indexOf(
      self.id,
    );
    return Math.min(rank, MAX_STAGGERED) * CLAIM_STAGGER_MS;
  }

  function endTenure(reason: string): void {
    if (fencing === null) return;
    logger.warn('tenure ended', {fencing, reason});
    metrics.count('vc_lease_ended', {reason});
    fencing = null;
  }

  function takeAccepted(
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

  /** Applies outcomes that the log has decided since the answer was lost. */
  function settlePending(state: ControlState): void {
    const undecided: PendingAppend[] = [];
    for (const item of pending) {
      const outcome = state.outcomes.get(item.appendId);
      if (!outcome) undecided.push(item);
      else if (outcome.tag === 'accepted') {
        takeAccepted(item.type, item.sentAt, outcome.offset);
      }
    }
    pending = undecided.slice(-MAX_PENDING);
  }

  function noteResult(
    type: PendingAppend['type'],
    sentAt: MonotonicMs,
    result: Result<AppendOutcome, AppendFailure>,
  ): void {
    nextSendAt = getDeadline(clock.now(), LEASE_RETRY_MS);
    if (result.ok) {
      if (result.value.tag !== 'accepted') return;
      takeAccepted(type, sentAt, result.value.offset);
      nextSendAt = getDeadline(sentAt, LEASE_RENEW_MS);
      return;
    }
    metrics.count('vc_lease_append_failures', {reason: result.error.tag});
    if (result.error.tag === 'append_unknown') {
      pending.push({type, sentAt, appendId: result.error.appendId});
      settlePending(control.getState());
    }
  }

  async function claim(expects: number): Promise<void> {
    const sentAt = clock.now();
    const result = await control.append({
      type: 'claim',
      holder: self.id,
      expects,
    });
    noteResult('claim', sentAt, result);
  }

  async function renew(current: number): Promise<void> {
    const sentAt = clock.now();
    const result = await control.append({type: 'renew', fencing: current});
    if (fencing === current) noteResult('renew', sentAt, result);
  }

  async function step(): Promise<MonotonicMs> {
    const state = control.getState();
    settlePending(state);
    if (fencing !== null && !isFencingCurrent(state, fencing)) {
      endTenure('successor');
    }
    if (fencing !== null) {
      // A late renewal is valid: the log refuses it after a successor's claim.
      if (clock.now() >= nextSendAt) await renew(fencing);
      return nextSendAt;
    }
    const {lease} = state;
    const claimAt = getDeadline(
      getClaimDeadline(readAt, lease) as MonotonicMs,
      getStaggerMs(lease.lastOffset),
    );
    const waitUntil = Math.max(claimAt, nextSendAt) as MonotonicMs;
    if (clock.now() < waitUntil) return waitUntil;
    // A process with gaps would write incomplete checkpoints.
    if (!state.isComplete) return getDeadline(clock.now(), LEASE_RETRY_MS);
    await claim(lease.lastOffset);
    return nextSendAt;
  }

  const loop = createLoop(context, 'lease', step);

  function getTenure(): Tenure | null {
    if (fencing === null || isLeaving || clock.now() >= deadline) return null;
    return isFencingCurrent(control.getState(), fencing)
      ? {fencing, deadline}
      : null;
  }

  function isAllowed(current: number, timeoutMs: number): boolean {
    const tenure = getTenure();
    if (tenure === null || tenure.fencing !== current) return false;
    return isOrderAllowed(clock.now(), tenure.deadline, timeoutMs);
  }

  function noteIdle(): void {
    if (--inFlight > 0) return;
    for (const wake of idle) wake();
    idle.clear();
  }

  async function release(): Promise<void> {
    const current = fencing;
    if (current === null) return;
    // A successor may claim at once, so no order may still be on its way.
    if (inFlight > 0) await new Promise<void>(resolve => idle.add(resolve));
    fencing = null;
    await control.append({type: 'release', fencing: current});
  }

  return {
    name: 'lease',
    start: () => {
      readAt = clock.now();
      isLeaving = false;
      unsubscribe = control.subscribe((state, previous) => {
        if (state.lease.lastOffset === previous.lease.lastOffset) return;
        readAt = clock.now();
        if (state.lease.isReleased || pending.length > 0) loop.wake();
      });
      loop.start();
    },
    stop: async signal => {
      isLeaving = true;
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
      if (!tenure || !isAllowed(tenure.fencing, timeoutMs)) {
        metrics.count('vc_fenced_refusals');
        return fail({tag: 'not_holder'});
      }
      inFlight++;
      try {
        const mayWrite = () => isAllowed(tenure.fencing, timeoutMs);
        return ok(await perform(tenure, mayWrite));
      } finally {
        noteIdle();
      }
    },
    recordFencing: highest => {
      if (fencing !== null && highest > fencing) endTenure('fenced');
    },
  };
}
