import type {
  Clock,
  DomainId,
  Logger,
  Metrics,
  SampleId,
} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {ConfigurationState} from '../configuration/index.js';
import type {ForwardContext} from '../forwarding/index.js';
import type {
  Pool,
  Route,
  Sample,
  SampleResult,
  UpstreamDialect,
} from '../model/index.js';
import type {TextStore} from '../log/index.js';
import type {UpstreamDirectory, Upstream} from '../upstreams/index.js';
import {EngineSelector} from './engineSelector.js';
import type {GenerationOutcome} from './generation.js';
import {Generation} from './generation.js';
import {getRunnerPartition} from './runnerPartition.js';
import {getSampleCall} from './sampleCall.js';
import {SampleScoring} from './sampleScoring.js';
import type {UnstoredPart} from './sampleTask.js';
import {SampleTask, compareTasks} from './sampleTask.js';
import type {TrackedStep, StepRegistry, StepChange} from './stepRegistry.js';
import {SampleRecovery} from './sampleRecovery.js';

/** Interval at which waiting samples look for room, ms. */
const PUMP_MS = 25;
/** Time for which an engine that refused a sample gets none, ms. */
const REFUSAL_WAIT_MS = 80;
/** Interval at which running samples are stored and compared, ms. */
const REVIEW_MS = 300;
/** Samples that end sooner than this are not stored on their way, ms. */
const STORE_AFTER_MS = 300;
/** Parts that may wait for the store; more are left for the next review. */
const MAX_WAITING_PARTS = 200;
/** Time for which a run is watched before it may move, ms. */
const MOVE_AFTER_MS = 500;
/** Moves of one sample away from slow engines. */
const MAX_MOVES = 3;
export interface StepRunnerOptions {
  registry: StepRegistry;
  /** Partitions of the step stream. */
  partitionCount: number;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  forwarding: ForwardContext;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  domain: DomainId;
  getColdShare: (pool: Pool) => number;
  /** Unique for each start of a process. */
  processId: string;
  /** Stores the text of an unfinished sample. */
  storeProgress: (partition: number, part: UnstoredPart) => void;
  /** Entries that wait for the store in a partition. */
  getPendingTextCount: (partition: number) => number;
  texts: TextStore;
  /**
   * Stores a result, after its output if there is a new one; resolves when
   * the store has acknowledged it.
   */
  storeResult: (
    open: TrackedStep,
    result: SampleResult,
    output: Buffer | null,
  ) => Promise<void>;
}

/** Runs the samples of the partitions that this process owns. */
export class StepRunner {
  private readonly owned = new Set<number>();
  private readonly tasks = new Map<string, SampleTask>();
  private readonly scoring: SampleScoring;
  private readonly engines: EngineSelector;
  private readonly stored: SampleRecovery;
  private chains = 0;
  private isPumpPlanned = false;
  private isStopped = false;

  constructor(private readonly options: StepRunnerOptions) {
    options.registry.onChange(change => this.handleChange(change));
    options.directory.onChange(() => this.startQueuedSamples());
    options.configuration.onChange(() => this.startQueuedSamples());
    this.engines = new EngineSelector(options);
    this.stored = new SampleRecovery({
      ...options,
      getRoute: open => this.engines.getRoute(open),
    });
    this.scoring = new SampleScoring({
      ...options,
      onScore: (task, score) =>
        this.finish(task, score === null ? 'dead' : 'completed', score),
    });
    this.review();
  }

  /** Number of samples that are not stored yet. */
  get size(): number {
    return this.tasks.size;
  }

  /** Takes over the open steps of these partitions and drops all others. */
  setOwnedPartitions(partitions: readonly number[]): void {
    for (const partition of [...this.owned]) {
      if (!partitions.includes(partition)) this.release(partition);
    }
    const added = partitions.filter(partition => !this.owned.has(partition));
    if (added.length === 0) return;
    for (const partition of added) {
      this.owned.add(partition);
      this.options.logger.info('partition taken over', {partition});
    }
    for (const open of this.options.registry.getAll()) this.addStep(open);
    this.startQueuedSamples();
  }

  /** Ends all runs. */
  stop(): void {
    this.isStopped = true;
    this.setOwnedPartitions([]);
  }

  private release(partition: number): void {
    this.owned.delete(partition);
    this.options.logger.info('partition handed over', {partition});
    for (const [key, task] of this.tasks) {
      if (task.runnerPartition !== partition) continue;
      if (task.stage !== 'storing') this.storeProgress(task);
      task.cancel();
      this.tasks.delete(key);
    }
  }

