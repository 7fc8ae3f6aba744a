import type {Clock, Logger, Metrics, MonotonicMs} from '@vanillacross/common';
import {getDeadline, getHash32} from '@vanillacross/common';
import type {
  AgentView,
  OrderOutcome,
  RolloutState,
  WeightSources,
} from '@vanillacross/domain';
import {
  getLowestServingVersion,
  isActivationDue,
  isRolloutComplete,
  isNewerRollout,
} from '@vanillacross/domain';

import type {AgentOrders} from './agentOrders.js';
import type {EngineStatus} from './healthChecker.js';

/** Minimum and maximum backoff after a failed step, ms. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 15_000;
/** Delay before the next peer is tried, ms. */
const PEER_RETRY_DELAY_MS = 100;
/**
 * Time without any source after which an agent fetches from the store, ms. A
 * jitter of up to the same length, derived from the upstream id and the version,
 * is added, so that agents do not all fetch at the same time.
 */
const STORE_FALLBACK_MS = 8_000;
/**
 * Steps run only if an entry answered within this time, ms. An agent that was
 * disconnected for longer, for example while paused, first waits for an answer.
 * Longer than the 10 s for which entries hold a poll.
 */
const MAX_CONTACT_AGE_MS = 15_000;
/** Maximum interval between two checks for a due step, ms. */
const CHECK_INTERVAL_MS = 250;

interface RolloutAction {
  type: 'stage' | 'activate';
  model: string;
  version: number;
  source?: string;
}

/** Dependencies of the rollout task of an agent. */
export interface AgentRolloutOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  upstream: string;
  orders: Pick<AgentOrders, 'executeDeclared'>;
  /** Returns the newest control view, or null before the first. */
  getView: () => AgentView | null;
  /** Returns the newest status of the engine, or null while it is down. */
  getStatus: () => EngineStatus | null;
  /** Time of the last answer from an entry; null before the first. */
  getLastContact: () => MonotonicMs | null;
  /** Returns the base URL from which the engine fetches weights of a peer. */
  getSourceUrl: (address: string, model: string, version: number) => string;
  /** Reads a new status from the engine. */
  checkStatus: () => Promise<void>;
  /** Called after a step, so that the entries learn of it immediately. */
  onProgress: () => void;
}

/** Stages and activates the declared weight version on one engine. */
export class AgentRollout {
  private rollout: RolloutState | null = null;
  /**
   * Epoch of the engine process that `stagedVersion` and the progress of the
   * rollout refer to.
   */
  private epoch = '';
  private stagedVersion = 0;
  /**
   * Highest version that was ever live on the engine, including before a
   * restart.
   */
  private highestLiveVersion = 0;
  /** Staged version that the engine failed to activate. */
  private unusableVersion = 0;
  /** Number of consecutive failed steps. */
  private failureCount = 0;
  /** Type of the last failed step. */
  private lastFailedType: 'stage' | 'activate' = 'stage';
  /**
   * Time at which the activation missed its wave or failed; null if neither
   * happened.
   */
  private deferredSince: number | null = null;
  private attemptCount = 0;
  private retryAt = 0;
  /**
   * Time at which the version of the rollout was first found missing on the
   * engine; null if it is not missing.
   */
  private missingSince: number | null = null;
  private isStaging = false;
  private sources: WeightSources | null = null;
  private wake = new AbortController();

  constructor(private readonly options: AgentRolloutOptions) {}

  /** Newest usable version on the engine; undefined if none is known. */
  getStagedVersion(): number | undefined {
    const isUsable =
      this.stagedVersion > 0 && this.stagedVersion !== this.unusableVersion;
    return isUsable ? this.stagedVersion : undefined;
  }

  /** Version whose last step failed or missed its wave; undefined if none. */
  getFailedVersion(): number | undefined {
    const hasFailedOrMissedWave =
      this.failureCount > 0 || this.deferredSince !== null;
    return hasFailedOrMissedWave ? this.rollout?.version : undefined;
  }

  /** Version for which this agent needs a source; undefined if none. */
  getWantedVersion(): number | undefined {
    const isWaiting = this.missingSince !== null && !this.isStaging;
    return isWaiting && !this.hasSource() ? this.rollout?.version : undefined;
  }

