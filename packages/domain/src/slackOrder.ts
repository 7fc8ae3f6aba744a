/**
 * Work of other steps that may start before a step with queued samples, less its
 * own, ms. After that it precedes all steps that are less far behind.
 */
export const MAX_OVERTAKEN_MS = 2_000;
/** Bounds what a step whose engines are missing for long may claim later, ms. */
const MAX_RECORDED_MS = 2 * MAX_OVERTAKEN_MS;

/**
 * Slack below which steps are equally urgent and the oldest goes first, ms.
 * Slack grows while a step is served. Without this bound, steps that all have
 * too little time take turns and none completes its groups: in the load of the
 * test with 18 slots and four steps, 40 groups in time instead of 55.
 */
const URGENT_SLACK_MS = 3_000;

/** A queued sample of a group. */
export interface QueuedLength<Item> {
  item: Item;
  /** Number of events that it is expected to lack. */
  remainingEvents: number;
}

/** An incomplete group of an open step. */
export interface OpenGroup<Item> {
  /** Index of its first sample in the step. */
  position: number;
  /** Whether an earlier step of the trainer had the group. */
  isCarried: boolean;
  /** Whether a sample has failed permanently; the group can't be completed. */
  isLost: boolean;
  /** Number of its samples without a result, at whichever process they run. */
  unfinished: number;
  /** Expected number of events that its longest unfinished sample lacks. */
  longestEvents: number;
  /** Expected number of events that all its unfinished samples lack. */
  totalEvents: number;
  /** Its samples that this process may start. */
  queued: ReadonlyArray<QueuedLength<Item>>;
}

/** A step with queued samples. */
export interface OpenStep<Item> {
  /** Wall-clock time at which the step was accepted, ms. */
  acceptedAt: number;
  /** Wall-clock time until which its groups have their full value, ms. */
  deadline: number;
  /** Number of complete groups that the trainer waits for. */
  targetGroups: number;
  completeGroups: number;
  groups: ReadonlyArray<OpenGroup<Item>>;
  /** Time that an engine takes for one event, ms. */
  paceMs: number;
  /** Number of slots at the engines that serve a version it can use. */
  slots: number;
  /** Time from the last event of a sample until its result is listed, ms. */
  listingMs: number;
  /** Work of other steps that started before its own, see `recordStepStart`. */
  overtakenMs: number;
}

/** Why a queued sample has its place in the order. */
export type StartReason =
  /** Its step was behind other steps for too long. */
  | 'overtaken'
  /** Its step can complete another group in time. */
  | 'in_time'
  /** Its step can't complete another group in time. */
  | 'late'
  /** The trainer does not wait for its group. */
  | 'beyond_target';

/** A queued sample in its place. */
export interface OrderedItem<Item> {
  item: Item;
  reason: StartReason;
}

/** The order of one step's groups and how urgent the step is. */
interface StepPlan<Item> {
  acceptedAt: number;
  overtakenMs: number;
  /** Time that is left once all target groups are complete, ms. */
  slackMs: number;
  /** Time that is left once one more target group is complete, ms. */
  nextGroupSlackMs: number;
  targets: ReadonlyArray<OpenGroup<Item>>;
  others: ReadonlyArray<OpenGroup<Item>>;
}

/** Groups the trainer can use first: carried ones, then the cheapest ones. */
function compareGroups<Item>(a: OpenGroup<Item>, b: OpenGroup<Item>): number {
  return (
    Number(a.isLost) - Number(b.isLost) ||
    Number(b.isCarried) - Number(a.isCarried) ||
    a.unfinished - b.unfinished ||
    a.longestEvents - b.longestEvents ||
    a.position - b.position
  );
}

/** Returns the time until all of the groups are listed, ms. */
function getWorkMs<Item>(
  {paceMs, slots, listingMs}: OpenStep<Item>,
  groups: ReadonlyArray<OpenGroup<Item>>,
): number {
  let longest = 0;
  let total = 0;
  for (const {longestEvents, totalEvents} of groups) {
    longest = Math.max(longest, longestEvents);
    total += totalEvents;
  }
  return Math.max(longest, total / Math.max(1, slots)) * paceMs + listingMs;
}

function createPlan<Item>(now: number, step: OpenStep<Item>): StepPlan<Item> {
  const {acceptedAt, deadline, overtakenMs, targetGroups} = step;
  const ranked = [...step.groups].sort(compareGroups);
  const needed = Math.max(0, targetGroups - step.completeGroups);
  const usable = ranked.filter(({isLost}) => !isLost).length;
  const targets = ranked.slice(0, Math.min(needed, usable));
  const leftMs = deadline - now;
  const nextGroupMs = targets.reduce(
    (least, group) => Math.min(least, getWorkMs(step, [group])),
    Infinity,
  );
  return {
    acceptedAt,
    overtakenMs,
    slackMs: leftMs - getWorkMs(step, targets),
    nextGroupSlackMs: leftMs - nextGroupMs,
    targets,
    others: ranked.slice(targets.length),
  };
}

