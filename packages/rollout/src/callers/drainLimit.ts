import type {MonotonicMs} from '@vanillacross/common';

import type {Route, RouteKind} from '../model/index.js';
import type {AdmittedRequest} from './admission.js';
import type {Refusal} from './refusal.js';
import {getStoppingRefusal} from './refusal.js';

/** Number of target latencies within which most requests are answered. */
const USUAL_LATENCIES = 3;

type NeededTime = (route: Route, fullMs: number) => number;

function getUsualMs({targetLatencyMs}: Route, fullMs: number): number {
  return Math.min(fullMs, targetLatencyMs * USUAL_LATENCIES);
}

/**
 * Time that must be left to a process that stops so that it takes a request, ms,
 * by the kind of its route. A repeatable request may still be tried. One that may
 * run only once must not be cut, and a stream may last for its full time.
 */
const neededTimes: Readonly<Record<RouteKind, NeededTime>> = {
  idempotent: () => 0,
  non_idempotent: getUsualMs,
  rollout: getUsualMs,
  stream: (_route, fullMs) => fullMs,
};

/**
 * Ends a request of a process that stops by the time of its exit. Returns why it
 * is refused if it would be cut.
 */
export function limitToExit(
  admitted: AdmittedRequest,
  now: MonotonicMs,
  exitAt: MonotonicMs,
): AdmittedRequest | Refusal {
  const {route, deadline} = admitted;
  if (deadline <= exitAt) return admitted;
  const leftMs = exitAt - now;
  const neededMs = neededTimes[route.kind](route, deadline - now);
  if (leftMs <= 0 || leftMs < neededMs) return getStoppingRefusal();
  return {...admitted, deadline: exitAt};
}
