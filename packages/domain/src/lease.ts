import {LEASE_MARGIN_MS, LEASE_MS} from './constants.js';

/** The controller lease as the log decides it. */
export interface LeaseState {
  /** Instance that holds the lease, or held it last; '' if none. */
  holder: string;
  /** Offset of the winning claim; -1 if there was none. */
  fencing: number;
  /** Offset of the last record that counted; -1 if there was none. */
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

/** Applies a lease record; returns the same state if it does not count. */
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
 * Deadline of the holder: counted from before the append was sent, so that
 * it ends before any successor may claim.
 */
export function getHolderDeadline(sentAtMs: number): number {
  return sentAtMs + LEASE_MS;
}

/** Earliest time at which another instance may claim, from when it read. */
export function getClaimDeadline(readAtMs: number, lease: LeaseState): number {
  if (lease.isReleased) return readAtMs;
  return readAtMs + LEASE_MS + LEASE_MARGIN_MS;
}

/**
 * Says whether an order may still be sent: it must be processed or timed out
 * before the lease ends.
 */
export function isOrderAllowed(
  nowMs: number,
  deadlineMs: number,
  requestTimeoutMs: number,
): boolean {
  return nowMs + requestTimeoutMs < deadlineMs;
}