/** Reasons in the order in which the samples start. */
const REASONS: readonly StartReason[] = [
  'overtaken',
  'in_time',
  'late',
  'beyond_target',
];

function getReason<Item>(plan: StepPlan<Item>): StartReason {
  if (plan.overtakenMs >= MAX_OVERTAKEN_MS) return 'overtaken';
  return plan.nextGroupSlackMs >= 0 ? 'in_time' : 'late';
}

function comparePlans<Item>(a: StepPlan<Item>, b: StepPlan<Item>): number {
  const reason = getReason(a);
  const byReason = REASONS.indexOf(reason) - REASONS.indexOf(getReason(b));
  // Of the steps that are late, the one nearest to a complete group goes first:
  // the value of a group falls with its delay.
  const byUrgency =
    reason === 'late'
      ? b.nextGroupSlackMs - a.nextGroupSlackMs
      : Math.max(0, a.slackMs - URGENT_SLACK_MS) -
        Math.max(0, b.slackMs - URGENT_SLACK_MS);
  return byReason || byUrgency || a.acceptedAt - b.acceptedAt;
}

function appendLongestFirst<Item>(
  order: Array<OrderedItem<Item>>,
  queued: ReadonlyArray<QueuedLength<Item>>,
  reason: StartReason,
): void {
  const longestFirst = [...queued].sort(
    (a, b) => b.remainingEvents - a.remainingEvents,
  );
  for (const {item} of longestFirst) order.push({item, reason});
}

/**
 * Appends the samples of a step's target groups. If all of these groups can
 * complete in time, the longest sample among those of equally complete groups
 * goes first, because the last sample to end decides. Otherwise they go group by
 * group, so that some are complete in time.
 */
function appendTargets<Item>(
  order: Array<OrderedItem<Item>>,
  plan: StepPlan<Item>,
): void {
  const reason = getReason(plan);
  if (plan.slackMs < 0) {
    for (const {queued} of plan.targets) {
      appendLongestFirst(order, queued, reason);
    }
    return;
  }
  const byUnfinished = new Map<number, Array<QueuedLength<Item>>>();
  for (const {unfinished, queued} of plan.targets) {
    const equal = byUnfinished.get(unfinished) ?? [];
    byUnfinished.set(unfinished, equal.concat(queued));
  }
  for (const [, queued] of [...byUnfinished].sort(([a], [b]) => a - b)) {
    appendLongestFirst(order, queued, reason);
  }
}

/**
 * Returns the queued samples in the order in which they start. It answers a load
 * of several steps that compete for too few slots.
 *
 * The step with the least slack goes first, because the others still complete in
 * time after it; steps that are equally urgent go in the order of acceptance. A step that can't complete another group in time would only
 * make the others late, so it comes after them. A trainer continues once its
 * target groups are complete, so samples of other groups wait for the target
 * groups of all steps. `overtakenMs` bounds for how long a step may be passed.
 *
 * @param now Wall-clock time, ms.
 */
export function orderBySlack<Item>(
  now: number,
  steps: ReadonlyArray<OpenStep<Item>>,
): Array<OrderedItem<Item>> {
  const plans = steps.map(step => createPlan(now, step)).sort(comparePlans);
  const order: Array<OrderedItem<Item>> = [];
  for (const plan of plans) appendTargets(order, plan);
  for (const {others} of plans) {
    for (const {queued} of others) {
      appendLongestFirst(order, queued, 'beyond_target');
    }
  }
  return order;
}

/**
 * Records that a sample of a step starts while other steps have queued samples
 * that could have started instead: these fall behind by its work, and its own
 * step catches up by as much.
 *
 * @param overtaken Work by which each step is behind, ms; entries are added and
 *     changed.
 * @param workMs Expected duration of the sample divided by the number of samples
 *     that run at the same time.
 */
export function recordStepStart<Step>(
  overtaken: Map<Step, number>,
  started: Step,
  waiting: Iterable<Step>,
  workMs: number,
): void {
  for (const step of waiting) {
    if (step === started) continue;
    const sum = (overtaken.get(step) ?? 0) + workMs;
    overtaken.set(step, Math.min(sum, MAX_RECORDED_MS));
  }
  const own = overtaken.get(started) ?? 0;
  if (own > 0) overtaken.set(started, Math.max(0, own - workMs));
}
