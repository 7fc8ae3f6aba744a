import type {
  Clock,
  DomainId,
  Logger,
  Metrics,
  SampleId,
} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {noText} from '@vanillacross/domain';

import type {ConfigurationState} from '../configuration/index.js';
import type {ForwardContext} from '../forwarding/index.js';
import type {
  Pool,
  Route,
  Sample,
  SampleResult,
  SchedulingPolicy,
  UpstreamDialect,
} from '../model/index.js';
import type {TextStore} from '../log/index.js';
import type {UpstreamDirectory, Upstream} from '../upstreams/index.js';
import {EngineSelector} from './engineSelector.js';
import type {GenerationOutcome} from './generation.js';
import {Generation} from './generation.js';
import type {RunnerLayout} from './runnerPartition.js';
import {getRunnerPartition} from './runnerPartition.js';
import {getSampleCall} from './sampleCall.js';
import {forgetSentPrompt, recordSentPrompt} from './samplePrompt.js';
import {SampleScoring} from './sampleScoring.js';
import {SlotShares} from './slotShares.js';
import type {ExplainedSample} from './sampleExplanation.js';
import {explainSample} from './sampleExplanation.js';
import type {UnstoredPart} from './sampleTask.js';
import {SampleTask} from './sampleTask.js';
import type {StartOrder} from './startOrder.js';
import {createStartOrder} from './startOrder.js';
import type {TrackedStep, StepRegistry, StepChange} from './stepRegistry.js';
import {StepTimes} from './stepTimes.js';
import {decideText} from './textDecision.js';
import {SampleRecovery} from './sampleRecovery.js';

/** Interval at which starting queued samples is retried, ms. */
const START_RETRY_MS = 25;
/**
 * Time for which an engine that refused a sample is sent no further samples of
 * the same model, ms.
 */
const REFUSAL_BACKOFF_MS = 80;
/**
 * Interval at which generating samples are checked, ms. A check stores their
 * progress and migrates slow ones.
 */
const CHECK_INTERVAL_MS = 300;
/**
 * Minimum age of a sample before a check stores its progress, ms; a sample that
 * finishes sooner needs no stored progress.
 */
const STORE_AFTER_MS = 300;
/**
 * Number of unacknowledged texts of a partition above which a check stores no
 * further progress and leaves it to the next check.
 */
const MAX_PENDING_TEXTS = 200;
/** Minimum duration of a generation before it may migrate, ms. */
const MIGRATE_AFTER_MS = 500;
/** Maximum number of migrations of one sample to faster engines. */
const MAX_MIGRATIONS = 3;

export interface StepRunnerOptions {
  registry: StepRegistry;
  layout: RunnerLayout;
  configuration: ConfigurationState;
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  forwarding: ForwardContext;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  domain: DomainId;
  /** Requests per second that this process may send to one cold engine. */
  getColdShare: (pool: Pool) => number;
  policy: SchedulingPolicy;
  /** Id of this process; unique for each start of the process. */
  processId: string;
  /** Stores new events of an unfinished sample. */
  storeProgress: (partition: number, part: UnstoredPart) => void;
  /** Number of texts of a partition that the store has not acknowledged. */
  getPendingTextCount: (partition: number) => number;
  texts: TextStore;
  /**
   * Stores a result, preceded by its output unless that is null. Resolves when
   * the store has acknowledged the result.
   */
  storeResult: (
    tracked: TrackedStep,
    result: SampleResult,
    output: Buffer | null,
  ) => Promise<void>;
}

