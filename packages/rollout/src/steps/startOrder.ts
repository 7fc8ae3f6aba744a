import type {Clock, Metrics} from '@vanillacross/common';
import type {
  LengthRatios,
  OpenGroup,
  OpenStep,
  StartReason,
} from '@vanillacross/domain';
import {
  compareQueuedSamples,
  getLengthRatio,
  getRemainingEvents,
  orderBySlack,
  recordLength,
  recordStepStart,
} from '@vanillacross/domain';

import type {Route, Sample, SchedulingPolicy} from '../model/index.js';
import type {Upstream, UpstreamDirectory} from '../upstreams/index.js';
import type {SampleTask} from './sampleTask.js';
import type {StepRegistry, TrackedStep} from './stepRegistry.js';

/** Time between two events while the pace of the engines is unknown, ms. */
const DEFAULT_PACE_MS = 67;
/**
 * Time from the last event of a sample until its result is listed, ms: its
 * scoring call and the appends.
 */
const LISTING_MS = 500;
/** Time for which the pace and slots of a step's engines are kept, ms. */
const KEEP_ENGINES_MS = 250;

export interface StartOrderOptions {
  registry: StepRegistry;
  directory: UpstreamDirectory;
  clock: Clock;
  metrics: Metrics;
  policy: SchedulingPolicy;
  getRoute: (tracked: TrackedStep) => Route | null;
}

/** Order in which queued samples start. */
export interface StartOrder {
  /**
   * Returns the queued samples in the order in which they start.
   *
   * @param tasks All samples that this process runs.
   */
  sort(queued: SampleTask[], tasks: Iterable<SampleTask>): SampleTask[];
  /** Records that a sample of the last order has been started. */
  recordStart(task: SampleTask): void;
  /** Records that an engine has generated the whole text of a sample. */
  recordText(task: SampleTask): void;
}

const acceptanceOrder: StartOrder = {
  sort: queued => queued.sort(compareQueuedSamples),
  recordStart: () => undefined,
  recordText: () => undefined,
};

const orders: Readonly<
  Record<
    SchedulingPolicy['stepOrder'],
    (options: StartOrderOptions) => StartOrder
  >
> = {
  acceptance: () => acceptanceOrder,
  slack: options => new SlackOrder(options),
};

/** Creates the order that the policy states. */
export function createStartOrder(options: StartOrderOptions): StartOrder {
  return orders[options.policy.stepOrder](options);
}

/** The parts of a group that never change. */
interface StepGroup {
  name: string;
  position: number;
  isCarried: boolean;
  samples: Sample[];
}

/** Engines that a step may use. */
interface StepEngines {
  paceMs: number;
  slots: number;
  readAt: number;
}

/** What this process has of one step. */
interface OwnSamples {
  tasks: Map<Sample['id'], SampleTask>;
  queuedCount: number;
}

/**
 * Order by deadline. It follows from the records of the steps and the progress
 * of their samples; the learned lengths and the work by which steps are behind
 * start anew in a process that takes over a partition.
 */
export class SlackOrder implements StartOrder {
  private readonly ratios: LengthRatios = new Map();
  private readonly overtaken = new Map<TrackedStep, number>();
  private readonly groups = new WeakMap<TrackedStep, StepGroup[]>();
  private readonly engines = new WeakMap<TrackedStep, StepEngines>();
  /** Samples by step at the time of the last order. */
  private own = new Map<TrackedStep, OwnSamples>();
  /** Reasons of the last order. */
  private reasons = new Map<SampleTask, StartReason>();
  private runningCount = 0;

  constructor(private readonly options: StartOrderOptions) {}

  sort(queued: SampleTask[], tasks: Iterable<SampleTask>): SampleTask[] {
    this.readTasks(queued, tasks);
    const steps: Array<OpenStep<SampleTask>> = [];
    for (const [tracked, own] of this.own) {
      if (own.queuedCount > 0) steps.push(this.getOpenStep(tracked, own));
      else this.overtaken.delete(tracked);
    }
    for (const tracked of this.overtaken.keys()) {
      if (!this.own.has(tracked)) this.overtaken.delete(tracked);
    }
    const order = orderBySlack(this.options.clock.wallNow(), steps);
    this.reasons = new Map(order.map(({item, reason}) => [item, reason]));
    return order.map(({item}) => item);
  }

  recordStart(task: SampleTask): void {
    const {trackedStep: started, generation} = task;
    const own = this.own.get(started);
    if (!own || !generation) return;
    const reason = this.reasons.get(task) ?? 'in_time';
    this.options.metrics.count('vc_ordered_starts', {reason});
    own.queuedCount--;
    this.runningCount++;
    const waiting = [...this.own]
      .filter(
        ([tracked, {queuedCount}]) =>
          queuedCount > 0 && this.mayUse(tracked, generation.upstream),
      )
      .map(([tracked]) => tracked);
    const events = this.getRemaining(
      task.sample,
      task.text.lastEventId,
      started,
    );
    const workMs = events * this.getEngines(started).paceMs;
    recordStepStart(
      this.overtaken,
      started,
      waiting,
      workMs / this.runningCount,
    );
  }

  recordText({trackedStep, sample, text}: SampleTask): void {
    const {expectedTokens} = sample;
    if (expectedTokens === null) return;
    const {model} = trackedStep.step;
    recordLength(this.ratios, model, expectedTokens, text.lastEventId);
  }

  private readTasks(
    queued: readonly SampleTask[],
    tasks: Iterable<SampleTask>,
  ): void {
    this.own = new Map();
    this.runningCount = 0;
    for (const task of tasks) {
      let own = this.own.get(task.trackedStep);
      if (!own) {
        own = {tasks: new Map(), queuedCount: 0};
        this.own.set(task.trackedStep, own);
      }
      own.tasks.set(task.id, task);
      if (task.generation) this.runningCount++;
    }
    for (const {trackedStep} of queued) {
      this.own.get(trackedStep)!.queuedCount++;
    }
  }

