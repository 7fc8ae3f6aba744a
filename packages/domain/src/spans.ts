import type {WeightSpan} from './messages.js';

/** Version of tokens whose label contradicts what the agent saw. */
export const MISMATCHED_VERSION = -1;
/** How long tokens of a replaced version may still be in flight, ms. */
export const SWAP_GRACE_MS = 1_000;
/** Replaced versions that are remembered. */
const MAX_HISTORY = 32;
/** Spans of one answer; more swaps than that end in one mismatched span. */
const MAX_SPANS = 64;

interface LivePeriod {
  version: number;
  /** When another version was confirmed, ms; null while it is live. */
  endedAt: number | null;
}

/** Versions that an engine has served, as its agent learned them; immutable. */
export interface LiveVersions {
  /** Number of periods that were dropped from the front. */
  dropped: number;
  periods: readonly LivePeriod[];
  /** Version of an activation that the engine has not confirmed yet. */
  pending: number | null;
}

export const noLiveVersions: LiveVersions = {
  dropped: 0,
  periods: [],
  pending: null,
};

/** The version that is live for the next tokens; 0 if none is known. */
export function getLiveVersion(live: LiveVersions): number {
  return live.periods.at(-1)?.version ?? 0;
}

/** Records that an activation was sent to the engine, or that it failed. */
export function withPendingVersion(
  live: LiveVersions,
  pending: number | null,
): LiveVersions {
  return {...live, pending};
}

/** Records a version that the engine confirmed. */
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
  const excess = Math.max(0, periods.length - MAX_HISTORY);
  return {
    dropped: live.dropped + excess,
    periods: periods.slice(excess),
    pending,
  };
}

/** Spans of one answer as far as it was observed; immutable. */
export interface ObservedSpans {
  spans: readonly WeightSpan[];
  /** Period that the newest tokens belong to; versions never go back. */
  period: number;
  mismatches: number;
}

export const noObservedSpans: ObservedSpans = {
  spans: [],
  period: 0,
  mismatches: 0,
};

/**
 * Finds the period whose version the engine named. A replaced version counts
 * only while its last tokens can be in flight, and an activation under way
 * counts already, because the engine may swap before its answer arrives.
 */
function findPeriod(
  live: LiveVersions,
  version: number,
  from: number,
  nowMs: number,
): number | null {
  const first = Math.max(from - live.dropped, 0);
  for (let i = first; i < live.periods.length; i++) {
    const {version: known, endedAt} = live.periods[i];
    if (known !== version) continue;
    if (endedAt === null || nowMs - endedAt <= SWAP_GRACE_MS) {
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
 * Adds tokens with the engine's label (null if it gave none). Tokens whose
 * label contradicts the live versions get `MISMATCHED_VERSION`.
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
