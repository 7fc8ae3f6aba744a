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
 * Number of distinct upstreams whose connections must have broken during a
 * request before it is quarantined. Single lost responses are frequent, so one
 * or two are not enough.
 */
const QUARANTINE_THRESHOLD = 3;
/** Time for which a request is quarantined, ms. */
const QUARANTINE_MS = 60_000;
/** Maximum number of quarantined requests; the oldest are dropped first. */
const MAX_QUARANTINED = 1_024;

/**
 * Tracks the requests that were in flight when connections to upstreams broke,
 * as published by all processes. A request during which connections to
 * several upstreams broke is quarantined: it is sent to no further upstream.
 */
export class CrashTracker {
  private counts: CrashCounts = new Map();
  private readonly quarantinedUntil = new Map<string, MonotonicMs>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** Publishes a crash to the other processes. */
    private readonly publish: (
      fingerprint: string,
      upstream: UpstreamId,
    ) => void,
  ) {}

  /** Records and publishes that a connection broke during a request. */
  reportCrash(fingerprint: string, upstream: UpstreamId): void {
    this.applyCrash(fingerprint, upstream);
    this.publish(fingerprint, upstream);
  }

  /** Counts a crash that any process has published. Idempotent. */
  applyCrash(fingerprint: string, upstream: string): void {
    const report = {upstream, epoch: '', fingerprints: [fingerprint]};
    const counted = countCrashes(this.counts, [report], QUARANTINE_THRESHOLD);
    this.counts = counted.counts;
    if (counted.reached.length > 0) this.quarantine(fingerprint);
  }

  /** Whether no request is quarantined. */
  get isEmpty(): boolean {
    return this.quarantinedUntil.size === 0;
  }

  /** Whether a request must not be sent to any upstream now. */
  isQuarantined(fingerprint: string): boolean {
    const until = this.quarantinedUntil.get(fingerprint);
    if (until === undefined) return false;
    if (this.clock.now() < until) return true;
    this.quarantinedUntil.delete(fingerprint);
    const counts = new Map(this.counts);
    counts.delete(fingerprint);
    this.counts = counts;
    return false;
  }

  private quarantine(fingerprint: string): void {
    const until = getDeadline(this.clock.now(), QUARANTINE_MS);
    this.quarantinedUntil.set(fingerprint, until);
    for (const oldest of this.quarantinedUntil.keys()) {
      if (this.quarantinedUntil.size <= MAX_QUARANTINED) break;
      this.quarantinedUntil.delete(oldest);
    }
    this.logger.warn('request is quarantined', {
      fingerprint,
      upstreams: this.counts.get(fingerprint),
    });
  }
}