  /** Returns false while the engine's weights are too old to serve requests. */
  mayServe(): boolean {
    const status = this.options.getStatus();
    if (!this.rollout || !status) return true;
    const required = getLowestServingVersion({
      ...this.rollout,
      completed: Math.max(this.rollout.completed, this.highestLiveVersion),
    });
    return status.weightVersion >= required;
  }

  /** Applies the rollout of a new view; older rollouts are ignored. */
  applyView(view: AgentView): void {
    const {rollout} = view;
    if (!rollout || view.pool?.model !== rollout.model) return;
    const known = this.rollout?.model === rollout.model ? this.rollout : null;
    if (known && !isNewerRollout(rollout, known)) return;
    if (known?.version !== rollout.version) this.resetProgress();
    this.rollout = rollout;
    this.updateMissingSince();
    this.wake.abort();
  }

  /** Records where the wanted version can be fetched from. */
  setSources(sources: WeightSources): void {
    if (sources.version !== this.rollout?.version) return;
    const mayUseStore = sources.mayUseStore || !!this.sources?.mayUseStore;
    const {addresses} =
      sources.addresses.length > 0 || !this.sources ? sources : this.sources;
    this.sources = {...sources, addresses, mayUseStore};
    this.wake.abort();
  }

  /** Performs rollout steps until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      this.wake = new AbortController();
      const {wake} = this;
      if (await this.runNextStep()) continue;
      const wakeSignal = AbortSignal.any([signal, wake.signal]);
      await clock.waitUntil(
        getDeadline(clock.now(), CHECK_INTERVAL_MS),
        wakeSignal,
      );
    }
  }

  private resetProgress(): void {
    this.failureCount = 0;
    this.retryAt = 0;
    this.sources = null;
    this.missingSince = null;
    this.deferredSince = null;
    this.unusableVersion = 0;
  }

  /**
   * Applies an engine status. After a restart of the engine, forgets its staged
   * version and the progress of the rollout.
   */
  private applyStatus(status: EngineStatus): void {
    this.highestLiveVersion = Math.max(
      this.highestLiveVersion,
      status.weightVersion,
    );
    if (status.epoch !== this.epoch) {
      this.epoch = status.epoch;
      this.resetProgress();
      this.stagedVersion = 0;
    }
    // The status may predate the last staging, so it must not remove versions.
    const versions = [...(status.staged ?? []), status.weightVersion];
    this.stagedVersion = Math.max(this.stagedVersion, ...versions);
  }

  private isStaged(status: EngineStatus, version: number): boolean {
    if (version === this.unusableVersion) return false;
    return status.staged?.includes(version) || this.stagedVersion === version;
  }

  /**
   * Returns the rollout if this engine needs a step and may take one now, else
   * null.
   */
  private getDueRollout(status: EngineStatus): RolloutState | null {
    const {rollout} = this;
    const {clock, getLastContact, getView} = this.options;
    if (!rollout || rollout.model !== getView()?.pool?.model) return null;
    if (status.model && status.model !== rollout.model) return null;
    if (status.weightVersion >= rollout.version) return null;
    const lastContact = getLastContact();
    const hasRecentContact =
      lastContact !== null && clock.now() - lastContact <= MAX_CONTACT_AGE_MS;
    return hasRecentContact ? rollout : null;
  }

  private hasSource(): boolean {
    const {sources} = this;
    return !!sources && (sources.mayUseStore || sources.addresses.length > 0);
  }

  private updateMissingSince(): void {
    const status = this.options.getStatus();
    const {rollout} = this;
    const isMissing =
      !!status &&
      !!rollout &&
      status.weightVersion < rollout.version &&
      !this.isStaged(status, rollout.version);
    if (!isMissing) this.missingSince = null;
    else this.missingSince ??= this.options.clock.now();
  }

  /**
   * Performs the next step if one is due; returns whether another may follow.
   */
  private async runNextStep(): Promise<boolean> {
    const status = this.options.getStatus();
    if (!status) return false;
    this.applyStatus(status);
    this.updateMissingSince();
    const rollout = this.getDueRollout(status);
    if (!rollout || this.options.clock.now() < this.retryAt) return false;
    if (!this.isStaged(status, rollout.version)) return this.stage(rollout);
    if (!isActivationDue(rollout, this.options.upstream)) return false;
    if (this.isDeferred(rollout)) return false;
    return this.activate(rollout);
  }

