import type {Clock, MonotonicMs} from '@vanillacross/common';
import type {
  PermitBucket,
  SettledShare,
  StatedLimit,
} from '@vanillacross/domain';
import {
  createPermitBucket,
  getControlRate,
  getPermits,
  reconcileLimit,
  setPermitRate,
  settleShare,
  takePermit,
} from '@vanillacross/domain';

import type {UpstreamNotice} from '../model/index.js';

/** Permits for control calls that a process without recent calls holds. */
const CONTROL_BURST = 2;

/** Receives what the responses of an upstream state. */
export interface NoticeListener {
  /** Called for each response that confirms, changes or ends a limit. */
  onLimit(perSecond: number | null, before: number | null): void;
  /** Called once. */
  onLeaving(): void;
}

/**
 * What one incarnation of an upstream has stated about itself, and this
 * process's permits to send to it while a request limit is in force.
 */
export class IncarnationNotices {
  isLeaving = false;
  private stated: StatedLimit | null = null;
  private share: SettledShare = {perSecond: 0, higher: null};
  private requests: PermitBucket;
  private controlCalls: PermitBucket;

  constructor(
    private readonly clock: Clock,
    private readonly listener: NoticeListener | null = null,
  ) {
    this.requests = createPermitBucket(clock.now());
    this.controlCalls = createPermitBucket(clock.now(), CONTROL_BURST);
  }

  /** Requests/s that all processes together may send; null without a limit. */
  get limit(): number | null {
    return this.stated?.perSecond ?? null;
  }

  /**
   * Applies the notice of a response.
   *
   * @param sentAt When the request was sent.
   */
  record(notice: UpstreamNotice, sentAt: MonotonicMs): void {
    const before = this.limit;
    const now = this.clock.now();
    const perSecond = notice.requestLimit;
    this.setStated(reconcileLimit(this.stated, {perSecond, sentAt, now}));
    if (this.limit !== null || before !== null) {
      this.listener?.onLimit(this.limit, before);
    }
    if (notice.isLeaving) this.markLeaving();
  }

  /** Applies a limit that another process was told; null ends it. */
  applyLimit(perSecond: number | null): void {
    const learnedAt = this.clock.now();
    this.setStated(perSecond === null ? null : {perSecond, learnedAt});
  }

  markLeaving(): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.listener?.onLeaving();
  }

  /** Requests/s that this process may send while a limit is in force. */
  get sharePerSecond(): number {
    return this.share.perSecond;
  }

  /** Sets the requests/s that this process may send; see `settleShare`. */
  updateShare(perSecond: number): void {
    this.setShare(settleShare(this.share, perSecond, this.clock.now()));
  }

  /** Sets the requests/s that this process may send from now on. */
  startShare(perSecond: number): void {
    this.setShare({perSecond, higher: null});
  }

  /** Whether this process may send a request now. */
  mayStart(): boolean {
    if (this.stated === null) return true;
    return getPermits(this.requests, this.clock.now()) >= 1;
  }

  recordStart(): void {
    if (this.stated === null) return;
    this.requests = takePermit(this.requests, this.clock.now());
  }

  /** Whether the lease holder may send some report or order calls now. */
  mayCall(count = 1): boolean {
    if (this.stated === null) return true;
    return getPermits(this.controlCalls, this.clock.now()) >= count;
  }

  recordCall(): void {
    if (this.stated === null) return;
    this.controlCalls = takePermit(this.controlCalls, this.clock.now());
  }

  /** Permits for requests; null without a limit. */
  getPermitBucket(): PermitBucket | null {
    return this.stated === null ? null : this.requests;
  }

  private setStated(stated: StatedLimit | null): void {
    const now = this.clock.now();
    const isNew = this.stated === null && stated !== null;
    const isChanged = this.limit !== (stated?.perSecond ?? null);
    this.stated = stated;
    if (isNew) {
      this.requests = createPermitBucket(now);
      this.controlCalls = createPermitBucket(now, CONTROL_BURST, CONTROL_BURST);
      this.share = {perSecond: 0, higher: null};
    }
    if (stated === null || !isChanged) return;
    const controlRate = getControlRate(stated.perSecond);
    this.controlCalls = setPermitRate(this.controlCalls, controlRate, now);
  }

  private setShare(share: SettledShare): void {
    this.share = share;
    const now = this.clock.now();
    this.requests = setPermitRate(this.requests, share.perSecond, now);
  }
}