/** Returns the number of queued samples of each model. */
function countByModel(
  queued: readonly SampleTask[],
): Map<string | null, number> {
  const counts = new Map<string | null, number>();
  for (const {trackedStep} of queued) {
    const {model} = trackedStep.step;
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

/** Runs the samples that are assigned to the partitions of this process. */
export class StepRunner {
  private readonly ownedPartitions = new Set<number>();
  private readonly tasks = new Map<string, SampleTask>();
  private readonly scoring: SampleScoring;
  private readonly engineSelector: EngineSelector;
  private readonly recovery: SampleRecovery;
  private readonly slotShares: SlotShares;
  private readonly startOrder: StartOrder;
  private readonly times: StepTimes;
  private chainCount = 0;
  private isStartScheduled = false;
  private isStopped = false;

  constructor(private readonly options: StepRunnerOptions) {
    options.registry.onChange(change => this.handleChange(change));
    options.directory.onChange(() => this.startQueuedSamples());
    options.configuration.onChange(() => this.startQueuedSamples());
    this.engineSelector = new EngineSelector({
      ...options,
      hasShare: (task, engine) => this.hasShare(task, engine),
    });
    this.slotShares = new SlotShares({
      ...options,
      getOwnedPartitions: () => this.ownedPartitions,
      getRoute: tracked => this.engineSelector.getRoute(tracked),
    });
    this.startOrder = createStartOrder({
      ...options,
      getRoute: tracked => this.engineSelector.getRoute(tracked),
    });
    this.times = new StepTimes(options);
    this.recovery = new SampleRecovery({
      ...options,
      getRoute: tracked => this.engineSelector.getRoute(tracked),
    });
    this.scoring = new SampleScoring({
      ...options,
      onScore: (task, score) =>
        this.finish(task, score === null ? 'dead' : 'completed', score),
    });
    this.checkGeneratingTasks();
  }

  /** Number of samples of this process whose result is not listed yet. */
  get size(): number {
    return this.tasks.size;
  }

  /** Returns the partitions whose samples this process runs. */
  getOwnedPartitions(): ReadonlySet<number> {
    return this.ownedPartitions;
  }

  /**
   * Explains where a sample would start now, and changes nothing; null if this
   * process does not run it.
   */
  explain(step: string, sample: string): ExplainedSample | null {
    const tasks = [...this.tasks.values()];
    const task = tasks.find(
      ({id, trackedStep}) => id === sample && trackedStep.step.id === step,
    );
    if (!task) return null;
    return explainSample(task, {
      ...this.options,
      tasks,
      getOwnedPartitions: () => this.ownedPartitions,
    });
  }

  /** Acquires the given partitions and releases all others. */
  setOwnedPartitions(partitions: readonly number[]): void {
    for (const partition of [...this.ownedPartitions]) {
      if (!partitions.includes(partition)) this.releasePartition(partition);
    }
    const added = partitions.filter(
      partition => !this.ownedPartitions.has(partition),
    );
    if (added.length === 0) return;
    for (const partition of added) {
      this.ownedPartitions.add(partition);
      this.options.logger.info('partition acquired', {partition});
    }
    for (const tracked of this.options.registry.getAll()) this.addStep(tracked);
    this.startQueuedSamples();
  }

  /** Stops all samples. */
  stop(): void {
    this.isStopped = true;
    this.setOwnedPartitions([]);
  }

  private releasePartition(partition: number): void {
    this.ownedPartitions.delete(partition);
    this.options.logger.info('partition released', {partition});
    for (const [key, task] of this.tasks) {
      if (task.runnerPartition !== partition) continue;
      if (task.stage !== 'storing') this.storeProgress(task);
      task.cancel();
      this.tasks.delete(key);
      this.times.release(task.trackedStep, task.id);
    }
  }

  private handleChange(change: StepChange): void {
    const {trackedStep: tracked} = change;
    if (change.tag === 'accepted') this.addStep(tracked);
    if (change.tag === 'listed') {
      this.times.list(tracked, change.sample);
      this.dropTask(tracked, change.sample);
    }
    if (change.tag === 'ended') this.endStep(tracked);
    this.startQueuedSamples();
  }

  private getKey(tracked: TrackedStep, sample: SampleId): string {
    return `${tracked.partition}/${tracked.step.id}/${sample}`;
  }

  /** Returns the partition whose owner runs the sample at a position. */
  private getPartition(tracked: TrackedStep, position: number): number {
    const {layout} = this.options;
    return getRunnerPartition(tracked.partition, position, layout);
  }

  private addStep(tracked: TrackedStep): void {
    if (tracked.isEnded) return;
    tracked.step.samples.forEach((sample, index) => {
      if (!this.ownedPartitions.has(this.getPartition(tracked, index))) return;
      const key = this.getKey(tracked, sample.id);
      if (tracked.listedSamples.has(sample.id) || this.tasks.has(key)) return;
      this.addTask(tracked, sample, index);
    });
  }

  private addTask(
    tracked: TrackedStep,
    sample: Sample,
    position: number,
  ): void {
    const task = new SampleTask(
      tracked,
      sample,
      position,
      this.getPartition(tracked, position),
      this.createChainId(),
      this.options.clock.now(),
    );
    this.tasks.set(this.getKey(tracked, sample.id), task);
    this.times.enter(task);
    if (this.recovery.reuseResult(task)) return this.score(task);
    void this.recovery.resumeFromStore(task).then(isRequeued => {
      if (isRequeued) this.startQueuedSamples();
    });
  }

  private createChainId(): string {
    return `${this.options.processId}/${++this.chainCount}`;
  }

  private dropTask(tracked: TrackedStep, sample: SampleId): void {
    const key = this.getKey(tracked, sample);
    this.tasks.get(key)?.cancel();
    this.tasks.delete(key);
  }

  private endStep(tracked: TrackedStep): void {
    for (const sample of tracked.step.samples) {
      const task = this.tasks.get(this.getKey(tracked, sample.id));
      if (!task) continue;
      if (task.stage !== 'storing') this.storeProgress(task);
      this.dropTask(tracked, sample.id);
    }
    this.times.end(tracked);
  }

  private storeProgress(task: SampleTask): void {
    const part = task.takeUnstored();
    if (part) this.options.storeProgress(task.trackedStep.partition, part);
  }

  /** Stores the progress of all unfinished samples. */
  storeAllProgress(): void {
    for (const task of this.tasks.values()) {
      if (task.stage !== 'storing') this.storeProgress(task);
    }
  }

  private checkGeneratingTasks(): void {
    const {clock, getPendingTextCount: getPending} = this.options;
    for (const task of [...this.tasks.values()]) {
      if (task.stage !== 'generating') continue;
      this.migrateIfSlow(task);
      if (clock.now() - task.createdAt < STORE_AFTER_MS) continue;
      if (getPending(task.trackedStep.partition) > MAX_PENDING_TEXTS) continue;
      this.storeProgress(task);
    }
    if (this.isStopped) return;
    clock.callAt(getDeadline(clock.now(), CHECK_INTERVAL_MS), () =>
      this.checkGeneratingTasks(),
    );
  }

  /** Migrates a slow sample to a faster engine; the text so far is kept. */
  private migrateIfSlow(task: SampleTask): void {
    const {generation} = task;
    const {clock, logger} = this.options;
    if (!generation || task.migrations >= MAX_MIGRATIONS) return;
    if (clock.now() - generation.startedAt < MIGRATE_AFTER_MS) return;
    const fasterEngine = this.engineSelector.chooseFaster(
      task,
      generation.upstream,
    );
    if (!fasterEngine) return;
    logger.info('migrating sample to a faster engine', {
      step: task.trackedStep.step.id,
      sample: task.id,
      events: task.text.lastEventId,
      from: generation.upstream.id,
      paceMs: Math.round(generation.upstream.getEventIntervalMs() ?? 0),
      to: fasterEngine.id,
      otherPaceMs: Math.round(fasterEngine.getEventIntervalMs() ?? 0),
    });
    task.migrations++;
    task.avoidedUpstream = generation.upstream;
    generation.abort();
    task.generation = null;
    task.stage = 'queued';
    const route = this.engineSelector.getRoute(task.trackedStep);
    if (route) this.generate(task, route, fasterEngine);
  }

  /** Starts queued samples while engines have room. */
  startQueuedSamples(): void {
    if (this.isStopped) return;
    const queued = [...this.tasks.values()].filter(t => t.stage === 'queued');
    if (queued.length === 0) return;
    const ordered = this.startOrder.sort(queued, this.tasks.values());
    if (this.isConcentrated) this.slotShares.refresh(this.tasks.values());
    const waitingByModel = countByModel(queued);
    let hasRemaining = false;
    for (const task of ordered) {
      const {model} = task.trackedStep.step;
      const waitingCount = waitingByModel.get(model) ?? 1;
      if (this.tryStart(task, waitingCount)) {
        waitingByModel.set(model, waitingCount - 1);
        this.startOrder.recordStart(task);
      } else {
        hasRemaining = true;
      }
    }
    if (hasRemaining) this.scheduleStart();
  }

  private get isConcentrated(): boolean {
    return this.options.policy.placement === 'concentrated';
  }

  private hasShare(task: SampleTask, engine: Upstream): boolean {
    return !this.isConcentrated || this.slotShares.mayStart(task, engine);
  }

  private scheduleStart(): void {
    if (this.isStartScheduled) return;
    this.isStartScheduled = true;
    const {clock} = this.options;
    clock.callAt(getDeadline(clock.now(), START_RETRY_MS), () => {
      this.isStartScheduled = false;
      this.startQueuedSamples();
    });
  }

  /**
   * Starts or abandons a queued sample. Returns false if the sample remains queued.
   */
  private tryStart(task: SampleTask, waitingCount: number): boolean {
    const {step} = task.trackedStep;
    const route = this.engineSelector.getRoute(task.trackedStep);
    if (route && task.isPastRetention(route, this.options.clock.wallNow())) {
      this.finish(task, 'dead', null);
      return true;
    }
    const upstream = route && this.chooseEngine(task, route, waitingCount);
    if (!route || !upstream) return false;
    this.options.metrics.count('vc_sample_placements', {
      connection: upstream.hasIdleConnection() ? 'idle' : 'new',
    });
    this.generate(task, route, upstream);
    this.slotShares.recordStart(task, upstream);
    this.options.metrics.count('vc_samples_started', {
      model: step.model ?? '',
    });
    return true;
  }

  /**
   * Returns an engine for a queued sample, or null. If its text can't go on at
   * engines of its software version, the sample starts again from the beginning
   * at another version.
   */
  private chooseEngine(
    task: SampleTask,
    route: Route,
    waitingCount: number,
  ): Upstream | null {
    const {engineSelector} = this;
    const {clock, logger} = this.options;
    const {software, lastEventId} = task.text;
    const {origin} = task.text;
    const next = engineSelector.chooseForStart(
      task,
      route,
      origin,
      waitingCount,
    );
    const decision = decideText(
      task,
      next !== null,
      () => engineSelector.hasEngineForText(task, route),
      clock.now(),
    );
    if (decision === 'continue') return next;
    if (decision === 'wait') return null;
    const other = engineSelector.chooseForStart(
      task,
      route,
      noText,
      waitingCount,
    );
    if (!other || other.entry.software === software) return other;
    logger.info('sample starts again at another software version', {
      step: task.trackedStep.step.id,
      sample: task.id,
      events: lastEventId,
      software,
      other: other.entry.software,
      waitedMs: Math.round(clock.now() - task.advancedAt),
      fruitlessRuns: task.fruitlessRuns,
    });
    this.options.metrics.count('vc_samples_restarted');
    task.restart(this.createChainId());
    return other;
  }

  private generate(task: SampleTask, route: Route, upstream: Upstream): void {
    const {dialect, clock, logger} = this.options;
    const {step} = task.trackedStep;
    task.stage = 'generating';
    this.times.enter(task);
    logger.info('sample starts', {
      step: step.id,
      sample: task.id,
      upstream: upstream.id,
      software: upstream.entry.software,
      after: task.text.lastEventId,
      minVersion: step.minVersion,
      version: step.model === null ? null : upstream.getVersion(step.model),
      ...recordSentPrompt(task, upstream, this.options),
    });
    task.generation = new Generation({
      upstream,
      dialect,
      clock,
      call: getSampleCall(task, upstream),
      body: Buffer.from(task.sample.body, 'base64'),
      memory: this.options.forwarding.memory,
      text: task.text,
      maxEvents: task.sample.tokens > 0 ? task.sample.tokens : Infinity,
      model: step.model,
      minVersion: step.minVersion,
      isSingleVersion: route.isSingleVersion,
      mayQueue: this.isConcentrated,
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
    if (outcome.tag === 'complete') {
      this.startOrder.recordText(task);
      return this.score(task);
    }
    forgetSentPrompt(task, upstream);
    this.options.logger.info('generation ended', {
      step: task.trackedStep.step.id,
      sample: task.id,
      events: task.text.lastEventId,
      outcome,
    });
    if (outcome.tag === 'impossible') return this.finish(task, 'dead', null);
    if (outcome.tag === 'failed' && outcome.status === 500) {
      task.engineFailures++;
      if (task.engineFailures >= route.maxAttempts) {
        return this.finish(task, 'dead', null);
      }
    }
    const isUseless =
      outcome.tag === 'wrong_version' || outcome.tag === 'too_large';
    if (isUseless) task.restart(this.createChainId());
    if (outcome.tag === 'not_run') this.backOff(task, upstream);
    else task.recordRunEnd(this.options.clock.now());
    task.stage = 'queued';
    this.times.enter(task);
    this.scheduleStart();
  }

  /**
   * Sends an engine no further samples of the model for a while after it did not
   * execute one, for example because it is full or loading weights. Marking the
   * model as loading has this effect, whatever the reason was.
   */
  private backOff(task: SampleTask, upstream: Upstream): void {
    const {clock} = this.options;
    const {model} = task.trackedStep.step;
    const until = getDeadline(clock.now(), REFUSAL_BACKOFF_MS);
    if (model !== null) upstream.markModelLoading(model, until);
  }

  private score(task: SampleTask): void {
    task.stage = 'scoring';
    this.times.enter(task);
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
    this.times.enter(task);
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
