/** Consecutive failures of one upstream as seen by one entry; immutable. */
export interface UpstreamHealth {
  failures: number;
  /**
   * End of the ejection, monotonic ms; the upstream gets no requests before it.
   */
  ejectedUntil: number;
}

/**
 * Consecutive failures that eject an upstream. A single one may be the fault of
 * the request.
 */
const FAILURES_TO_EJECT = 2;
/** Duration of the first ejection, ms; it doubles with each further failure. */
const EJECTION_BASE_MS = 200;
/** Maximum duration of an ejection, ms. */
const EJECTION_MAX_MS = 10_000;

export const healthyUpstream: UpstreamHealth = {failures: 0, ejectedUntil: 0};

/**
 * Counts a failure. The ejection gets a random duration between half of its
 * span and all of it, so that the entries do not probe an upstream at the same
 * time.
 */
export function addUpstreamFailure(
  health: UpstreamHealth,
  now: number,
  random: () => number,
): UpstreamHealth {
  const failures = health.failures + 1;
  if (failures < FAILURES_TO_EJECT) return {...health, failures};
  // Requests that were already in flight when the upstream was ejected must not
  // prolong the ejection.
  if (now < health.ejectedUntil) return health;
  const doublings = failures - FAILURES_TO_EJECT;
  const spanMs = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** doublings);
  const ejectedUntil = now + spanMs * (0.5 + random() / 2);
  return {failures, ejectedUntil};
}

/**
 * Returns whether an upstream must not get a request now. After its ejection it
 * gets one request at a time until one succeeds.
 */
export function isUpstreamEjected(
  health: UpstreamHealth,
  now: number,
  inFlight: number,
): boolean {
  if (health.failures < FAILURES_TO_EJECT) return false;
  return now < health.ejectedUntil || inFlight > 0;
}
