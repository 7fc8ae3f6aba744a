/** An upstream as the plan of versions sees it. */
export interface PlannedUpstream {
  id: string;
  domain: string;
  /** Version by model. */
  versions: ReadonlyMap<string, number>;
  /** An order to it is under way. */
  isMoving: boolean;
  /** It refused an order or did not answer a moment ago. */
  isPostponed: boolean;
}

/** A change of version that should start now. */
export interface WeightMove {
  upstream: string;
  model: string;
  version: number;
}

/** A model whose version its trainer has named. */
export interface NamedModel {
  version: number;
  /** Time since it was named, ms. */
  ageMs: number;
  /** Oldest version that an open step can use. */
  neededVersion: number;
}

/**
 * Time after the naming of a version in which engines that can still serve
 * take the new step's samples instead of loading, ms.
 */
const LOAD_DELAY_MS = 400;

export interface WeightPlanInput {
  /** The newest named version by model. */
  named: ReadonlyMap<string, NamedModel>;
  upstreams: readonly PlannedUpstream[];
}

/** The upstreams that keep a model's versions up to date, by model. */
export function assignModels(
  input: WeightPlanInput,
): Map<string, PlannedUpstream[]> {
  const models = [...input.named.keys()].sort();
  const assigned = new Map<string, PlannedUpstream[]>();
  const free = new Set(input.upstreams);
  for (const model of models) assigned.set(model, []);
  // In turn, so that each model gets a share even if upstreams are missing.
  while (free.size > 0 && models.length > 0) {
    for (const model of models) {
      const best = pickUpstream([...free], model, assigned.get(model)!);
      if (!best) continue;
      free.delete(best);
      assigned.get(model)!.push(best);
    }
  }
  return assigned;
}

/** Prefers the newest version, then a failure domain not yet used. */
function pickUpstream(
  free: readonly PlannedUpstream[],
  model: string,
  taken: readonly PlannedUpstream[],
): PlannedUpstream | null {
  const domains = new Set(taken.map(upstream => upstream.domain));
  const getRank = (upstream: PlannedUpstream) => {
    const own = upstream.versions.get(model) ?? 0;
    const others = [...upstream.versions]
      .filter(([name]) => name !== model)
      .map(([, version]) => version);
    // What another model has moved further is rather left to that model.
    const lead = own - Math.max(0, ...others);
    return lead * 2 + (domains.has(upstream.domain) ? 0 : 1);
  };
  const ranked = [...free].sort(
    (a, b) => getRank(b) - getRank(a) || (a.id < b.id ? -1 : 1),
  );
  return ranked[0] ?? null;
}

/** Part of all engines that may load at once without slowing each other. */
const MOVING_SHARE = 0.3;
/** Engines that may load at once in a small deployment. */
const MIN_MOVES = 2;
/** Part of a model's engines that may load at once; the rest serve. */
const MODEL_MOVING_SHARE = 0.5;

/**
 * The moves that should start now. Of a model's engines that serve its open
 * steps half move at a time, at least one; engines whose version is too old
 * for them have nothing to serve and need not wait.
 */
export function planMoves(input: WeightPlanInput): WeightMove[] {
  const {upstreams, named} = input;
  const moves: WeightMove[] = [];
  const most = Math.max(MIN_MOVES, Math.floor(upstreams.length * MOVING_SHARE));
  let room = most - upstreams.filter(upstream => upstream.isMoving).length;
  for (const [model, assigned] of assignModels(input)) {
    const {version, neededVersion} = named.get(model)!;
    const stale = assigned
      .filter(upstream => !upstream.isMoving && !upstream.isPostponed)
      .filter(upstream => getVersion(upstream, model) < version)
      .sort((a, b) => getVersion(a, model) - getVersion(b, model));
    const isIdle = (upstream: PlannedUpstream) =>
      getVersion(upstream, model) < neededVersion;
    const idle = stale.filter(isIdle);
    const serving = stale.filter(upstream => !isIdle(upstream));
    const servingRoom = getServingRoom(assigned, model, named.get(model)!);
    const chosen = [...idle, ...serving.slice(0, servingRoom)];
    for (const upstream of chosen.slice(0, Math.max(0, room))) {
      room--;
      moves.push({upstream: upstream.id, model, version});
    }
  }
  return moves;
}

/** Engines of a model that may stop serving its open steps now. */
function getServingRoom(
  assigned: readonly PlannedUpstream[],
  model: string,
  named: NamedModel,
): number {
  if (named.ageMs < LOAD_DELAY_MS) return 0;
  const serving = assigned.filter(
    upstream =>
      !upstream.isMoving && getVersion(upstream, model) >= named.neededVersion,
  );
  const kept = assigned.length - getMovingShare(assigned.length);
  return Math.max(0, serving.length - kept);
}

/** Engines out of a model's that may load at once. */
function getMovingShare(engines: number): number {
  return Math.max(1, Math.floor(engines * MODEL_MOVING_SHARE));
}

function getVersion(upstream: PlannedUpstream, model: string): number {
  return upstream.versions.get(model) ?? 0;
}
