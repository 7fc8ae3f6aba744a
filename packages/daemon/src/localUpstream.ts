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

/** Concurrency and live weight versions of one upstream. */
export class LocalUpstream {
  private ramp: Ramp | null = null;
  private live: LiveVersions = noLiveVersions;
  private status: EngineStatus | null = null;
  private running = 0;
  private orderCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly getPool: () => Pool | null,
  ) {}

  /** Versions that the engine confirmed. */
  getLiveVersions(): LiveVersions {
    return this.live;
  }

  getRunningCount(): number {
    return this.running;
  }

  /** False until an engine's first status was read. */
  isInitialized(): boolean {
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
      version: getLiveVersion(this.live),
      cold: this.status ? this.status.state === 'cold' : false,
    };
  }

  /** Says whether another request would be admitted now. */
  hasFreeSlot(): boolean {
    const pool = this.getPool();
    return pool !== null && this.running < this.getLimit(pool);
  }

  /** Takes a place if the limit allows one more request. */
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
   * Position of the orders that may change the version; a status that was
   * requested before the newest of them is out of date.
   */
  getOrderCount(): number {
    return this.orderCount;
  }

  /** Takes over a status that was requested at an order position. */
  applyStatus(status: EngineStatus, orderCount: number): void {
    const isNewRun = this.status?.epoch !== status.epoch;
    this.status = status;
    const pool = this.getPool();
    const isCold = status.state === 'cold';
    const now = this.clock.now();
    if (pool && this.ramp) {
      this.ramp = updateEngine(this.ramp, pool, status.epoch, isCold, now);
      this.countRestart();
    }
    if (isNewRun) this.live = {...this.live, pending: null};
    if (isNewRun || orderCount === this.orderCount) {
      this.live = withConfirmedVersion(this.live, status.weightVersion, now);
    }
  }

  /** An activation is about to be sent to the engine. */
  beginActivation(version: number): void {
    this.orderCount += 1;
    this.live = withPendingVersion(this.live, version);
  }

  /** The engine confirmed the version. */
  confirmActivation(version: number): void {
    this.orderCount += 1;
    this.live = withConfirmedVersion(this.live, version, this.clock.now());
  }

  /** The activation failed, or its outcome shows only in the status. */
  abandonActivation(): void {
    this.orderCount += 1;
    this.live = withPendingVersion(this.live, null);
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
    this.countRestart();
    return getRampLimit(this.ramp, pool);
  }

  private countRestart(): void {
    if (!this.ramp?.restart) return;
    const reason = this.ramp.restart;
    this.metrics.count('vc_agent_ramp_restarts_total', {reason});
    this.ramp = {...this.ramp, restart: null};
  }
}
