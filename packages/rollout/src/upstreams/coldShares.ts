import type {DeploymentLimits, Pool} from '../model/index.js';

/** Additional partition owners that may run samples during a handover. */
const HANDOVER_OWNERS = 3;
/** Minimum number of processes that are assumed to serve callers. */
const MIN_CALLER_PROCESSES = 16;
/** Allows for processes that began to serve since they were last counted. */
const CALLER_PROCESS_FACTOR = 2;
/**
 * Fraction of a cold engine's rate limit that is assigned to samples; callers
 * get the rest.
 */
const SAMPLE_SHARE = 0.75;

export interface ColdSharesOptions {
  limits: DeploymentLimits;
  /** Returns an upper bound of the partition owners that run samples. */
  getOpenRunnerCount: () => number;
  /** Returns the number of processes that are known to serve callers. */
  getProcessCount: () => number;
}

/**
 * This process's shares of the rate limit of each cold upstream. No process
 * knows what the others send, so each takes an equal share.
 */
export class ColdShares {
  constructor(private readonly options: ColdSharesOptions) {}

  /** Returns the requests/s that this process may send for samples. */
  getSampleShare(pool: Pool): number {
    const owners = this.options.getOpenRunnerCount() + HANDOVER_OWNERS;
    return (this.getTotal(pool) * SAMPLE_SHARE) / owners;
  }

  /** Returns the requests/s that this process may send for callers. */
  getCallerShare(pool: Pool): number {
    const known = this.options.getProcessCount() * CALLER_PROCESS_FACTOR;
    const processes = Math.max(MIN_CALLER_PROCESSES, known);
    const share = pool.models.length > 0 ? 1 - SAMPLE_SHARE : 1;
    return (this.getTotal(pool) * share) / processes;
  }

  private getTotal(pool: Pool): number {
    const {coldOverage, coldSlack} = this.options.limits;
    return pool.coldPerSecond * coldOverage + coldSlack;
  }
}