  private handleChange(change: StepChange): void {
    const {trackedStep: open} = change;
    if (change.tag === 'accepted') this.addStep(open);
    if (change.tag === 'listed') this.drop(open, change.sample);
    if (change.tag === 'ended') this.endStep(open);
    this.startQueuedSamples();
  }

  private getKey(open: TrackedStep, sample: SampleId): string {
    return `${open.partition}/${open.step.id}/${sample}`;
  }

  private getRunner(open: TrackedStep, position: number): number {
    const {partitionCount} = this.options;
    return getRunnerPartition(open.partition, position, partitionCount);
  }

  private addStep(open: TrackedStep): void {
    if (open.isEnded) return;
    open.step.samples.forEach((sample, position) => {
      if (!this.owned.has(this.getRunner(open, position))) return;
      const key = this.getKey(open, sample.id);
      if (open.listedSamples.has(sample.id) || this.tasks.has(key)) return;
      this.startTask(open, sample, position);
    });
  }

  private startTask(open: TrackedStep, sample: Sample, position: number): void {
    const task = new SampleTask(
      open,
      sample,
      position,
      this.getRunner(open, position),
      this.getNextChain(),
      this.options.clock.now(),
    );
    this.tasks.set(this.getKey(open, sample.id), task);
    if (this.stored.reuseResult(task)) return this.score(task);
    void this.stored.resumeFromStore(task).then(isLoaded => {
      if (isLoaded) this.startQueuedSamples();
    });
  }

  private getNextChain(): string {
    return `${this.options.processId}/${++this.chains}`;
  }

  private drop(open: TrackedStep, sample: SampleId): void {
    const key = this.getKey(open, sample);
    this.tasks.get(key)?.cancel();
    this.tasks.delete(key);
  }

  private endStep(open: TrackedStep): void {
    for (const sample of open.step.samples) {
      const task = this.tasks.get(this.getKey(open, sample.id));
      if (!task) continue;
      if (task.stage !== 'storing') this.storeProgress(task);
      this.drop(open, sample.id);
    }
  }

  private storeProgress(task: SampleTask): void {
    const part = task.takeUnstored();
    if (part) this.options.storeProgress(task.trackedStep.partition, part);
  }

  /** Stores the text of all unfinished samples. */
  storeAllProgress(): void {
    for (const task of this.tasks.values()) {
      if (task.stage !== 'storing') this.storeProgress(task);
    }
  }

  private review(): void {
    const {clock, getPendingTextCount: getWaiting} = this.options;
    for (const task of [...this.tasks.values()]) {
      if (task.stage !== 'generating') continue;
      this.moveIfSlow(task);
      if (clock.now() - task.createdAt < STORE_AFTER_MS) continue;
      if (getWaiting(task.trackedStep.partition) > MAX_WAITING_PARTS) continue;
      this.storeProgress(task);
    }
    if (this.isStopped) return;
    clock.callAt(getDeadline(clock.now(), REVIEW_MS), () => this.review());
  }

  /** Goes on at a faster engine; the text so far is kept. */
  private moveIfSlow(task: SampleTask): void {
    const {generation} = task;
    const {clock, logger} = this.options;
    if (!generation || task.migrations >= MAX_MOVES) return;
    if (clock.now() - generation.startedAt < MOVE_AFTER_MS) return;
    const other = this.engines.chooseFaster(task, generation.upstream);
    if (!other) return;
    logger.info('sample moves to a faster engine', {
      step: task.trackedStep.step.id,
      sample: task.id,
      events: task.text.lastEventId,
      from: generation.upstream.id,
      paceMs: Math.round(generation.upstream.getEventIntervalMs() ?? 0),
      to: other.id,
      otherPaceMs: Math.round(other.getEventIntervalMs() ?? 0),
    });
    task.migrations++;
    task.avoidedUpstream = generation.upstream;
    generation.abort();
    task.generation = null;
    task.stage = 'queued';
    const route = this.engines.getRoute(task.trackedStep);
    if (route) this.generate(task, route, other);
  }

  /** Starts waiting samples where there is room. */
  startQueuedSamples(): void {
    if (this.isStopped) return;
    const waiting = [...this.tasks.values()].filter(t => t.stage === 'queued');
    if (waiting.length === 0) return;
    waiting.sort(compareTasks);
    let isLeft = false;
    for (const task of waiting) {
      if (!this.tryStart(task)) isLeft = true;
    }
    if (isLeft) this.planPump();
  }

