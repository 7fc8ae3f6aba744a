/** The state of an upstream that planning depends on. */
export interface PlannedUpstream {
  id: string;
  domain: string;
  /** The version that it serves of each model. */
  versions: ReadonlyMap<string, number>;
  /** Model whose update is in progress; null if there is none. */
  updatingModel: string | null;
  /**
   * Whether it must not be updated yet because its last update did not
   * complete.
   */
  isBackingOff: boolean;
}

/** A version update that should start now. */
export interface WeightUpdate {
  upstream: string;
  model: string;
  version: number;
}

/** A model with a version that its trainer has announced. */
export interface AnnouncedModel {
  version: number;
  /** Time since the announcement, ms. */
  ageMs: number;
  /** Oldest version that all open steps can use. */
  neededVersion: number;
  /**
   * Oldest version that the step after the announcement is expected to need; 0 if
   * unknown.
   */
  expectedVersion: number;
}

export interface WeightPlanInput {
  /** Number of models that the pool serves, announced or not. */
  modelCount: number;
  /** The newest announced version of each model. */
  announced: ReadonlyMap<string, AnnouncedModel>;
  /** The pool's upstreams. */
  upstreams: readonly PlannedUpstream[];
  /**
   * Ids of the home engines of each model, which load its versions first; null
   * if any engine may load any model.
   */
  homes: ReadonlyMap<string, ReadonlySet<string>> | null;
}

/**
 * Delay after an announcement before engines load the version if others can
 * serve the open steps, ms. It lets the trainer submit the version's first
 * step, which may change the oldest version still needed.
 */
const SETTLE_DELAY_MS = 300;
/**
 * Time after an announcement during which engines that can still serve the new
 * step take its samples instead of loading, ms.
 */
const LOAD_DELAY_MS = 1_500;
/**
 * Maximum fraction of a pool's engines that may load at the same time, so that
 * they do not slow each other down.
 */
const MAX_UPDATING_SHARE = 0.3;
/** Lower bound of the number of concurrent loads, for small pools. */
const MIN_CONCURRENT_UPDATES = 2;
/**
 * Maximum fraction of the engines serving a model that may be updated at the
 * same time.
 */
const MAX_SERVING_UPDATE_SHARE = 0.5;

/**
 * Returns the updates that should start now. Each model's newest version is
 * loaded by the same number of engines: the pool's size divided by its number
 * of models. Engines whose version is too old for the open steps are updated
 * first, so that those with the previous version keep serving while the new one
 * loads elsewhere.
 */
export function planWeightUpdates(input: WeightPlanInput): WeightUpdate[] {
  const {upstreams, announced} = input;
  const updates: WeightUpdate[] = [];
  const maxUpdating = Math.max(
    MIN_CONCURRENT_UPDATES,
    Math.floor(upstreams.length * MAX_UPDATING_SHARE),
  );
  const busy = new Set(upstreams.filter(u => u.updatingModel !== null));
  if (input.homes) return planByNeed(input, busy, maxUpdating);
  for (const model of [...announced.keys()].sort()) {
    const {version} = announced.get(model)!;
    const capacity = Math.min(
      maxUpdating - busy.size,
      getMissingCount(input, model),
    );
    for (const upstream of getCandidates(input, model, busy)) {
      const isFull =
        updates.filter(update => update.model === model).length >= capacity;
      if (isFull) break;
      busy.add(upstream);
      updates.push({upstream: upstream.id, model, version});
    }
  }
  return updates;
}

/** Updates that a model may still get in a planning round. */
interface ModelPlan {
  model: string;
  /** Number of engines that its open steps can use, now or after an update. */
  usableCount: number;
  missingCount: number;
  /** Engines that may be updated, best first. */
  candidates: PlannedUpstream[];
}

/**
 * Plans updates one by one, each for the model that has the fewest engines that
 * its open steps can use. It answers several announcements at about the same
 * time, as after an outage of the store: by model, those that have engines for
 * their steps would load while the steps of others wait for several loads in a
 * row.
 */
function planByNeed(
  input: WeightPlanInput,
  busy: Set<PlannedUpstream>,
  maxUpdating: number,
): WeightUpdate[] {
  const {announced} = input;
  const updates: WeightUpdate[] = [];
  const plans = [...announced.keys()].sort().map(model => ({
    model,
    usableCount: countUsable(input, model),
    missingCount: getMissingCount(input, model),
    candidates: getCandidates(input, model, busy),
  }));
  while (busy.size < maxUpdating) {
    const next = getNeediestPlan(plans, busy);
    if (!next) break;
    const upstream = next.candidates.find(u => !busy.has(u))!;
    const {version} = announced.get(next.model)!;
    busy.add(upstream);
    next.usableCount++;
    next.missingCount--;
    updates.push({upstream: upstream.id, model: next.model, version});
  }
  return updates;
}