  private getOpenStep(
    tracked: TrackedStep,
    own: OwnSamples,
  ): OpenStep<SampleTask> {
    const {step, unlistedByGroup} = tracked;
    const lost = this.getLostGroups(tracked);
    const groups = this.getGroups(tracked);
    const open = groups.filter(({name}) => unlistedByGroup.get(name) !== 0);
    const complete = groups.filter(
      ({name}) => unlistedByGroup.get(name) === 0 && !lost.has(name),
    );
    const {paceMs, slots} = this.getEngines(tracked);
    const budgetMs = this.options.getRoute(tracked)?.stepBudgetMs ?? 0;
    return {
      acceptedAt: step.acceptedAt,
      deadline: step.acceptedAt + budgetMs,
      targetGroups: step.targetGroups,
      completeGroups: complete.length,
      groups: open.map(group => this.getOpenGroup(tracked, own, group, lost)),
      paceMs,
      slots,
      listingMs: LISTING_MS,
      overtakenMs: this.overtaken.get(tracked) ?? 0,
    };
  }

  private getOpenGroup(
    tracked: TrackedStep,
    own: OwnSamples,
    {name, position, isCarried, samples}: StepGroup,
    lost: ReadonlySet<string>,
  ): OpenGroup<SampleTask> {
    const queued = [];
    let longestEvents = 0;
    let totalEvents = 0;
    for (const sample of samples) {
      if (tracked.listedSamples.has(sample.id)) continue;
      const task = own.tasks.get(sample.id);
      const events = task
        ? this.getTaskRemaining(task)
        : this.getOtherRemaining(tracked, sample);
      longestEvents = Math.max(longestEvents, events);
      totalEvents += events;
      if (task?.stage !== 'queued') continue;
      queued.push({item: task, remainingEvents: events});
    }
    return {
      position,
      isCarried,
      isLost: lost.has(name),
      unfinished: tracked.unlistedByGroup.get(name) ?? 0,
      longestEvents,
      totalEvents,
      queued,
    };
  }

  private getTaskRemaining(task: SampleTask): number {
    if (task.stage === 'scoring' || task.stage === 'storing') return 0;
    const {sample, text, trackedStep} = task;
    return this.getRemaining(sample, text.lastEventId, trackedStep);
  }

  /** Events that a sample lacks which another process runs, from the store. */
  private getOtherRemaining(tracked: TrackedStep, sample: Sample): number {
    const {registry} = this.options;
    const {partition} = tracked;
    if (registry.getCompleted(partition, sample.id)) return 0;
    const progress = registry.getProgress(partition, sample.id);
    return this.getRemaining(sample, progress?.events ?? 0, tracked);
  }

  private getRemaining(
    {expectedTokens, tokens}: Sample,
    generatedEvents: number,
    {step}: TrackedStep,
  ): number {
    const ratio = getLengthRatio(this.ratios, step.model);
    const expected = (expectedTokens ?? tokens) * ratio;
    return getRemainingEvents(expected, generatedEvents);
  }

  private getLostGroups(tracked: TrackedStep): Set<string> {
    const lost = new Set<string>();
    for (const {sample, state} of tracked.results) {
      if (state !== 'dead') continue;
      lost.add(tracked.samples.get(sample)!.group);
    }
    return lost;
  }

  /** Returns the groups of a step in the order of their first samples. */
  private getGroups(tracked: TrackedStep): StepGroup[] {
    const known = this.groups.get(tracked);
    if (known) return known;
    const groups = new Map<string, StepGroup>();
    tracked.step.samples.forEach((sample, position) => {
      const group = groups.get(sample.group);
      if (group) return void group.samples.push(sample);
      const isCarried = this.isInEarlierStep(tracked, sample);
      const name = sample.group;
      groups.set(name, {name, position, isCarried, samples: [sample]});
    });
    const listed = [...groups.values()];
    this.groups.set(tracked, listed);
    return listed;
  }

  private isInEarlierStep(tracked: TrackedStep, {id}: Sample): boolean {
    for (const other of this.options.registry.getAll()) {
      if (other === tracked || other.partition !== tracked.partition) continue;
      if (other.step.acceptedAt > tracked.step.acceptedAt) continue;
      if (other.samples.has(id)) return true;
    }
    return false;
  }

  private mayUse(tracked: TrackedStep, engine: Upstream): boolean {
    const {model, minVersion} = tracked.step;
    const targets = this.options.getRoute(tracked)?.targets ?? [];
    if (!targets.some(({pool}) => pool === engine.entry.pool)) return false;
    return model === null || engine.getVersion(model) >= minVersion;
  }

  private getEngines(tracked: TrackedStep): StepEngines {
    const {clock, directory, getRoute} = this.options;
    const known = this.engines.get(tracked);
    const now = clock.now();
    if (known && now - known.readAt < KEEP_ENGINES_MS) return known;
    const targets = getRoute(tracked)?.targets ?? [];
    const usable = targets
      .flatMap(({pool}) => directory.getUsable(pool))
      .filter(engine => this.mayUse(tracked, engine));
    const paces = usable
      .map(engine => engine.getEventIntervalMs())
      .filter(pace => pace !== null);
    const paceMs =
      paces.length === 0
        ? DEFAULT_PACE_MS
        : paces.reduce((sum, pace) => sum + pace, 0) / paces.length;
    const slots = usable.reduce((sum, {entry}) => sum + entry.slots, 0);
    const engines = {paceMs, slots, readAt: now};
    this.engines.set(tracked, engines);
    return engines;
  }
}
