import {LEASE_MARGIN_MS, LEASE_MS} from './constants.js';

/** The controller lease as decided by the log. */
export interface LeaseState {
  /**
   * Current holder, or the last one if the lease was released; empty if there
   * was none.
   */
  holder: string;
  /** Fencing token: the offset of the claim that won; -1 if there was none. */
  fencing: number;
  /** Offset of the last lease record that took effect; -1 if there was none. */
  lastOffset: number;
  isReleased: boolean;
}

export type LeaseRecord =
  | {type: 'claim'; holder: string; expects: number}
  | {type: 'renew'; fencing: number}
  | {type: 'release'; fencing: number};

export const noLease: LeaseState = {
  holder: '',
  fencing: -1,
  lastOffset: -1,
  isReleased: true,
};

/**
 * Applies a lease record. Returns the same object if the record has no effect.
 */
export function applyLeaseRecord(
  lease: LeaseState,
  offset: number,
  record: LeaseRecord,
): LeaseState {
  if (record.type === 'claim') {
    if (record.expects !== lease.lastOffset) return lease;
    return {
      holder: record.holder,
      fencing: offset,
      lastOffset: offset,
      isReleased: false,
    };
  }
  if (record.fencing !== lease.fencing || lease.isReleased) return lease;
  return {...lease, lastOffset: offset, isReleased: record.type === 'release'};
}

/**
 * Returns the end of the lease on the holder's clock. The lease is counted from
 * a time before the append was sent, so for its holder it ends before another
 * instance may claim it.
 */
export function getHolderDeadline(sentAtMs: number): number {
  return sentAtMs + LEASE_MS;
}

/**
 * Returns the earliest time at which another instance may claim the lease. It
 * counts from when that instance read the last lease record.
 */
export function getClaimDeadline(readAtMs: number, lease: LeaseState): number {
  if (lease.isReleased) return readAtMs;
  return readAtMs + LEASE_MS + LEASE_MARGIN_MS;
}

/**
 * Returns whether the holder may still send an order: the order must be
 * processed or have timed out before the lease ends.
 */
export function isOrderAllowed(
  nowMs: number,
  deadlineMs: number,
  requestTimeoutMs: number,
): boolean {
  return nowMs + requestTimeoutMs < deadlineMs;
}
