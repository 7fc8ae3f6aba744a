/** Replicas that fetch from one source at the same time. */
export const WEIGHT_FAN_OUT = 4;
/** Share of a pool that keeps serving while weights change. */
export const MIN_SERVING_SHARE = 0.75;
/** Failures after which a replica no longer delays the others. */
const BLOCKING_FAILURES = 2;
/** Duration of a stage order after which it no longer delays others, ms. */
const STUCK_STAGE_MS = 10_000;
/** First and longest wait before a failed swap is retried, ms. */
const RETRY_MS = 1_000;
const MAX_RETRY_MS = 30_000;

/** One model replica as its agent reports it. */
export interface WeightReplica {
  id: string;
  domain: string;
  /** Address that peers fetch from, `ip:port`. */
  address: string;
  /** Live version. */
  version: number;
  /** Engine epoch; staged weights are lost when it changes. */
  epoch: string;
  /** True if it is heard, warm and gets requests. */
  isServing: boolean;
  isReachable: boolean;
}

/** What the plan did with one replica so far. */
interface ReplicaProgress {
  epoch: string;
  staged: number;
  /** Highest version that it was told to activate and confirmed. */
  activated: number;
  failures: number;
  /** Orders for the target that were made; part of the order id. */
  attempt: number;
  /** Deadline before which no new order is sent, ms. */
  retryAtMs: number;
  running: WeightStep | null;
  /** When the running step was planned, ms. */
  sinceMs: number;
}

/** One order to one replica. */
export interface WeightStep {
  type: 'stage' | 'activate';
  replica: string;
  version: number;
  attempt: number;
  /** Id of the replica to fetch from; the store if absent. */
  sourceId?: string;
  /** Address of that replica. */
  source?: string;
}

/** Progress of one pool; immutable. */
export interface WeightRollout {
  /** Highest published version; 0 before the first. */
  target: number;
  progress: ReadonlyMap<string, ReplicaProgress>;
}

export const noRollout: WeightRollout = {target: 0, progress: new Map()};

/** Takes over the highest published version; lower ones never count. */
export function reconcileTarget(
  rollout: WeightRollout,
  published: ReadonlyArray<{version: number}>,
): WeightRollout {
  const target = published.reduce(
    (highest, {version}) => Math.max(highest, version),
    rollout.target,
  );
  if (target === rollout.target) return rollout;
  const progress = new Map(
    [...rollout.progress].map(([id, item]) => [
      id,
      {...item, failures: 0, attempt: 0, retryAtMs: 0},
    ]),
  );
  return {target, progress};
}

function createProgress(epoch: string): ReplicaProgress {
  return {
    epoch,
    staged: 0,
    activated: 0,
    failures: 0,
    attempt: 0,
    retryAtMs: 0,
    running: null,
    sinceMs: 0,
  };
}

/** Forgets absent replicas, and what an engine lost with its epoch. */
function reconcileReplicas(
  rollout: WeightRollout,
  replicas: readonly WeightReplica[],
): WeightRollout {
  const progress = new Map<string, ReplicaProgress>();
  for (const {id, epoch} of replicas) {
    const known = rollout.progress.get(id) ?? createProgress(epoch);
    const isSame = known.epoch === epoch;
    progress.set(
      id,
      isSame
        ? known
        : {
            ...createProgress(epoch),
            attempt: known.attempt,
            running: known.running,
            sinceMs: known.sinceMs,
          },
    );
  }
  return {...rollout, progress};
}

/** A report with the old version may be older than the confirmation. */
function isLive(
  replica: WeightReplica,
  progress: ReplicaProgress,
  target: number,
): boolean {
  return replica.version >= target || progress.activated >= target;
}

function isStaged(
  replica: WeightReplica,
  progress: ReplicaProgress,
  target: number,
): boolean {
  return isLive(replica, progress, target) || progress.staged >= target;
}

function isIdle(progress: ReplicaProgress, nowMs: number): boolean {
  return progress.running === null && progress.retryAtMs <= nowMs;
}

interface Item {
  replica: WeightReplica;
  progress: ReplicaProgress;
}

/** Oldest version first, so that a stale returner is ordered first. */
function getItems(
  rollout: WeightRollout,
  replicas: readonly WeightReplica[],
): Item[] {
  return replicas
    .map(replica => ({
      replica,
      progress: rollout.progress.get(replica.id) as ReplicaProgress,
    }))
    .sort(
      (a, b) =>
        a.replica.version - b.replica.version ||
        (a.replica.id < b.replica.id ? -1 : 1),
    );
}

interface Source {
  item: Item | null;
  free: number;
}

/** Sources with a free place: staged replicas, and the store. */
function getSources(items: readonly Item[], target: number): Source[] {
  const used = new Map<string, number>();
  for (const {progress} of items) {
    if (progress.running?.type !== 'stage') continue;
    const source = progress.running.sourceId ?? '';
    used.set(source, (used.get(source) ?? 0) + 1);
  }
  const peers = items.filter(
    item =>
      item.replica.isReachable &&
      item.progress.running === null &&
      isStaged(item.replica, item.progress, target) &&
      item.replica.version <= target,
  );
  return [...peers, null]
    .map(item => ({
      item,
      free: WEIGHT_FAN_OUT - (used.get(item?.replica.id ?? '') ?? 0),
    }))
    .filter(source => source.free > 0);
}

