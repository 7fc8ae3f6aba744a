/** An upstream that may take a request now. */
export interface PlacementCandidate {
  /** Known number of its running and queued requests. */
  occupancy: number;
  /** Time that work takes on its machine, relative to the usual time. */
  pace: number;
  isOtherDomain: boolean;
  /** Whether the request needs no new connection. */
  hasIdleConnection: boolean;
  /** Fraction of the request's work that a cached prompt saves. */
  savedWork: number;
}

/** The terms of a candidate's cost, in requests. */
export interface PlacementCost {
  /** Requests above the fill level, at the pace of the upstream's machine. */
  wait: number;
  otherDomain: number;
  newConnection: number;
  /** Work that a cached prompt saves; it lowers the cost. */
  savedWork: number;
  total: number;
}

/** Cost of another failure domain, in requests. */
const OTHER_DOMAIN_COST = 0.5;
/**
 * Cost of opening a connection, in requests. It is above that of another domain,
 * because the upstream spends time on it and holds a slot meanwhile.
 */
const NEW_CONNECTION_COST = 0.75;

/**
 * Returns the number of requests that the least loaded upstreams have once all
 * requests that wait are placed as evenly as possible.
 */
export function getFillLevel(
  occupancies: readonly number[],
  waitingCount: number,
): number {
  const sorted = [...occupancies].sort((a, b) => a - b);
  let left = waitingCount;
  let level = sorted[0] ?? 0;
  for (let count = 1; count < sorted.length; count++) {
    const step = sorted[count] - level;
    if (left < step * count) return level + left / count;
    left -= step * count;
    level = sorted[count];
  }
  return sorted.length === 0 ? 0 : level + left / sorted.length;
}

/**
 * Returns the cost of placing a request at an upstream. It answers bursts of
 * requests, such as the samples of a step, that are placed one by one. Up to the
 * fill level a place delays nobody, because the other requests that wait raise
 * all upstreams to that level anyway. There, idle connections and cached prompts
 * decide, so that a burst opens few connections and reads few prompts. Above it,
 * each request there delays the others by its own work.
 */
export function getPlacementCost(
  candidate: PlacementCandidate,
  fillLevel: number,
): PlacementCost {
  const {occupancy, pace, savedWork} = candidate;
  const above = Math.max(0, occupancy + 1 - Math.ceil(fillLevel));
  const wait = (above + 1) * pace - 1;
  const otherDomain = candidate.isOtherDomain ? OTHER_DOMAIN_COST : 0;
  const newConnection = candidate.hasIdleConnection ? 0 : NEW_CONNECTION_COST;
  const total = wait + otherDomain + newConnection - savedWork;
  return {wait, otherDomain, newConnection, savedWork, total};
}

/**
 * Time constant with which a machine's stated pace is expected to return to the
 * usual one, ms. The pace changes many times a second.
 */
const PACE_DECAY_MS = 500;

/** Returns the expected pace of a machine that stated one some time ago. */
export function getExpectedPace(statedPace: number, ageMs: number): number {
  return 1 + (statedPace - 1) * Math.exp(-ageMs / PACE_DECAY_MS);
}
