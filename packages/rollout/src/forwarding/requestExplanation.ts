import type {PoolId} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS, decideCapacityWait} from '@vanillacross/domain';

import type {Pool, Route, SchedulingPolicy} from '../model/index.js';
import type {ExplainedChoice, Upstream} from '../upstreams/index.js';
import {explainChoice} from '../upstreams/index.js';
import type {ForwardContext} from './types.js';
import {getPlaceAt, getRequestCriteria} from './upstreamForRequest.js';

/** What would become of a request or sample now. */
export type PlacementDecision =
  | {tag: 'start'}
  | {tag: 'wait'; reason: string}
  | {
      tag: 'refuse';
      reason: string;
      /** Null if it is not sent again. */
      retryAfterMs: number | null;
    };

/** Where a request or sample would go if it went to this pool. */
export interface ExplainedPool extends ExplainedChoice {
  pool: PoolId;
  /** Fraction of the route's requests that go to this pool. */
  share: number;
  /** Number of requests, or of samples of the model, that wait here. */
  queueLength: number;
  decision: PlacementDecision;
}

/** A request whose placement is explained. */
export interface PlacementQuestion {
  route: Route;
  pool: Pool;
  /** Whether it is a scoring call. */
  isBackground: boolean;
  /** Unfinished samples of the group that a scoring call belongs to. */
  unfinishedInGroup: number;
}

/** A question with what has been found out about it. */
interface DecisionInput {
  context: ForwardContext;
  question: PlacementQuestion;
  usable: readonly Upstream[];
  hasChoice: boolean;
}

function decideStream({hasChoice}: DecisionInput): PlacementDecision {
  if (hasChoice) return {tag: 'start'};
  const reason = 'no upstream has room';
  return {tag: 'refuse', reason, retryAfterMs: MIN_RETRY_AFTER_MS};
}

function decidePolling(input: DecisionInput): PlacementDecision {
  if (input.hasChoice) return {tag: 'start'};
  const {context, question, usable} = input;
  const now = context.clock.now();
  const before = context.waiting.count(question.pool.id);
  const decision = decideCapacityWait({
    now,
    arrivedAt: now,
    deadline: getDeadline(now, question.route.timeoutMs),
    upstreamCount: usable.length,
    placeAt: getPlaceAt(usable, () => before, now),
  });
  if (decision.tag === 'wait') {
    return {tag: 'wait', reason: 'no upstream has room'};
  }
  const isLimited =
    usable.length > 0 && usable.every(({notices}) => notices.limit !== null);
  const reason = isLimited
    ? 'over the request limits'
    : 'no upstream is listed';
  return {tag: 'refuse', reason, retryAfterMs: decision.retryAfterMs};
}

function decideQueue({
  context,
  question,
  hasChoice,
}: DecisionInput): PlacementDecision {
  const {route, pool, isBackground, unfinishedInGroup} = question;
  const {before, refusal} = context.queue.preview(pool, {
    account: null,
    priority: route.priority,
    deadline: getDeadline(context.clock.now(), route.timeoutMs),
    unfinishedInGroup,
    isBackground,
  });
  if (hasChoice && before === 0) return {tag: 'start'};
  if (refusal) return {tag: 'refuse', ...refusal};
  const reason =
    before > 0 ? `${before} requests are before it` : 'no upstream has room';
  return {tag: 'wait', reason};
}

const decisions: Readonly<
  Record<
    SchedulingPolicy['admission'],
    (input: DecisionInput) => PlacementDecision
  >
> = {polling: decidePolling, queue: decideQueue};

/**
 * Explains where a new request without an API key's priority would go now, and
 * changes nothing. The request is taken to have all of the route's time.
 */
export function explainRequest(
  context: ForwardContext,
  question: PlacementQuestion,
  share: number,
): ExplainedPool {
  const {directory, queue, policy, waiting, streams} = context;
  const {route, pool, isBackground} = question;
  const isStream = route.kind === 'stream' && !isBackground;
  const isQueued = policy.admission === 'queue' && !isStream;
  const kind = isBackground ? 'scoring' : 'caller';
  const criteria = getRequestCriteria(context, question, new Set(), {
    hasSlot: isQueued
      ? upstream => queue.wouldHaveSlot(pool, upstream, kind)
      : undefined,
  });
  const mayBegin = ({entry}: Upstream) =>
    !isStream ||
    !route.isResumable ||
    streams.mayBegin(pool.id, entry.software);
  const choice = explainChoice(
    directory.getListed(pool.id),
    criteria,
    upstream => {
      const exclusion = directory.getExclusion(upstream);
      if (exclusion) return [exclusion];
      return mayBegin(upstream) ? [] : ['software'];
    },
  );
  const decide = isStream ? decideStream : decisions[policy.admission];
  return {
    pool: pool.id,
    share,
    queueLength:
      policy.admission === 'queue'
        ? queue.count(pool.id)
        : waiting.count(pool.id),
    decision: decide({
      context,
      question,
      usable: directory.getUsable(pool.id),
      hasChoice: choice.chosen !== null,
    }),
    ...choice,
  };
}
