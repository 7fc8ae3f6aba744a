import type {DeploymentLimits, Pool} from '../model/index.js';

/** Owners of samples that a handover may add for a moment. */
const HANDOVER_SENDERS = 2;
/** Processes that are assumed to send callers' requests at least. */
const MIN_CALLER_SENDERS = 16;
/** Processes may have begun to serve since they were last counted. */
const CALLER_SENDERS_FACTOR = 2;
/** Part of a cold engine's requests that samples get; the rest is callers'. */
const SAMPLE_SHARE = 0.75;

export interface ColdSharesOptions {
  bounds: DeploymentLimits;
  /** Owners of partitions that run samples of open steps. */
  getSampleSenders: () => number;
  /** Processes that are known to serve callers. */
  getProcessCount: () => number;
}

/**
 * Shares of this process in the requests that a cold upstream bears. No
 * process sees what the others send, so each takes an equal part.
 */
export class ColdShares {
  constructor(private readonly options: ColdSharesOptions) {}

  /** Requests per second that samples of this process may send. */
  getSampleShare(pool: Pool): number {
    const senders = this.options.getSampleSenders() + HANDOVER_SENDERS;
    return (this.getTotal(pool) * SAMPLE_SHARE) / senders;
  }

  /** Requests per second that callers of this process may send. */
  getCallerShare(pool: Pool): number {
    const known = this.options.getProcessCount() * CALLER_SENDERS_FACTOR;
    const senders = Math.max(MIN_CALLER_SENDERS, known);
    const part = pool.models.length > 0 ? 1 - SAMPLE_SHARE : 1;
    return (this.getTotal(pool) * part) / senders;
  }

  private getTotal(pool: Pool): number {
    const {coldOverage, coldSlack} = this.options.bounds;
    return pool.coldPerSecond * coldOverage + coldSlack;
  }
}
