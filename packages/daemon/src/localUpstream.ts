import type {Clock, Metrics} from '@vanillacross/common';
import type {LiveVersions, Load, Pool, Ramp} from '@vanillacross/domain';
import {
  advanceRamp,
  createRamp,
  getLiveVersion,
  getRampLimit,
  noLiveVersions,
  recordResponse,
  updateEngine,
  recordFirstToken,
  recordRunning,
  withConfirmedVersion,
  withPendingVersion,
} from '@vanillacross/domain';

import type {EngineStatus} from './healthChecker.js';

/**
 * State of the agent's upstream: running requests, concurrency limit and live
 * weight versions.
 */
export class LocalUpstream {
  /** Slow start of the concurrency limit; null until the pool is known. */
  private ramp: Ramp | null = null;
  private liveVersions: LiveVersions = noLiveVersions;
  private status: EngineStatus | null = null;
  private running = 0;
  private activationSequence = 0;

  constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly getPool: () => Pool | null,
  ) {}

  /** Returns the weight versions that the engine has confirmed. */
  getLiveVersions(): LiveVersions {
    return this.liveVersions;
  }

  getRunningCount(): number {
    return this.running;
  }

  /**
   * Returns false until the pool is known and, for an engine, its first status
   * was read.
   */
  isReady(): boolean {
    const pool = this.getPool();
    return pool !== null && (pool.kind === 'plain' || this.status !== null);
  }

  getLoad(): Load {
    const pool = this.getPool();
    const limit = pool ? this.getLimit(pool) : 0;
    return {
      running: this.running,
      limit,
      waiting: this.status?.waiting ?? 0,
      epoch: this.status?.epoch ?? '',
      version: getLiveVersion(this.liveVersions),
      cold: this.status ? this.status.state === 'cold' : false,
    };
  }

  hasFreeSlot(): boolean {
    const pool = this.getPool();
    return pool !== null && this.running < this.getLimit(pool);
  }

  /** Takes a slot if the concurrency limit allows another request. */
  tryAcquireSlot(): boolean {
    if (!this.hasFreeSlot() || !this.ramp) return false;
    this.running += 1;
    this.ramp = recordRunning(this.ramp, this.running);
    return true;
  }

  releaseSlot(): void {
    this.running -= 1;
  }

  recordFirstToken(elapsedMs: number): void {
    if (this.ramp) this.ramp = recordFirstToken(this.ramp, elapsedMs);
  }

  recordResponse(): void {
    if (this.ramp) this.ramp = recordResponse(this.ramp);
  }

  /**
   * Returns a number that is incremented whenever an activation begins or ends.
   * A status that was requested before the last increment may be stale.
   */
  getActivationSequence(): number {
    return this.activationSequence;
  }

  /**
   * Applies a status that was requested when `getActivationSequence` returned
   * `activationSequence`.
   */
  applyStatus(status: EngineStatus, activationSequence: number): void {
    const isNewProcess = this.status?.epoch !== status.epoch;
    this.status = status;
    const pool = this.getPool();
    const isCold = status.state === 'cold';
    const now = this.clock.now();
    if (pool && this.ramp) {
      this.ramp = updateEngine(this.ramp, pool, status.epoch, isCold, now);
      this.countRampRestart();
    }
    if (isNewProcess) this.liveVersions = {...this.liveVersions, pending: null};
    if (isNewProcess || activationSequence === this.activationSequence) {
      this.liveVersions = withConfirmedVersion(
        this.liveVersions,
        status.weightVersion,
        now,
      );
    }
  }

  /** Must be called before an activation is sent to the engine. */
  beginActivation(version: number): void {
    this.activationSequence += 1;
    this.liveVersions = withPendingVersion(this.liveVersions, version);
  }

  /** Records that the engine confirmed the version. */
  confirmActivation(version: number): void {
    this.activationSequence += 1;
    this.liveVersions = withConfirmedVersion(
      this.liveVersions,
      version,
      this.clock.now(),
    );
  }

  /**
   * Records that the activation failed, or that only the status will show its
   * outcome.
   */
  abandonActivation(): void {
    this.activationSequence += 1;
    this.liveVersions = withPendingVersion(this.liveVersions, null);
  }

  private getLimit(pool: Pool): number {
    const now = this.clock.now();
    this.ramp ??= createRamp(
      pool,
      this.status?.epoch ?? '',
      this.status?.state === 'cold',
      now,
    );
    this.ramp = advanceRamp(this.ramp, pool, now);
    this.countRampRestart();
    return getRampLimit(this.ramp, pool);
  }

  private countRampRestart(): void {
    if (!this.ramp?.restart) return;
    const reason = this.ramp.restart;
    this.metrics.count('vc_agent_ramp_restarts_total', {reason});
    this.ramp = {...this.ramp, restart: null};
  }
}
