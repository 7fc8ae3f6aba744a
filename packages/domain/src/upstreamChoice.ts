import {getHash32} from '@vanillacross/common';

import type {Load} from './messages.js';

/** What an entry knows of an upstream when it chooses. */
export interface UpstreamView {
  id: string;
  domain: string;
  isLeaving: boolean;
  isDomainIn: boolean;
  isEjected: boolean;
  /** Requests of this entry that run on the upstream now. */
  inFlight: number;
  /** Last reported load; null if none was reported. */
  load: Load | null;
  /** Age of the reported load, ms. */
  loadAgeMs: number;
  /** Requests of this entry that ran when the load was reported. */
  inFlightAtLoad: number;
  /** Limit to assume while no load was reported. */
  assumedLimit: number;
}

/** What the choice depends on besides the upstreams. */
export interface ChoiceInput {
  upstreams: readonly UpstreamView[];
  avoid: ReadonlySet<string>;
  /** Failure domain of this entry. */
  domain: string;
  /** Prompt prefix hash; '' if none. */
  affinity: string;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Counter of choices, for round robin. */
  turn: number;
}

export type ChoicePolicy = 'score' | 'random' | 'roundRobin' | 'leastInFlight';

type Chooser = (
  eligible: readonly UpstreamView[],
  input: ChoiceInput,
) => UpstreamView;

/**
 * Time in which the load of other entries in a report loses half of its
 * weight, ms. Without it a report taken at full load would block an upstream
 * until the agent's next poll, up to 10 s later.
 */
const LOAD_HALF_LIFE_MS = 1_000;
/** Advantage of the own failure domain, in units of utilization. */
const OWN_DOMAIN_BONUS = 0.05;
/** Advantage of the upstream that holds a prompt's prefix, same units. */
const AFFINITY_BONUS = 0.5;

/** Requests that probably run on an upstream now. */
export function getEstimatedRunning(view: UpstreamView): number {
  if (!view.load) return view.inFlight;
  const others = Math.max(0, view.load.running - view.inFlightAtLoad);
  const weight = 0.5 ** (view.loadAgeMs / LOAD_HALF_LIFE_MS);
  return view.inFlight + others * weight;
}

/** Concurrency limit of an upstream as last reported. */
export function getConcurrencyLimit(view: UpstreamView): number {
  return Math.max(0, view.load?.limit ?? view.assumedLimit);
}

/** Whole requests that an upstream probably has room for. */
export function getFreeSlots(view: UpstreamView): number {
  return Math.max(
    0,
    Math.floor(getConcurrencyLimit(view) - getEstimatedRunning(view)),
  );
}

/** Upstreams that may get new work. */
export function getEligibleUpstreams(
  upstreams: readonly UpstreamView[],
  avoid: ReadonlySet<string>,
): UpstreamView[] {
  return upstreams.filter(
    view =>
      !view.isLeaving &&
      view.isDomainIn &&
      !view.isEjected &&
      !avoid.has(view.id),
  );
}

function getScore(view: UpstreamView, input: ChoiceInput): number {
  const limit = Math.max(1, getConcurrencyLimit(view));
  const utilization = (getEstimatedRunning(view) + 1) / limit;
  const waiting = (view.load?.waiting ?? 0) / limit;
  const bonus = view.domain === input.domain ? OWN_DOMAIN_BONUS : 0;
  return utilization + waiting - bonus;
}

/** The upstream on which requests with one prefix are concentrated. */
function getPrefixHolder(
  eligible: readonly UpstreamView[],
  affinity: string,
): string | null {
  if (affinity === '') return null;
  let best: {id: string; score: number} | null = null;
  for (const view of eligible) {
    const score = getHash32(`${affinity}\u0000${view.id}`);
    if (!best || score > best.score) best = {id: view.id, score};
  }
  return best?.id ?? null;
}

/** The lowest score; equal ones are drawn so that entries do not herd. */
function getLowest(
  eligible: readonly UpstreamView[],
  random: () => number,
  score: (view: UpstreamView) => number,
): UpstreamView {
  const scored = eligible.map(view => ({view, score: score(view)}));
  const lowest = Math.min(...scored.map(entry => entry.score));
  const equal = scored.filter(entry => entry.score === lowest);
  return equal[Math.floor(random() * equal.length)].view;
}

const choosers: Record<ChoicePolicy, Chooser> = {
  score: (eligible, input) => {
    const holder = getPrefixHolder(eligible, input.affinity);
    return getLowest(eligible, input.random, view => {
      const hasPrefix = view.id === holder && getFreeSlots(view) > 0;
      return getScore(view, input) - (hasPrefix ? AFFINITY_BONUS : 0);
    });
  },
  random: (eligible, input) =>
    eligible[Math.floor(input.random() * eligible.length)],
  roundRobin: (eligible, input) => eligible[input.turn % eligible.length],
  leastInFlight: (eligible, input) =>
    getLowest(eligible, input.random, view => view.inFlight),
};

/** Chooses an upstream for a request; null if none may get new work. */
export function chooseUpstream(
  policy: ChoicePolicy,
  input: ChoiceInput,
): UpstreamView | null {
  const eligible = getEligibleUpstreams(input.upstreams, input.avoid);
  if (eligible.length === 0) return null;
  const free = eligible.filter(view => getFreeSlots(view) > 0);
  const pool = free.length > 0 ? free : eligible;
  return choosers[policy](pool, input);
}
