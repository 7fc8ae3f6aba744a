import type {SampleId} from '@vanillacross/common';

import type {SampleSpec} from './samples.js';

/**
 * Maximum share of a step's samples that may be hedged, that is, run a second
 * time in parallel.
 */
export const HEDGE_SHARE = 0.05;
/**
 * A sample is a straggler once it takes this many times the median duration.
 */
const STRAGGLER_FACTOR = 2;
/**
 * Priority that engines give to a sample; higher if the sample holds up its
 * group or step.
 */
const PRIORITY = {normal: 5, lastOfGroup: 7, lastOfStep: 8} as const;

/** A sample that should start now. */
export interface SampleStart {
  trainer: string;
  step: string;
  id: SampleId;
  /** 0 to 9; samples with a higher priority run first. */
  priority: number;
}

interface Group {
  size: number;
  waiting: SampleId[];
  running: Set<SampleId>;
}

interface ScheduledSample {
  group: Group;
  maxTokens: number;
  startedAt: number;
  isHedged: boolean;
}

interface Step {
  name: string;
  size: number;
  groups: Group[];
  samples: Map<SampleId, ScheduledSample>;
  waiting: number;
  running: number;
  hedges: number;
  /** Durations of the most recently ended samples, ms. */
  durations: number[];
}

interface Trainer {
  weight: number;
  /**
   * Tokens used divided by weight; the trainer with the lowest value is served
   * first.
   */
  used: number;
  steps: Map<string, Step>;
}

const MAX_DURATIONS = 64;

function getUnfinished(group: Group): number {
  return group.waiting.length + group.running.size;
}

function hasWaiting(trainer: Trainer): boolean {
  for (const step of trainer.steps.values()) if (step.waiting > 0) return true;
  return false;
}

function isBusy(trainer: Trainer): boolean {
  for (const step of trainer.steps.values()) {
    if (step.waiting + step.running > 0) return true;
  }
  return false;
}

/**
 * Chooses the group to continue: groups that have started first, and of these
 * the one with the fewest waiting samples.
 */
function chooseGroup(step: Step): Group | null {
  let best: Group | null = null;
  let bestOrder = Infinity;
  for (const group of step.groups) {
    if (group.waiting.length === 0) continue;
    const hasStarted = group.waiting.length < group.size;
    const order = hasStarted ? group.waiting.length : Number.MAX_SAFE_INTEGER;
    if (order < bestOrder) {
      best = group;
      bestOrder = order;
    }
  }
  return best;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
}

/**
 * Decides which sample starts next: weighted fair sharing of tokens among
 * trainers, older steps first, and samples of one group close together.
 */
export class SampleScheduler {
  private readonly trainers = new Map<string, Trainer>();

  /**
   * Adds a step. Samples for which `isWanted` is false, such as delivered ones,
   * are not scheduled.
   */
  addStep(
    trainerId: string,
    weight: number,
    name: string,
    specs: readonly SampleSpec[],
    isWanted: (id: SampleId) => boolean,
  ): void {
    const trainer = this.getTrainer(trainerId, weight);
    const groups = new Map<string, Group>();
    const samples = new Map<SampleId, ScheduledSample>();
    let waiting = 0;
    for (const {id, group: key, maxTokens} of specs) {
      let group = groups.get(String(key));
      if (!group) {
        group = {size: 0, waiting: [], running: new Set()};
        groups.set(String(key), group);
      }
      group.size += 1;
      samples.set(id, {group, maxTokens, startedAt: 0, isHedged: false});
      if (!isWanted(id)) continue;
      group.waiting.push(id);
      waiting += 1;
    }
    trainer.steps.set(name, {
      name,
      size: specs.length,
      groups: [...groups.values()],
      samples,
      waiting,
      running: 0,
      hedges: 0,
      durations: [],
    });
  }

  /**
   * Removes a step. The tokens that it used still count towards its trainer's
   * share.
   */
  removeStep(trainerId: string, name: string): void {
    this.trainers.get(trainerId)?.steps.delete(name);
  }

  /**
   * Takes the next sample, from the trainer with the lowest normalized usage
   * among those for which `mayStart` is true; null if there is none.
   */
  takeNext(
    nowMs: number,
    mayStart: (trainer: string) => boolean,
  ): SampleStart | null {
    let best: [string, Trainer] | null = null;
    for (const [id, trainer] of this.trainers) {
      if (!hasWaiting(trainer) || !mayStart(id)) continue;
      if (!best || trainer.used < best[1].used) best = [id, trainer];
    }
    if (!best) return null;
    const [id, trainer] = best;
    for (const step of trainer.steps.values()) {
      const group = step.waiting > 0 ? chooseGroup(step) : null;
      if (group) return this.start(id, trainer, step, group, nowMs);
    }
    return null;
  }

