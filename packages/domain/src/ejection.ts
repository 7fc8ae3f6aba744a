/** Failures of one upstream in a row, as one entry saw them; immutable. */
export interface UpstreamHealth {
  failures: number;
  /** Until then the upstream gets nothing; monotonic, ms. */
  ejectedUntil: number;
}

/** One failure may be the request's fault; two in a row eject. */
const FAILURES_TO_EJECT = 2;
/** First ejection, ms; each further failure doubles it. */
const EJECTION_BASE_MS = 200;
/** Longest ejection, ms. */
const EJECTION_MAX_MS = 10_000;

export const healthyUpstream: UpstreamHealth = {failures: 0, ejectedUntil: 0};

/**
 * Counts a failure at `now`. The ejection is drawn between half and all of
 * its span, so that the entries do not probe an upstream at the same time.
 */
export function addUpstreamFailure(
  health: UpstreamHealth,
  now: number,
  random: () => number,
): UpstreamHealth {
  const failures = health.failures + 1;
  if (failures < FAILURES_TO_EJECT) return {...health, failures};
  // Requests that were running when it failed first must not prolong it.
  if (now < health.ejectedUntil) return health;
  const doublings = failures - FAILURES_TO_EJECT;
  const span = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** doublings);
  const ejectedUntil = now + span * (0.5 + random() / 2);
  return {failures, ejectedUntil};
}

/**
 * Says whether an upstream gets nothing now. After its ejection it gets one
 * request at a time until one succeeds.
 */
export function isUpstreamEjected(
  health: UpstreamHealth,
  now: number,
  inFlight: number,
): boolean {
  if (health.failures < FAILURES_TO_EJECT) return false;
  return now < health.ejectedUntil || inFlight > 0;
}
