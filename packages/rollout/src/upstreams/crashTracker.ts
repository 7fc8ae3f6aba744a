import type {
  Clock,
  Logger,
  MonotonicMs,
  UpstreamId,
} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {CrashCounts} from '@vanillacross/domain';
import {countCrashes} from '@vanillacross/domain';

/**
 * Distinct upstreams whose connections a request must have broken. Single
 * lost answers are frequent, so it takes more than one or two.
 */
const ENOUGH_UPSTREAMS = 3;
/** Time for which such a request is refused, ms. */
const QUARANTINE_MS = 60_000;
/** Requests that are refused at the same time. */
const MAX_QUARANTINED = 1_024;

/**
 * Requests that were under way when connections to upstreams broke, as all
 * processes told. One that broke several upstreams gets to no more of them.
 */
export class CrashTracker {
  private counts: CrashCounts = new Map();
  private readonly refusedUntil = new Map<string, MonotonicMs>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Tells the other processes. */
    private readonly publish: (
      fingerprint: string,
      upstream: UpstreamId,
    ) => void,
  ) {}

  /** Records a connection that broke here while the request was under way. */
  reportCrash(fingerprint: string, upstream: UpstreamId): void {
    this.applyCrash(fingerprint, upstream);
    this.publish(fingerprint, upstream);
  }

  /** Counts a crash that any process has told; a repeat changes nothing. */
  applyCrash(fingerprint: string, upstream: string): void {
    const report = {upstream, epoch: '', fingerprints: [fingerprint]};
    const counted = countCrashes(this.counts, [report], ENOUGH_UPSTREAMS);
    this.counts = counted.counts;
    if (counted.reached.length > 0) this.refuse(fingerprint);
  }

  /** Whether any request is refused at all. */
  get isEmpty(): boolean {
    return this.refusedUntil.size === 0;
  }

  /** Whether a request gets to no upstream now. */
  isQuarantined(fingerprint: string): boolean {
    const until = this.refusedUntil.get(fingerprint);
    if (until === undefined) return false;
    if (this.clock.now() < until) return true;
    this.refusedUntil.delete(fingerprint);
    const counts = new Map(this.counts);
    counts.delete(fingerprint);
    this.counts = counts;
    return false;
  }

  private refuse(fingerprint: string): void {
    const until = getDeadline(this.clock.now(), QUARANTINE_MS);
    this.refusedUntil.set(fingerprint, until);
    for (const oldest of this.refusedUntil.keys()) {
      if (this.refusedUntil.size <= MAX_QUARANTINED) break;
      this.refusedUntil.delete(oldest);
    }
    this.logger.warn('request is quarantined', {
      fingerprint,
      upstreams: this.counts.get(fingerprint),
    });
  }
}