  private planPump(): void {
    if (this.isPumpPlanned) return;
    this.isPumpPlanned = true;
    const {clock} = this.options;
    clock.callAt(getDeadline(clock.now(), PUMP_MS), () => {
      this.isPumpPlanned = false;
      this.startQueuedSamples();
    });
  }

  private tryStart(task: SampleTask): boolean {
    const {step} = task.trackedStep;
    const route = this.engines.getRoute(task.trackedStep);
    if (route && task.isPastRetention(route, this.options.clock.wallNow())) {
      this.finish(task, 'dead', null);
      return true;
    }
    const {crashes} = this.options.forwarding;
    if (crashes.isQuarantined(task.fingerprint)) return false;
    const upstream = route && this.engines.chooseForStart(task, route);
    if (!route || !upstream) return false;
    this.generate(task, route, upstream);
    this.options.metrics.count('vc_samples_started', {
      model: step.model ?? '',
    });
    return true;
  }

  private generate(task: SampleTask, route: Route, upstream: Upstream): void {
    const {dialect, clock, logger} = this.options;
    const {step} = task.trackedStep;
    task.stage = 'generating';
    logger.info('sample starts', {
      step: step.id,
      sample: task.id,
      upstream: upstream.id,
      after: task.text.lastEventId,
      minVersion: step.minVersion,
      version: step.model === null ? null : upstream.getVersion(step.model),
    });
    task.generation = new Generation({
      upstream,
      dialect,
      clock,
      call: getSampleCall(task, upstream),
      body: Buffer.from(task.sample.body, 'base64'),
      text: task.text,
      model: step.model,
      minVersion: step.minVersion,
      isSingleVersion: route.isSingleVersion,
      onDone: outcome => this.handleGeneration(task, upstream, route, outcome),
    });
  }

  private handleGeneration(
    task: SampleTask,
    upstream: Upstream,
    route: Route,
    outcome: GenerationOutcome,
  ): void {
    task.generation = null;
    if (task.isCancelled) return;
    this.options.metrics.count('vc_generations', {outcome: outcome.tag});
    if (outcome.tag === 'complete') return this.score(task);
    this.options.logger.info('generation ended', {
      step: task.trackedStep.step.id,
      sample: task.id,
      events: task.text.lastEventId,
      outcome,
    });
    if (outcome.tag === 'lost') this.noteCrash(task, upstream);
    if (outcome.tag === 'impossible') return this.finish(task, 'dead', null);
    if (outcome.tag === 'failed' && outcome.status === 500) {
      task.engineFailures++;
      if (task.engineFailures >= route.maxAttempts) {
        return this.finish(task, 'dead', null);
      }
    }
    if (outcome.tag === 'wrong_version') task.restart(this.getNextChain());
    if (outcome.tag === 'not_run') this.holdBack(task, upstream);
    task.stage = 'queued';
    this.planPump();
  }

  /** A run that is lost before its first event may have crashed the engine. */
  private noteCrash(task: SampleTask, upstream: Upstream): void {
    if (task.text.lastEventId > 0) return;
    this.options.forwarding.crashes.reportCrash(task.fingerprint, upstream.id);
  }

  /** An engine that refuses is full or loads; it is asked again later. */
  private holdBack(task: SampleTask, upstream: Upstream): void {
    const {clock} = this.options;
    const {model} = task.trackedStep.step;
    const until = getDeadline(clock.now(), REFUSAL_WAIT_MS);
    if (model !== null) upstream.markModelLoading(model, until);
  }

  private score(task: SampleTask): void {
    task.stage = 'scoring';
    const {scoring} = task.sample;
    if (scoring) this.scoring.score(task, scoring);
    else this.finish(task, 'completed', null);
  }

  private finish(
    task: SampleTask,
    state: SampleResult['state'],
    score: string | null,
  ): void {
    task.stage = 'storing';
    const {logger, storeResult} = this.options;
    const versions = task.reusedResult?.versions ?? task.text.versions;
    logger.info('sample is done', {
      step: task.trackedStep.step.id,
      sample: task.id,
      state,
      events: task.text.lastEventId,
      versions,
    });
    const sample = task.id;
    if (state === 'dead') {
      const result = {sample, state, versions: [], score, text: null};
      return void storeResult(task.trackedStep, result, null);
    }
    const text = task.reusedResult?.text ?? null;
    const output = task.reusedResult ? null : task.text.getOutput();
    const result = {sample, state, versions, score, text};
    void storeResult(task.trackedStep, result, output);
  }
}