function getNeediestPlan(
  plans: readonly ModelPlan[],
  busy: ReadonlySet<PlannedUpstream>,
): ModelPlan | null {
  const open = plans.filter(
    ({missingCount, candidates}) =>
      missingCount > 0 && candidates.some(upstream => !busy.has(upstream)),
  );
  return open.reduce<ModelPlan | null>(
    (best, plan) =>
      best && best.usableCount <= plan.usableCount ? best : plan,
    null,
  );
}

/** Returns how many engines serve a model's open steps, now or after a load. */
function countUsable(input: WeightPlanInput, model: string): number {
  const {neededVersion} = input.announced.get(model)!;
  return input.upstreams.filter(
    upstream =>
      upstream.updatingModel === model ||
      getVersion(upstream, model) >= neededVersion,
  ).length;
}

/** Returns how many more upstreams must load a model's newest version. */
function getMissingCount(input: WeightPlanInput, model: string): number {
  const {upstreams, modelCount, announced} = input;
  const {version} = announced.get(model)!;
  const share = Math.max(1, Math.floor(upstreams.length / modelCount));
  const upToDate = upstreams.filter(
    upstream =>
      upstream.updatingModel === model ||
      getVersion(upstream, model) >= version,
  );
  return share - upToDate.length;
}

/** Returns the upstreams that may load a model's newest version, best first. */
function getCandidates(
  input: WeightPlanInput,
  model: string,
  busy: ReadonlySet<PlannedUpstream>,
): PlannedUpstream[] {
  const {upstreams, announced} = input;
  const {version, ageMs, neededVersion, expectedVersion} =
    announced.get(model)!;
  const oldestInUse = Math.max(neededVersion, expectedVersion);
  const isServing = (upstream: PlannedUpstream) =>
    upstream.updatingModel !== model &&
    getVersion(upstream, model) >= oldestInUse;
  const serving = upstreams.filter(isServing);
  const free = upstreams
    .filter(upstream => !busy.has(upstream) && !upstream.isBackingOff)
    .filter(upstream => getVersion(upstream, model) < version);
  const ranked = rankUpstreams(input, model, free);
  const notServing = ranked.filter(upstream => !isServing(upstream));
  const isSettled =
    expectedVersion > 0 || ageMs >= SETTLE_DELAY_MS || serving.length === 0;
  const updatingCount = upstreams.filter(
    upstream => upstream.updatingModel === model,
  ).length;
  const maxServingUpdates = Math.max(
    1,
    Math.floor((serving.length + updatingCount) * MAX_SERVING_UPDATE_SHARE),
  );
  const servingCapacity =
    ageMs >= LOAD_DELAY_MS ? maxServingUpdates - updatingCount : 0;
  return [
    ...(isSettled ? notServing : []),
    ...ranked.filter(isServing).slice(0, Math.max(0, servingCapacity)),
  ];
}

/**
 * Sorts upstreams by preference: first the model's home engines, then those that
 * serve the newest version of the fewest other models, then those in failure domains without the newest
 * version, then those with the oldest version.
 */
function rankUpstreams(
  input: WeightPlanInput,
  model: string,
  upstreams: readonly PlannedUpstream[],
): PlannedUpstream[] {
  const {announced, homes} = input;
  const home = homes?.get(model);
  const isAway = (upstream: PlannedUpstream) =>
    home !== undefined && !home.has(upstream.id);
  const {version} = announced.get(model)!;
  const upToDate = new Set(
    input.upstreams
      .filter(u => u.updatingModel === model || getVersion(u, model) >= version)
      .map(u => u.domain),
  );
  const countOtherModels = (upstream: PlannedUpstream) =>
    [...announced].filter(
      ([other, {version: newest}]) =>
        other !== model &&
        (upstream.updatingModel === other ||
          getVersion(upstream, other) >= newest),
    ).length;
  const compare = (a: PlannedUpstream, b: PlannedUpstream) =>
    Number(isAway(a)) - Number(isAway(b)) ||
    countOtherModels(a) - countOtherModels(b) ||
    Number(upToDate.has(a.domain)) - Number(upToDate.has(b.domain)) ||
    getVersion(a, model) - getVersion(b, model) ||
    (a.id < b.id ? -1 : 1);
  return [...upstreams].sort(compare);
}

function getVersion(upstream: PlannedUpstream, model: string): number {
  return upstream.versions.get(model) ?? 0;
}
