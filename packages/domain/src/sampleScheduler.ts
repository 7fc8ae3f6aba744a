import type {SampleId} from '@vanillacross/common';

import type {SampleSpec} from './samples.js';

/** Part of a step's samples that may run twice at the same time. */
export const HEDGE_SHARE = 0.05;
/** A sample is a straggler after so many times the median duration. */
const STRAGGLER_FACTOR = 2;
/** Engine priority of a sample by how much the trainer waits for it. */
const PRIORITY = {usual: 5, lastOfGroup: 7, lastOfStep: 8} as const;

/** A sample that should start now. */
export interface SampleStart {
  trainer: string;
  step: string;
  id: SampleId;
  /** 0 to 9, higher runs first. */
  priority: number;
}

interface Group {
  size: number;
  waiting: SampleId[];
  running: Set<SampleId>;
}

interface Placed {
  group: Group;
  maxTokens: number;
  startedAt: number;
  isHedged: boolean;
}

interface Step {
  name: string;
  size: number;
  groups: Group[];
  samples: Map<SampleId, Placed>;
  waiting: number;
  running: number;
  hedges: number;
  /** Durations of ended samples, ms; the newest ones. */
  durations: number[];
}

interface Trainer {
  weight: number;
  /** Tokens divided by weight; the lowest is served first. */
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

function isActive(trainer: Trainer): boolean {
  for (const step of trainer.steps.values()) {
    if (step.waiting + step.running > 0) return true;
  }
  return false;
}

/** A group that was begun goes first, the one nearest to its end before. */
function chooseGroup(step: Step): Group | null {
  let best: Group | null = null;
  let bestOrder = Infinity;
  for (const group of step.groups) {
    if (group.waiting.length === 0) continue;
    const isBegun = group.waiting.length < group.size;
    const order = isBegun ? group.waiting.length : Number.MAX_SAFE_INTEGER;
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
 * Decides which sample starts next: weighted fair shares of tokens among
 * trainers, older steps first, groups finished together.
 */
export class SampleScheduler {
  private readonly trainers = new Map<string, Trainer>();

  /** Adds a step; samples that are already delivered are left out. */
  addStep(
    trainerId: string,
    weight: number,
    name: string,
    specs: readonly SampleSpec[],
    isWanted: (id: SampleId) => boolean,
  ): void {
    const trainer = this.getTrainer(trainerId, weight);
    const groups = new Map<string, Group>();
    const samples = new Map<SampleId, Placed>();
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

  /** Removes a step; what its trainer has used stays counted. */
  removeStep(trainerId: string, name: string): void {
    this.trainers.get(trainerId)?.steps.delete(name);
  }

  /** Takes the next sample of a trainer that may start one now. */
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
   * Notes the end of a run and its tokens. A run that must be repeated goes
   * to the front of its group.
   */
  recordEnd(
    start: Pick<SampleStart, 'trainer' | 'step' | 'id'>,
    tokens: number,
    nowMs: number,
    isAgain: boolean,
  ): void {
    const trainer = this.trainers.get(start.trainer);
    const step = trainer?.steps.get(start.step);
    const placed = step?.samples.get(start.id);
    if (!trainer || !step || !placed) return;
    if (!placed.group.running.delete(start.id)) return;
    step.running -= 1;
    trainer.used += (tokens - placed.maxTokens) / trainer.weight;
    placed.isHedged = false;
    if (isAgain) {
      placed.group.waiting.unshift(start.id);
      step.waiting += 1;
      return;
    }
    step.durations.push(nowMs - placed.startedAt);
    if (step.durations.length > MAX_DURATIONS) step.durations.shift();
  }

  /** Puts an ended sample that cannot be delivered back into its group. */
  requeue(trainerId: string, stepName: string, id: SampleId): void {
    const step = this.trainers.get(trainerId)?.steps.get(stepName);
    const placed = step?.samples.get(id);
    if (!step || !placed || placed.group.running.has(id)) return;
    if (placed.group.waiting.includes(id)) return;
    placed.group.waiting.unshift(id);
    step.waiting += 1;
  }

  /** Takes a sample out that need not run any more. */
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
   * Stragglers that may run a second time now: the rest of their group or
   * step is done and they take much longer than the others did.
   */
  takeHedges(nowMs: number): SampleStart[] {
    const starts: SampleStart[] = [];
    for (const [trainer, {steps}] of this.trainers) {
      for (const step of steps.values()) {
        const budget = Math.max(1, Math.floor(step.size * HEDGE_SHARE));
        if (step.running === 0 || step.hedges >= budget) continue;
        const limitMs = STRAGGLER_FACTOR * getMedian(step.durations);
        for (const [id, placed] of this.getLast(step)) {
          if (step.hedges >= budget || placed.isHedged) continue;
          if (nowMs - placed.startedAt <= limitMs) continue;
          placed.isHedged = true;
          step.hedges += 1;
          const priority = PRIORITY.lastOfStep;
          starts.push({trainer, step: step.name, id, priority});
        }
      }
    }
    return starts;
  }

  /** Tokens divided by weight that a trainer has used; for tests. */
  getNormalizedUsage(trainer: string): number {
    return this.trainers.get(trainer)?.used ?? 0;
  }

  private *getLast(step: Step): Iterable<[SampleId, Placed]> {
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
      if (!isActive(known)) known.used = Math.max(known.used, this.getFloor());
      return known;
    }
    // A trainer that was idle must not catch up on its unused share.
    const trainer = {weight, used: this.getFloor(), steps: new Map()};
    this.trainers.set(id, trainer);
    return trainer;
  }

  /** The lowest use of an active trainer. */
  private getFloor(): number {
    let floor = Infinity;
    for (const trainer of this.trainers.values()) {
      if (isActive(trainer)) floor = Math.min(floor, trainer.used);
    }
    return floor === Infinity ? 0 : floor;
  }

  private start(
    trainerId: string,
    trainer: Trainer,
    step: Step,
    group: Group,
    nowMs: number,
  ): SampleStart {
    const id = group.waiting.shift()!;
    const placed = step.samples.get(id)!;
    step.waiting -= 1;
    step.running += 1;
    group.running.add(id);
    placed.startedAt = nowMs;
    trainer.used += placed.maxTokens / trainer.weight;
    let priority: number = PRIORITY.usual;
    if (getUnfinished(group) === 1) priority = PRIORITY.lastOfGroup;
    if (step.waiting + step.running === 1) priority = PRIORITY.lastOfStep;
    return {trainer: trainerId, step: step.name, id, priority};
  }
}
