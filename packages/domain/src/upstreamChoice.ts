import {getHash32} from '@vanillacross/common';

import type {Load} from './messages.js';

/** An entry's information about an upstream at the time of the choice. */
export interface UpstreamView {
  id: string;
  domain: string;
  isLeaving: boolean;
  isDomainIn: boolean;
  isEjected: boolean;
  /** Requests of this entry that are running on the upstream. */
  inFlight: number;
  /** Last reported load; null if none was reported. */
  load: Load | null;
  /** Age of the reported load, ms. */
  loadAgeMs: number;
  /** Requests of this entry that were running when the load was reported. */
  inFlightAtLoad: number;
  /** Concurrency limit to assume until a load is reported. */
  assumedLimit: number;
}

export interface ChoiceInput {
  upstreams: readonly UpstreamView[];
  avoid: ReadonlySet<string>;
  /** Failure domain of this entry. */
  domain: string;
  /** Hash of the prompt prefix; empty if there is none. */
  affinity: string;
  /** Returns a uniform random number in [0, 1). */
  random: () => number;
  /** Number of choices made so far; used by the `roundRobin` policy. */
  turn: number;
}

export type ChoicePolicy = 'score' | 'random' | 'roundRobin' | 'leastInFlight';

type Chooser = (
  eligible: readonly UpstreamView[],
  input: ChoiceInput,
) => UpstreamView;

/**
 * Half-life with which the load of other entries in a report loses weight as the
 * report ages, ms. Without this decay, a report of full load would block an
 * upstream until the agent's next poll, up to 10 s later.
 */
const LOAD_HALF_LIFE_MS = 1_000;
/**
 * Bonus for upstreams in the entry's own failure domain, in units of
 * utilization.
 */
const OWN_DOMAIN_BONUS = 0.05;
/**
 * Bonus for the upstream that holds the prompt's prefix, in units of
 * utilization.
 */
const AFFINITY_BONUS = 0.5;

/** Estimates the number of requests running on an upstream. */
export function getEstimatedRunning(view: UpstreamView): number {
  if (!view.load) return view.inFlight;
  const others = Math.max(0, view.load.running - view.inFlightAtLoad);
  const weight = 0.5 ** (view.loadAgeMs / LOAD_HALF_LIFE_MS);
  return view.inFlight + others * weight;
}

/** Returns the concurrency limit of an upstream as last reported. */
export function getConcurrencyLimit(view: UpstreamView): number {
  return Math.max(0, view.load?.limit ?? view.assumedLimit);
}

/** Estimates the number of further requests that an upstream has room for. */
export function getFreeSlots(view: UpstreamView): number {
  return Math.max(
    0,
    Math.floor(getConcurrencyLimit(view) - getEstimatedRunning(view)),
  );
}

/** Returns the upstreams that may get new work. */
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

/**
 * Returns the upstream that all requests with the same prefix prefer, by
 * rendezvous hash; null without a prefix.
 */
function getAffinityUpstream(
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

/**
 * Returns the upstream with the lowest score. Ties are broken at random so that
 * entries do not all choose the same upstream.
 */
function getLowestScored(
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
    const preferred = getAffinityUpstream(eligible, input.affinity);
    return getLowestScored(eligible, input.random, view => {
      const hasPrefix = view.id === preferred && getFreeSlots(view) > 0;
      return getScore(view, input) - (hasPrefix ? AFFINITY_BONUS : 0);
    });
  },
  random: (eligible, input) =>
    eligible[Math.floor(input.random() * eligible.length)],
  roundRobin: (eligible, input) => eligible[input.turn % eligible.length],
  leastInFlight: (eligible, input) =>
    getLowestScored(eligible, input.random, view => view.inFlight),
};

/** Chooses an upstream for a request; null if none may get new work. */
export function chooseUpstream(
  policy: ChoicePolicy,
  input: ChoiceInput,
): UpstreamView | null {
  const eligible = getEligibleUpstreams(input.upstreams, input.avoid);
  if (eligible.length === 0) return null;
  const free = eligible.filter(view => getFreeSlots(view) > 0);
  const candidates = free.length > 0 ? free : eligible;
  return choosers[policy](candidates, input);
}
