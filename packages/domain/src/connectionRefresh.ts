import type {MonotonicMs} from '@vanillacross/common';

/** A connection to an upstream on which no request runs. */
export interface IdleConnection {
  /** When it will be closed unless it is used. */
  closesAt: MonotonicMs;
  /** Number of times that it was refreshed since its last request. */
  refreshes: number;
}

/**
 * Time before a connection is closed at which it is refreshed, ms. It covers two
 * rounds of the task that refreshes connections.
 */
const REFRESH_MARGIN_MS = 2_500;
/**
 * Number of refreshes after a request. Engines of a model load versions by turns,
 * so that one half of them is used by every other step; a connection that is not
 * needed by then is given up.
 */
const MAX_REFRESHES = 1;

/**
 * Whether an idle connection is to be kept open by a health request. It answers
 * bursts that come at longer intervals than upstreams keep connections open:
 * without it, each burst opens new ones.
 */
export function isRefreshDue(
  {closesAt, refreshes}: IdleConnection,
  now: MonotonicMs,
): boolean {
  return refreshes < MAX_REFRESHES && closesAt - now <= REFRESH_MARGIN_MS;
}
