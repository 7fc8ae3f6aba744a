/** An upstream as the plan of versions sees it. */
export interface PlannedUpstream {
  id: string;
  domain: string;
  /** Version by model. */
  versions: ReadonlyMap<string, number>;
  /** Model that an order under way changes; null without one. */
  updatingModel: string | null;
  /** It refused an order or did not answer a moment ago. */
  isBackingOff: boolean;
}

/** A change of version that should start now. */
export interface WeightUpdate {
  upstream: string;
  model: string;
  version: number;
}

/** A model whose version its trainer has named. */
export interface AnnouncedModel {
  version: number;
  /** Time since it was named, ms. */
  ageMs: number;
  /** Oldest version that an open step can use. */
  neededVersion: number;
}

export interface WeightPlanInput {
  /** Models that the pool serves, named or not. */
  modelCount: number;
  /** The newest named version by model. */
  announced: ReadonlyMap<string, AnnouncedModel>;
  /** The pool's upstreams. */
  upstreams: readonly PlannedUpstream[];
}

/**
 * Time after the naming of a version in which its step is submitted, so that
 * the oldest version that the model still needs is known, ms.
 */
const SETTLE_MS = 300;
/**
 * Time after the naming of a version in which engines that can still serve
 * take the new step's samples instead of loading, ms.
 */
const LOAD_DELAY_MS = 1_500;
/** Part of all engines that may load at once without slowing each other. */
const MOVING_SHARE = 0.3;
/** Engines that may load at once in a small deployment. */
const MIN_MOVES = 2;
/** Part of the engines that serve a model which may load at once. */
const SERVING_MOVES_SHARE = 0.5;

/**
 * The moves that should start now. Each version goes to a model's equal share
 * of the engines. Engines whose version is too old for the open steps come
 * first, so that those with the version before serve on while the new one
 * loads elsewhere.
 */
export function planWeightUpdates(input: WeightPlanInput): WeightUpdate[] {
  const {upstreams, announced: named} = input;
  const moves: WeightUpdate[] = [];
  const most = Math.max(MIN_MOVES, Math.floor(upstreams.length * MOVING_SHARE));
  const taken = new Set(upstreams.filter(u => u.updatingModel !== null));
  for (const model of [...named.keys()].sort()) {
    const {version} = named.get(model)!;
    const room = Math.min(most - taken.size, getMissing(input, model));
    for (const upstream of getCandidates(input, model, taken)) {
      const isOver = moves.filter(move => move.model === model).length >= room;
      if (isOver) break;
      taken.add(upstream);
      moves.push({upstream: upstream.id, model, version});
    }
  }
  return moves;
}

/** Upstreams that a model's newest version still has to come to. */
function getMissing(input: WeightPlanInput, model: string): number {
  const {upstreams, modelCount, announced: named} = input;
  const {version} = named.get(model)!;
  const share = Math.max(1, Math.floor(upstreams.length / modelCount));
  const reached = upstreams.filter(
    upstream =>
      upstream.updatingModel === model ||
      getVersion(upstream, model) >= version,
  );
  return share - reached.length;
}

/** Upstreams that may load a model's newest version now, the best first. */
function getCandidates(
  input: WeightPlanInput,
  model: string,
  taken: ReadonlySet<PlannedUpstream>,
): PlannedUpstream[] {
  const {upstreams, announced: named} = input;
  const {version, ageMs, neededVersion} = named.get(model)!;
  const isServing = (upstream: PlannedUpstream) =>
    upstream.updatingModel !== model &&
    getVersion(upstream, model) >= neededVersion;
  const serving = upstreams.filter(isServing);
  const free = upstreams
    .filter(upstream => !taken.has(upstream) && !upstream.isBackingOff)
    .filter(upstream => getVersion(upstream, model) < version);
  const ranked = rankUpstreams(input, model, free);
  const idle = ranked.filter(upstream => !isServing(upstream));
  const isSettled = ageMs >= SETTLE_MS || serving.length === 0;
  const moving = upstreams.filter(
    upstream => upstream.updatingModel === model,
  ).length;
  const mayMove = Math.max(
    1,
    Math.floor((serving.length + moving) * SERVING_MOVES_SHARE),
  );
  const servingRoom = ageMs >= LOAD_DELAY_MS ? mayMove - moving : 0;
  return [
    ...(isSettled ? idle : []),
    ...ranked.filter(isServing).slice(0, Math.max(0, servingRoom)),
  ];
}

/**
 * Prefers upstreams that are not the newest of other models, then failure
 * domains without the newest version, then the oldest version.
 */
function rankUpstreams(
  input: WeightPlanInput,
  model: string,
  upstreams: readonly PlannedUpstream[],
): PlannedUpstream[] {
  const {announced: named} = input;
  const {version} = named.get(model)!;
  const reached = new Set(
    input.upstreams
      .filter(u => u.updatingModel === model || getVersion(u, model) >= version)
      .map(u => u.domain),
  );
  const getOthers = (upstream: PlannedUpstream) =>
    [...named].filter(
      ([other, {version: newest}]) =>
        other !== model &&
        (upstream.updatingModel === other ||
          getVersion(upstream, other) >= newest),
    ).length;
  const compare = (a: PlannedUpstream, b: PlannedUpstream) =>
    getOthers(a) - getOthers(b) ||
    Number(reached.has(a.domain)) - Number(reached.has(b.domain)) ||
    getVersion(a, model) - getVersion(b, model) ||
    (a.id < b.id ? -1 : 1);
  return [...upstreams].sort(compare);
}

function getVersion(upstream: PlannedUpstream, model: string): number {
  return upstream.versions.get(model) ?? 0;
}