/** Peers of the own failure domain first, then other peers, then the store. */
function takeSource(sources: Source[], domain: string): Source | null {
  const isFree = (source: Source) => source.free > 0;
  const chosen =
    sources.find(s => isFree(s) && s.item?.replica.domain === domain) ??
    sources.find(s => isFree(s) && s.item !== null) ??
    sources.find(isFree);
  if (!chosen) return null;
  chosen.free--;
  return chosen;
}

function planStages(
  items: readonly Item[],
  target: number,
  nowMs: number,
): WeightStep[] {
  const sources = getSources(items, target);
  const steps: WeightStep[] = [];
  for (const {replica, progress} of items) {
    if (!replica.isReachable || !isIdle(progress, nowMs)) continue;
    if (isStaged(replica, progress, target)) continue;
    const source = takeSource(sources, replica.domain);
    if (!source) break;
    const peer = source.item?.replica;
    steps.push({
      type: 'stage',
      replica: replica.id,
      version: target,
      attempt: progress.attempt,
      ...(peer ? {sourceId: peer.id, source: peer.address} : {}),
    });
  }
  return steps;
}

/**
 * Replicas that may stop serving now. A pool with fewer than four replicas
 * cannot keep 75% while one swaps; it swaps one at a time.
 */
function getSwapAllowance(items: readonly Item[]): number {
  const serving = items.filter(
    ({replica, progress}) =>
      replica.isServing && progress.running?.type !== 'activate',
  ).length;
  const needed = Math.min(
    Math.ceil(items.length * MIN_SERVING_SHARE),
    items.length - 1,
  );
  return Math.max(0, serving - needed);
}

/** True when every replica that can be staged in time is staged. */
function isStagedEverywhere(
  items: readonly Item[],
  target: number,
  nowMs: number,
): boolean {
  return items.every(
    ({replica, progress}) =>
      !replica.isReachable ||
      progress.failures >= BLOCKING_FAILURES ||
      (progress.running && nowMs >= progress.sinceMs + STUCK_STAGE_MS) ||
      isStaged(replica, progress, target),
  );
}

function planActivations(
  items: readonly Item[],
  target: number,
  nowMs: number,
): WeightStep[] {
  if (!isStagedEverywhere(items, target, nowMs)) return [];
  let allowance = getSwapAllowance(items);
  const steps: WeightStep[] = [];
  for (const {replica, progress} of items) {
    if (!replica.isReachable || !isIdle(progress, nowMs)) continue;
    if (isLive(replica, progress, target)) continue;
    if (progress.staged < target) continue;
    // A replica that does not serve costs no capacity when it swaps.
    if (replica.isServing && allowance-- <= 0) continue;
    steps.push({
      type: 'activate',
      replica: replica.id,
      version: target,
      attempt: progress.attempt,
    });
  }
  return steps;
}

/** Decides the next orders of a pool and marks them as running. */
export function planWeights(
  rollout: WeightRollout,
  replicas: readonly WeightReplica[],
  nowMs: number,
): {rollout: WeightRollout; steps: WeightStep[]} {
  const current = reconcileReplicas(rollout, replicas);
  if (current.target === 0) return {rollout: current, steps: []};
  const items = getItems(current, replicas);
  const stages = planStages(items, current.target, nowMs);
  const steps = [...stages, ...planActivations(items, current.target, nowMs)];
  const progress = new Map(current.progress);
  for (const step of steps) {
    const item = progress.get(step.replica) as ReplicaProgress;
    progress.set(step.replica, {...item, running: step, sinceMs: nowMs});
  }
  return {rollout: {...current, progress}, steps};
}

/** What became of one step. */
export interface StepOutcome {
  step: WeightStep;
  isDone: boolean;
}

function getFinished(
  item: ReplicaProgress,
  {step, isDone}: StepOutcome,
  nowMs: number,
): ReplicaProgress {
  const ended = {...item, running: null, attempt: item.attempt + 1};
  if (!isDone) {
    const failures = item.failures + 1;
    const waitMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** (failures - 1));
    // After a failed activation the staged copy may be damaged.
    const staged = step.type === 'activate' ? 0 : item.staged;
    return {...ended, staged, failures, retryAtMs: nowMs + waitMs};
  }
  const staged = Math.max(item.staged, step.version);
  const isSwap = step.type === 'activate';
  const activated = isSwap ? step.version : item.activated;
  return {...ended, staged, activated, failures: 0, retryAtMs: nowMs};
}

/** Records outcomes of steps; failed ones are retried with backoff. */
export function finishSteps(
  rollout: WeightRollout,
  outcomes: readonly StepOutcome[],
  nowMs: number,
): WeightRollout {
  if (outcomes.length === 0) return rollout;
  const progress = new Map(rollout.progress);
  for (const outcome of outcomes) {
    const item = progress.get(outcome.step.replica);
    if (!item || item.running !== outcome.step) continue;
    progress.set(outcome.step.replica, getFinished(item, outcome, nowMs));
  }
  return {...rollout, progress};
}

/** True when every reachable replica runs the target. */
export function isRolloutComplete(
  rollout: WeightRollout,
  replicas: readonly WeightReplica[],
): boolean {
  return replicas.every(
    replica => !replica.isReachable || replica.version >= rollout.target,
  );
}
