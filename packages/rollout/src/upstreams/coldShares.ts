import type {DeploymentLimits, Pool} from '../model/index.js';

/** Additional owners of samples that may exist during a handover. */
const HANDOVER_SENDERS = 2;
/** Minimum number of processes that are assumed to serve callers. */
const MIN_CALLER_SENDERS = 16;
/** Allows for processes that began to serve since they were last counted. */
const CALLER_SENDERS_FACTOR = 2;
/** Fraction of a cold engine's rate limit for samples; callers get the rest. */
const SAMPLE_SHARE = 0.75;

export interface ColdSharesOptions {
  bounds: DeploymentLimits;
  /** Returns the number of partition owners that run samples of open steps. */
  getSampleSenders: () => number;
  /** Returns the number of processes that are known to serve callers. */
  getProcessCount: () => number;
}

/**
 * This process's shares of the rate limits of cold upstreams. No process knows
 * what the others send, so each takes an equal share.
 */
export class ColdShares {
  constructor(private readonly options: ColdSharesOptions) {}

  /** Returns the requests/s that samples of this process may send. */
  getSampleShare(pool: Pool): number {
    const senders = this.options.getSampleSenders() + HANDOVER_SENDERS;
    return (this.getTotal(pool) * SAMPLE_SHARE) / senders;
  }

  /** Returns the requests/s that callers of this process may send. */
  getCallerShare(pool: Pool): number {
    const known = this.options.getProcessCount() * CALLER_SENDERS_FACTOR;
    const senders = Math.max(MIN_CALLER_SENDERS, known);
    const share = pool.models.length > 0 ? 1 - SAMPLE_SHARE : 1;
    return (this.getTotal(pool) * share) / senders;
  }

  private getTotal(pool: Pool): number {
    const {coldOverage, coldSlack} = this.options.bounds;
    return pool.coldPerSecond * coldOverage + coldSlack;
  }
}