  /**
   * Records the end of a run and its tokens. A run that must be repeated goes
   * to the front of its group.
   */
  recordEnd(
    start: Pick<SampleStart, 'trainer' | 'step' | 'id'>,
    tokens: number,
    nowMs: number,
    mustRepeat: boolean,
  ): void {
    const trainer = this.trainers.get(start.trainer);
    const step = trainer?.steps.get(start.step);
    const sample = step?.samples.get(start.id);
    if (!trainer || !step || !sample) return;
    if (!sample.group.running.delete(start.id)) return;
    step.running -= 1;
    trainer.used += (tokens - sample.maxTokens) / trainer.weight;
    sample.isHedged = false;
    if (mustRepeat) {
      sample.group.waiting.unshift(start.id);
      step.waiting += 1;
      return;
    }
    step.durations.push(nowMs - sample.startedAt);
    if (step.durations.length > MAX_DURATIONS) step.durations.shift();
  }

  /**
   * Queues a finished but undeliverable sample again, at the front of its
   * group's waiting list.
   */
  requeue(trainerId: string, stepName: string, id: SampleId): void {
    const step = this.trainers.get(trainerId)?.steps.get(stepName);
    const sample = step?.samples.get(id);
    if (!step || !sample || sample.group.running.has(id)) return;
    if (sample.group.waiting.includes(id)) return;
    sample.group.waiting.unshift(id);
    step.waiting += 1;
  }

  /** Removes a waiting sample that is no longer needed. */
  removeWaiting(trainerId: string, stepName: string, id: SampleId): void {
    const step = this.trainers.get(trainerId)?.steps.get(stepName);
    const group = step?.samples.get(id)?.group;
    if (!step || !group) return;
    const index = group.waiting.indexOf(id);
    if (index >= 0) {
      group.waiting.splice(index, 1);
      step.waiting -= 1;
    }
  }

  /**
   * Takes the stragglers that may run a second time now: the rest of their
   * group or step is done, and they take much longer than the other samples
   * did.
   */
  takeHedges(nowMs: number): SampleStart[] {
    const starts: SampleStart[] = [];
    for (const [trainer, {steps}] of this.trainers) {
      for (const step of steps.values()) {
        const budget = Math.max(1, Math.floor(step.size * HEDGE_SHARE));
        if (step.running === 0 || step.hedges >= budget) continue;
        const limitMs = STRAGGLER_FACTOR * getMedian(step.durations);
        for (const [id, sample] of this.getLastRunning(step)) {
          if (step.hedges >= budget || sample.isHedged) continue;
          if (nowMs - sample.startedAt <= limitMs) continue;
          sample.isHedged = true;
          step.hedges += 1;
          const priority = PRIORITY.lastOfStep;
          starts.push({trainer, step: step.name, id, priority});
        }
      }
    }
    return starts;
  }

  /** Returns the tokens used by a trainer divided by its weight; for tests. */
  getNormalizedUsage(trainer: string): number {
    return this.trainers.get(trainer)?.used ?? 0;
  }

  private *getLastRunning(step: Step): Iterable<[SampleId, ScheduledSample]> {
    const isLastOfStep = step.waiting === 0 && step.running === 1;
    for (const group of step.groups) {
      const isLastOfGroup = group.size > 1 && getUnfinished(group) === 1;
      if (!isLastOfGroup && !(isLastOfStep && step.size > 1)) continue;
      for (const id of group.running) yield [id, step.samples.get(id)!];
    }
  }

  private getTrainer(id: string, weight: number): Trainer {
    const known = this.trainers.get(id);
    if (known) {
      known.weight = weight;
      if (!isBusy(known)) known.used = Math.max(known.used, this.getMinUsage());
      return known;
    }
    // A trainer that was idle must not catch up on its unused share.
    const trainer = {weight, used: this.getMinUsage(), steps: new Map()};
    this.trainers.set(id, trainer);
    return trainer;
  }

  /** Returns the lowest normalized usage of any busy trainer. */
  private getMinUsage(): number {
    let lowest = Infinity;
    for (const trainer of this.trainers.values()) {
      if (isBusy(trainer)) lowest = Math.min(lowest, trainer.used);
    }
    return lowest === Infinity ? 0 : lowest;
  }

  private start(
    trainerId: string,
    trainer: Trainer,
    step: Step,
    group: Group,
    nowMs: number,
  ): SampleStart {
    const id = group.waiting.shift()!;
    const sample = step.samples.get(id)!;
    step.waiting -= 1;
    step.running += 1;
    group.running.add(id);
    sample.startedAt = nowMs;
    trainer.used += sample.maxTokens / trainer.weight;
    let priority: number = PRIORITY.normal;
    if (getUnfinished(group) === 1) priority = PRIORITY.lastOfGroup;
    if (step.waiting + step.running === 1) priority = PRIORITY.lastOfStep;
    return {trainer: trainerId, step: step.name, id, priority};
  }
}
