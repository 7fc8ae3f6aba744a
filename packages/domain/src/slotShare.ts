/** Open samples of a step and the engines that may run them. */
export interface StepDemand {
  /** Number of its samples without a result. */
  unfinished: number;
  /** Number of engines that serve a version it can use. */
  engineCount: number;
}

/** A step whose samples this process runs in part. */
export interface OwnStepDemand extends StepDemand {
  /** Number of its samples without a result that this process runs. */
  ownUnfinished: number;
}

/** Slots of one engine, for which several processes compete. */
export interface SlotContest {
  slots: number;
  own: OwnStepDemand;
  /** The other open steps that may use the engine. */
  others: readonly StepDemand[];
  /**
   * Number from 0 to below 1, fixed for this process and engine, that decides
   * whether a fraction of a slot is rounded up.
   */
  rounding: number;
}

/** Returns the number of requests of a step per engine if they were even. */
function getDensity({unfinished, engineCount}: StepDemand): number {
  return unfinished / Math.max(1, engineCount);
}

/**
 * Returns how many samples of a step this process may run on an engine at the
 * same time. It answers bursts of several steps at the same engines, whose
 * samples are placed by processes that don't know of each other's choices: an
 * engine that gets more samples than it has slots lets the rest wait while other
 * engines have room. All processes know all open steps, so each works out what
 * the others will place. If there is room for all, a step gets what the others
 * leave; otherwise the slots are divided in proportion to the open samples.
 */
export function getSlotShare(contest: SlotContest): number {
  const {slots, own, others, rounding} = contest;
  const density = getDensity(own);
  const otherDensity = others.reduce((sum, step) => sum + getDensity(step), 0);
  const total = density + otherDensity;
  const stepSlots =
    total <= slots ? slots - otherDensity : (slots * density) / total;
  const ownFraction = own.ownUnfinished / Math.max(1, own.unfinished);
  return Math.floor(stepSlots * ownFraction + rounding);
}
