import type {WeightSpan} from './messages.js';

/**
 * Version of tokens whose label is missing or contradicts the live versions, and
 * of all tokens of a response with too many spans.
 */
export const MISMATCHED_VERSION = -1;
/** How long tokens of a replaced version may still be in flight, ms. */
export const VERSION_CHANGE_GRACE_MS = 1_000;
/** Maximum number of live periods kept. */
const MAX_PERIODS = 32;
/**
 * Maximum number of spans of one response. With more version changes, all its
 * tokens become one mismatched span.
 */
const MAX_SPANS = 64;

interface LivePeriod {
  version: number;
  /**
   * Time at which another version was confirmed, ms; null while this one is
   * live.
   */
  endedAt: number | null;
}

/** Versions that an engine has served, as known to its agent; immutable. */
export interface LiveVersions {
  /** Number of periods removed from the front. */
  dropped: number;
  periods: readonly LivePeriod[];
  /**
   * Version whose activation the engine has not confirmed yet; null if none.
   */
  pending: number | null;
}

export const noLiveVersions: LiveVersions = {
  dropped: 0,
  periods: [],
  pending: null,
};

/** Returns the version that is live for the next tokens; 0 if unknown. */
export function getLiveVersion(live: LiveVersions): number {
  return live.periods.at(-1)?.version ?? 0;
}

/**
 * Sets the version whose activation was sent to the engine; `pending` is null
 * to clear it, after a failure or if the outcome is unknown.
 */
export function withPendingVersion(
  live: LiveVersions,
  pending: number | null,
): LiveVersions {
  return {...live, pending};
}

/** Records a version that the engine has confirmed as live. */
export function withConfirmedVersion(
  live: LiveVersions,
  version: number,
  nowMs: number,
): LiveVersions {
  const pending = live.pending === version ? null : live.pending;
  if (live.periods.length > 0 && getLiveVersion(live) === version) {
    return pending === live.pending ? live : {...live, pending};
  }
  const closed = live.periods.map(period =>
    period.endedAt === null ? {...period, endedAt: nowMs} : period,
  );
  const periods = [...closed, {version, endedAt: null}];
  const excess = Math.max(0, periods.length - MAX_PERIODS);
  return {
    dropped: live.dropped + excess,
    periods: periods.slice(excess),
    pending,
  };
}

/** Spans of one response as observed so far; immutable. */
export interface ObservedSpans {
  spans: readonly WeightSpan[];
  /**
   * Index of the period of the newest tokens, counted from the first period
   * ever. It never decreases within a response.
   */
  period: number;
  mismatches: number;
}

export const noObservedSpans: ObservedSpans = {
  spans: [],
  period: 0,
  mismatches: 0,
};

/**
 * Finds the period that matches the engine's label. A replaced version matches
 * only while its last tokens may be in flight. A pending version already
 * matches, because the engine may start to serve it before its response to the
 * activation arrives.
 */
function findPeriod(
  live: LiveVersions,
  version: number,
  firstPeriod: number,
  nowMs: number,
): number | null {
  const first = Math.max(firstPeriod - live.dropped, 0);
  for (let i = first; i < live.periods.length; i++) {
    const {version: known, endedAt} = live.periods[i];
    if (known !== version) continue;
    if (endedAt === null || nowMs - endedAt <= VERSION_CHANGE_GRACE_MS) {
      return i + live.dropped;
    }
  }
  if (live.pending === version) return live.periods.length + live.dropped;
  return null;
}

function appendSpan(
  spans: readonly WeightSpan[],
  version: number,
  tokens: number,
) {
  const last = spans.at(-1);
  if (last && last[0] === version) {
    return [...spans.slice(0, -1), [version, last[1] + tokens] as WeightSpan];
  }
  if (spans.length >= MAX_SPANS) {
    const sum = spans.reduce((total, span) => total + span[1], tokens);
    return [[MISMATCHED_VERSION, sum] as WeightSpan];
  }
  return [...spans, [version, tokens] as WeightSpan];
}

/**
 * Adds tokens with the engine's label; `label` is null if they have none.
 * Tokens whose label is missing or contradicts the live versions get
 * `MISMATCHED_VERSION`.
 */
export function addTokens(
  observed: ObservedSpans,
  live: LiveVersions,
  label: number | null,
  tokens: number,
  nowMs: number,
): ObservedSpans {
  const period =
    label === null ? null : findPeriod(live, label, observed.period, nowMs);
  if (label === null || period === null) {
    return {
      ...observed,
      spans: appendSpan(observed.spans, MISMATCHED_VERSION, tokens),
      mismatches: observed.mismatches + 1,
    };
  }
  return {
    ...observed,
    spans: appendSpan(observed.spans, label, tokens),
    period,
  };
}
