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

/** First and longest wait before a failed step is tried again, ms. */
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 15_000;
/** Wait before another peer is tried, ms. */
const PEER_RETRY_MS = 100;
/**
 * Time after which an agent without any source fetches from the store; the
 * same again is added by hash, so that the agents do not come all at once.
 */
const STORE_FALLBACK_MS = 8_000;
/**
 * An agent that heard no entry for this long, for example because it was
 * paused, polls before its next step. A poll is held for up to 10 s.
 */
const MAX_SILENCE_MS = 15_000;
/** Longest time between two looks at the state, ms. */
const TICK_MS = 250;

interface RolloutAction {
  type: 'stage' | 'activate';
  model: string;
  version: number;
  source?: string;
}

/** What the rollout task of an agent needs. */
export interface AgentRolloutOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  upstream: string;
  orders: Pick<AgentOrders, 'executeDeclared'>;
  /** Newest control view; null before the first. */
  getView: () => AgentView | null;
  /** Newest status of the engine while it is up; null otherwise. */
  getStatus: () => EngineStatus | null;
  /** Time of the last answer of an entry; null before the first. */
  getLastContact: () => MonotonicMs | null;
  /** Base URL from which the engine fetches from another agent. */
  getSourceUrl: (address: string, model: string, version: number) => string;
  /** Reads the engine's status anew. */
  checkStatus: () => Promise<void>;
  /** Called after a step, so that entries hear of it at once. */
  onProgress: () => void;
}

/** Brings the declared weight version to one engine. */
export class AgentRollout {
  private rollout: RolloutState | null = null;
  /** Engine epoch that the fields below belong to. */
  private epoch = '';
  private staged = 0;
  /** Highest version that was live on the engine, also before a restart. */
  private highestLive = 0;
  /** Staged version that the engine failed to activate. */
  private damaged = 0;
  /** Failed steps in a row, and the type of the last of them. */
  private failures = 0;
  private failedType: 'stage' | 'activate' = 'stage';
  /** Time at which the swap missed its wave or failed; null if neither. */
  private heldSince: number | null = null;
  private attempt = 0;
  private retryAt = 0;
  /** Time since which the version is not staged; null if it is. */
  private missingSince: number | null = null;
  private isStaging = false;
  private sources: WeightSources | null = null;
  private wake = new AbortController();

  constructor(private readonly options: AgentRolloutOptions) {}

  /** Newest version that the engine holds; undefined if none is known. */
  getStagedVersion(): number | undefined {
    const isUsable = this.staged > 0 && this.staged !== this.damaged;
    return isUsable ? this.staged : undefined;
  }

  /** Version whose last step failed or missed its wave, if any. */
  getFailedVersion(): number | undefined {
    const isLate = this.failures > 0 || this.heldSince !== null;
    return isLate ? this.rollout?.version : undefined;
  }

  /** Version that this agent waits to be told a source of. */
  getWantedVersion(): number | undefined {
    const isWaiting = this.missingSince !== null && !this.isStaging;
    return isWaiting && !this.hasSource() ? this.rollout?.version : undefined;
  }

  /** False while the engine's weights are too old for any work. */
  mayServe(): boolean {
    const status = this.options.getStatus();
    if (!this.rollout || !status) return true;
    const required = getLowestServingVersion({
      ...this.rollout,
      completed: Math.max(this.rollout.completed, this.highestLive),
    });
    return status.weightVersion >= required;
  }

  /** Takes over the rollout of a new view; it never goes back. */
  applyView(view: AgentView): void {
    const {rollout} = view;
    if (!rollout || view.pool?.model !== rollout.model) return;
    const known = this.rollout?.model === rollout.model ? this.rollout : null;
    if (known && !isNewerRollout(rollout, known)) return;
    if (known?.version !== rollout.version) this.begin();
    this.rollout = rollout;
    this.reconcileMissing();
    this.wake.abort();
  }

  /** Takes over where the wanted version may be fetched from. */
  setSources(sources: WeightSources): void {
    if (sources.version !== this.rollout?.version) return;
    const mayUseStore = sources.mayUseStore || !!this.sources?.mayUseStore;
    const {addresses} =
      sources.addresses.length > 0 || !this.sources ? sources : this.sources;
    this.sources = {...sources, addresses, mayUseStore};
    this.wake.abort();
  }

  /** Works on the rollout until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      this.wake = new AbortController();
      const {wake} = this;
      if (await this.step()) continue;
      const either = AbortSignal.any([signal, wake.signal]);
      await clock.waitUntil(getDeadline(clock.now(), TICK_MS), either);
    }
  }

  private begin(): void {
    this.failures = 0;
    this.retryAt = 0;
    this.sources = null;
    this.missingSince = null;
    this.heldSince = null;
    this.damaged = 0;
  }

  /** Forgets what an engine lost when it was restarted. */
  private noteStatus(status: EngineStatus): void {
    this.highestLive = Math.max(this.highestLive, status.weightVersion);
    if (status.epoch !== this.epoch) {
      this.epoch = status.epoch;
      this.begin();
      this.staged = 0;
    }
    // A status may be older than the last stage, so it only adds versions.
    const held = [...(status.staged ?? []), status.weightVersion];
    this.staged = Math.max(this.staged, ...held);
  }