  /**
   * Returns whether the activation must wait for the end of the waves, because it
   * failed in its wave or the version was staged too late for it. Otherwise this
   * engine would be out of service together with those of a later wave. The wait
   * is bounded in case the end of the waves is never declared. An engine that may
   * not serve can activate immediately, as no capacity is lost.
   */
  private isDeferred(rollout: RolloutState): boolean {
    if (this.deferredSince === null || isRolloutComplete(rollout)) return false;
    if (!this.mayServe()) return false;
    const {clock} = this.options;
    return clock.now() - this.deferredSince < MAX_RETRY_MS;
  }

  /**
   * Chooses a peer, or else the store if this agent may use it. A result without
   * `source` stands for the store; null if neither is available yet.
   */
  private chooseSource(rollout: RolloutState): {source?: string} | null {
    const {clock, upstream, getSourceUrl} = this.options;
    const {model, version} = rollout;
    const {sources} = this;
    const address = sources?.addresses[0];
    if (sources && address !== undefined) {
      const addresses = sources.addresses.slice(1);
      this.sources = {...sources, addresses};
      return {source: getSourceUrl(address, model, version)};
    }
    if (sources?.mayUseStore) return {};
    const jitterMs = getHash32(`${upstream}/${version}`) % STORE_FALLBACK_MS;
    const fallbackAt = (this.missingSince ?? Infinity) + STORE_FALLBACK_MS;
    if (clock.now() < fallbackAt + jitterMs) return null;
    this.options.metrics.count('vc_agent_store_fallbacks_total');
    return {};
  }

  private async stage(rollout: RolloutState): Promise<boolean> {
    const chosen = this.chooseSource(rollout);
    if (!chosen) return false;
    const {model, version} = rollout;
    this.isStaging = true;
    const outcome = await this.runAction({
      type: 'stage',
      model,
      version,
      ...chosen,
    });
    this.isStaging = false;
    if (outcome.tag === 'done') {
      this.stagedVersion = Math.max(this.stagedVersion, version);
      if (this.unusableVersion === version) this.unusableVersion = 0;
      const current = this.rollout ?? rollout;
      if (isActivationDue(current, this.options.upstream)) {
        this.deferredSince ??= this.options.clock.now();
      }
      this.options.onProgress();
    }
    return true;
  }

  private async activate(rollout: RolloutState): Promise<boolean> {
    const {model, version} = rollout;
    const outcome = await this.runAction({type: 'activate', model, version});
    if (outcome.tag === 'done') {
      this.deferredSince = null;
      this.highestLiveVersion = Math.max(this.highestLiveVersion, version);
      this.options.onProgress();
    } else if (outcome.tag === 'failed') {
      this.unusableVersion = version;
      this.deferredSince = this.options.clock.now();
    }
    // The next step depends on the status after the activation.
    await this.options.checkStatus();
    return outcome.tag !== 'done';
  }

  private async runAction(action: RolloutAction): Promise<OrderOutcome> {
    const {logger, metrics, orders, onProgress} = this.options;
    const {model, version} = action;
    const id = [model, version, action.type, this.epoch, ++this.attemptCount];
    const outcome = await orders.executeDeclared(
      `rollout.${id.join('.')}`,
      action,
    );
    metrics.count('vc_agent_rollout_steps_total', {
      type: action.type,
      outcome: outcome.tag,
    });
    if (outcome.tag === 'done') {
      // A version that failed to activate can be staged again successfully and
      // still fail to activate, so only a success of the step type that failed
      // last resets the backoff.
      if (action.type === this.lastFailedType) this.failureCount = 0;
      return outcome;
    }
    // A refused order or a failure to stage from a peer does not indicate a
    // problem of this engine, so it is retried without backoff.
    if (outcome.tag === 'refused' || action.source !== undefined) {
      this.scheduleRetry(PEER_RETRY_DELAY_MS);
      return outcome;
    }
    this.scheduleRetry(
      Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this.failureCount),
    );
    this.failureCount += 1;
    this.lastFailedType = action.type;
    const {detail} = outcome;
    logger.warn('rollout step failed', {type: action.type, version, detail});
    onProgress();
    return outcome;
  }

  private scheduleRetry(waitMs: number): void {
    const {clock} = this.options;
    this.retryAt = getDeadline(clock.now(), waitMs);
  }
}
