import {getDeadline} from '@vanillacross/common';
import type {MonotonicMs} from '@vanillacross/common';
import type {AgentInstance} from '@vanillacross/domain';
import {getAgentViewChangeOffset} from '@vanillacross/domain';
import {z} from 'zod';

import type {DesignatedEntries} from './designatedEntries.js';
import type {Context, ControlFollower} from './types.js';

/** Instances that an answer names. */
export const MAX_LISTED_LAGGING_AGENTS = 32;
/** Longest hold of a question, ms. */
export const MAX_STATUS_WAIT_MS = 2_000;
/** Interval at which a held question looks again, ms. */
const CHECK_INTERVAL_MS = 50;

export const offsetQuerySchema = z.object({
  offset: z.number().int(),
  waitMs: z.number().min(0).max(MAX_STATUS_WAIT_MS).default(0),
  /** Entries that do not answer; the next in order speak for their agents. */
  without: z.array(z.string()).default([]),
  /** Agents that do not poll the entry that speaks for them. */
  unheard: z.array(z.string()).max(MAX_LISTED_LAGGING_AGENTS).default([]),
});

export const laggingAgentSchema = z.object({
  id: z.string(),
  upstream: z.string(),
  /** Null if the agent does not poll. */
  offset: z.number().int().nullable(),
});

/** Answer to `control.status` about an offset. */
export const offsetStatusSchema = z.object({
  id: z.string(),
  epoch: z.string(),
  highest: z.number().int(),
  isComplete: z.boolean(),
  /** Agents for which this entry speaks. */
  agents: z.number().int(),
  agentsBehind: z.number().int(),
  /** The first `MAX_NAMED_BEHIND` of these agents. */
  behind: z.array(laggingAgentSchema),
  /** Those of `unheard` that poll this entry and have the offset. */
  reached: z.array(z.string()).default([]),
});

export type OffsetQuery = z.infer<typeof offsetQuerySchema>;
export type LaggingAgent = z.infer<typeof laggingAgentSchema>;
export type OffsetStatus = z.infer<typeof offsetStatusSchema>;

/** What the question needs to know of an agent. */
export interface AgentOffset {
  instance: AgentInstance;
  /** Offset of the agent's view. */
  offset: number;
  /** False if the agent has not polled lately. */
  isPolling: boolean;
  isLeaving: boolean;
}

/** A question without an offset asks for the whole status. */
export function isOffsetQuery(
  question: OffsetQuery | Record<string, never>,
): question is OffsetQuery {
  return question.offset !== undefined;
}

/** Says whether an entry and its agents have an offset. */
export function hasReachedOffset(
  status: OffsetStatus,
  offset: number,
): boolean {
  if (!status.isComplete || status.highest < offset) return false;
  return status.agentsBehind === 0;
}

/**
 * Creates the answer to questions about an offset. It is held until the entry
 * and the agents for which it speaks have the offset.
 */
export function createOffsetStatusHandler(
  context: Context,
  control: ControlFollower,
  firsts: DesignatedEntries,
  getAgents: (isWanted: (agentId: string) => boolean) => AgentOffset[],
  signal: AbortSignal,
): (question: OffsetQuery) => Promise<OffsetStatus> {
  const {clock, epoch, self} = context;

  function getReached({instance, offset}: AgentOffset): number {
    const state = control.getState();
    // An unchanged view is in force up to the offset of this entry.
    const isCurrent =
      state.isComplete && offset >= getAgentViewChangeOffset(state, instance);
    return isCurrent ? Math.max(offset, state.highest) : offset;
  }

  function getStatus({offset, without, unheard}: OffsetQuery): OffsetStatus {
    const state = control.getState();
    const isFirst = firsts.createDesignationCheck(without);
    const agents = getAgents(isFirst)
      .filter(agent => !agent.isLeaving)
      // Agents may not know a new entry yet; the others speak for them.
      .filter(agent => agent.isPolling || !firsts.isStarting());
    const behind = agents.flatMap((agent): LaggingAgent[] => {
      const {instance, isPolling} = agent;
      const reached = getReached(agent);
      if (isPolling && reached >= offset) return [];
      const {id, upstream} = instance;
      return [{id, upstream: upstream.id, offset: isPolling ? reached : null}];
    });
    // Agents that poll come first, as the hold waits for these.
    behind.sort(
      (a, b) => Number(a.offset === null) - Number(b.offset === null),
    );
    return {
      id: self.id,
      epoch,
      highest: state.highest,
      isComplete: state.isComplete,
      agents: agents.length,
      agentsBehind: behind.length,
      behind: behind.slice(0, MAX_LISTED_LAGGING_AGENTS),
      reached: getAgents(id => unheard.includes(id))
        .filter(agent => agent.isPolling && getReached(agent) >= offset)
        .map(agent => agent.instance.id),
    };
  }

  return async question => {
    const deadline = getDeadline(clock.now(), question.waitMs);
    for (;;) {
      const status = getStatus(question);
      // Agents that do not poll this entry may poll others; no wait for them.
      const isEntryBehind =
        !status.isComplete || status.highest < question.offset;
      const isWorthWaiting =
        isEntryBehind || status.behind.some(agent => agent.offset !== null);
      if (!isWorthWaiting) return status;
      if (clock.now() >= deadline || signal.aborted) return status;
      const next = getDeadline(clock.now(), CHECK_INTERVAL_MS);
      await clock.waitUntil(Math.min(next, deadline) as MonotonicMs, signal);
    }
  };
}