  private isStaged(status: EngineStatus, version: number): boolean {
    if (version === this.damaged) return false;
    return status.staged?.includes(version) || this.staged === version;
  }

  /** The rollout if this engine has to act on it and may; null otherwise. */
  private getTask(status: EngineStatus): RolloutState | null {
    const {rollout} = this;
    const {clock, getLastContact: getContact, getView} = this.options;
    if (!rollout || rollout.model !== getView()?.pool?.model) return null;
    if (status.model && status.model !== rollout.model) return null;
    if (status.weightVersion >= rollout.version) return null;
    const contact = getContact();
    const isInformed =
      contact !== null && clock.now() - contact <= MAX_SILENCE_MS;
    return isInformed ? rollout : null;
  }

  private hasSource(): boolean {
    const {sources} = this;
    return !!sources && (sources.mayUseStore || sources.addresses.length > 0);
  }

  private reconcileMissing(): void {
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

  /** Performs the next step, if any; true if there may be another one. */
  private async step(): Promise<boolean> {
    const status = this.options.getStatus();
    if (!status) return false;
    this.noteStatus(status);
    this.reconcileMissing();
    const rollout = this.getTask(status);
    if (!rollout || this.options.clock.now() < this.retryAt) return false;
    if (!this.isStaged(status, rollout.version)) return this.stage(rollout);
    if (!isActivationDue(rollout, this.options.upstream)) return false;
    if (this.isHeldBack(rollout)) return false;
    return this.activate(rollout);
  }

  /**
   * A swap that failed in its wave, or that was staged too late for it, is done
   * when the waves are over, because it would add to the replicas of a later
   * wave that do not serve. The wait is bounded in case nobody declares the
   * end. An engine that may not serve loses nothing by swapping at once.
   */
  private isHeldBack(rollout: RolloutState): boolean {
    if (this.heldSince === null || isRolloutComplete(rollout)) return false;
    if (!this.mayServe()) return false;
    const {clock} = this.options;
    return clock.now() - this.heldSince < MAX_RETRY_MS;
  }

  /** Peers first, then the store if this agent may use it by now. */
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
    const spread = getHash32(`${upstream}/${version}`) % STORE_FALLBACK_MS;
    const fallbackAt = (this.missingSince ?? Infinity) + STORE_FALLBACK_MS;
    if (clock.now() < fallbackAt + spread) return null;
    this.options.metrics.count('vc_agent_store_fallbacks_total');
    return {};
  }

  private async stage(rollout: RolloutState): Promise<boolean> {
    const chosen = this.chooseSource(rollout);
    if (!chosen) return false;
    const {model, version} = rollout;
    this.isStaging = true;
    const outcome = await this.perform({
      type: 'stage',
      model,
      version,
      ...chosen,
    });
    this.isStaging = false;
    if (outcome.tag === 'done') {
      this.staged = Math.max(this.staged, version);
      if (this.damaged === version) this.damaged = 0;
      const current = this.rollout ?? rollout;
      if (isActivationDue(current, this.options.upstream)) {
        this.heldSince ??= this.options.clock.now();
      }
      this.options.onProgress();
    }
    return true;
  }

  private async activate(rollout: RolloutState): Promise<boolean> {
    const {model, version} = rollout;
    const outcome = await this.perform({type: 'activate', model, version});
    if (outcome.tag === 'done') {
      this.heldSince = null;
      this.highestLive = Math.max(this.highestLive, version);
      this.options.onProgress();
    } else if (outcome.tag === 'failed') {
      this.damaged = version;
      this.heldSince = this.options.clock.now();
    }
    // The next step needs the status after the swap.
    await this.options.checkStatus();
    return outcome.tag !== 'done';
  }

  private async perform(action: RolloutAction): Promise<OrderOutcome> {
    const {logger, metrics, orders, onProgress} = this.options;
    const {model, version} = action;
    const id = [model, version, action.type, this.epoch, ++this.attempt];
    const outcome = await orders.executeDeclared(
      `rollout.${id.join('.')}`,
      action,
    );
    metrics.count('vc_agent_rollout_steps_total', {
      type: action.type,
      outcome: outcome.tag,
    });
    if (outcome.tag === 'done') {
      // A damaged copy can be staged again and still not be activated.
      if (action.type === this.failedType) this.failures = 0;
      return outcome;
    }
    // A busy or lost peer says nothing about this engine.
    if (outcome.tag === 'refused' || action.source !== undefined) {
      this.retryLater(PEER_RETRY_MS);
      return outcome;
    }
    this.retryLater(Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** this.failures));
    this.failures += 1;
    this.failedType = action.type;
    const {detail} = outcome;
    logger.warn('A rollout step failed.', {type: action.type, version, detail});
    onProgress();
    return outcome;
  }

  private retryLater(waitMs: number): void {
    const {clock} = this.options;
    this.retryAt = getDeadline(clock.now(), waitMs);
  }
}
