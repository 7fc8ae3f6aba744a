import {getDeadline} from '@vanillacross/common';
import type {MonotonicMs} from '@vanillacross/common';
import type {AgentInstance} from '@vanillacross/domain';
import {getAgentViewChangeOffset} from '@vanillacross/domain';
import {z} from 'zod';

import type {DesignatedEntries} from './designatedEntries.js';
import type {Context, ControlFollower} from './types.js';

/** Maximum number of agents listed in one response. */
export const MAX_LISTED_LAGGING_AGENTS = 32;
/** Longest time for which a query is held, ms. */
export const MAX_STATUS_WAIT_MS = 2_000;
/** Interval at which a held query is evaluated again, ms. */
const CHECK_INTERVAL_MS = 50;

export const offsetQuerySchema = z.object({
  offset: z.number().int(),
  waitMs: z.number().min(0).max(MAX_STATUS_WAIT_MS).default(0),
  /**
   * Unresponsive entries; the next ones in rendezvous order report for their
   * agents.
   */
  without: z.array(z.string()).default([]),
  /**
   * Agents that do not poll the entry that reports for them; the receiver returns
   * in `reached` those that poll it and have reached the offset.
   */
  unheard: z.array(z.string()).max(MAX_LISTED_LAGGING_AGENTS).default([]),
});

export const laggingAgentSchema = z.object({
  id: z.string(),
  upstream: z.string(),
  /** Null if the agent does not poll. */
  offset: z.number().int().nullable(),
});

/** Response to `control.status` with an offset. */
export const offsetStatusSchema = z.object({
  id: z.string(),
  epoch: z.string(),
  highest: z.number().int(),
  isComplete: z.boolean(),
  /** Number of agents that this entry reports for. */
  agents: z.number().int(),
  agentsBehind: z.number().int(),
  /** At most `MAX_LISTED_LAGGING_AGENTS`. */
  behind: z.array(laggingAgentSchema),
  /** Agents of `unheard` that poll this entry and have reached the offset. */
  reached: z.array(z.string()).default([]),
});

export type OffsetQuery = z.infer<typeof offsetQuerySchema>;
export type LaggingAgent = z.infer<typeof laggingAgentSchema>;
export type OffsetStatus = z.infer<typeof offsetStatusSchema>;

/** Offset and state of an agent, as known to this entry. */
export interface AgentOffset {
  instance: AgentInstance;
  /** Offset of the agent's control view. */
  offset: number;
  /** False if the agent has not polled recently. */
  isPolling: boolean;
  isLeaving: boolean;
}

/** Tells an offset query from a query of the whole entry status. */
export function isOffsetQuery(
  query: OffsetQuery | Record<string, never>,
): query is OffsetQuery {
  return query.offset !== undefined;
}

/** Whether an entry and the agents it reports for have reached an offset. */
export function hasReachedOffset(
  status: OffsetStatus,
  offset: number,
): boolean {
  if (!status.isComplete || status.highest < offset) return false;
  return status.agentsBehind === 0;
}

/**
 * Creates the handler of offset queries. It holds a query until the entry and
 * the polling agents it reports for have reached the offset, but for at most
 * `waitMs`.
 */
export function createOffsetStatusHandler(
  context: Context,
  control: ControlFollower,
  designatedEntries: DesignatedEntries,
  getAgents: (isWanted: (agentId: string) => boolean) => AgentOffset[],
  signal: AbortSignal,
): (query: OffsetQuery) => Promise<OffsetStatus> {
  const {clock, epoch, self} = context;

  function getReachedOffset({instance, offset}: AgentOffset): number {
    const state = control.getState();
    // If the view has not changed since, the agent is as current as this entry.
    const isCurrent =
      state.isComplete && offset >= getAgentViewChangeOffset(state, instance);
    return isCurrent ? Math.max(offset, state.highest) : offset;
  }

  function getStatus({offset, without, unheard}: OffsetQuery): OffsetStatus {
    const state = control.getState();
    const isDesignated = designatedEntries.createDesignationCheck(without);
    const agents = getAgents(isDesignated)
      .filter(agent => !agent.isLeaving)
      // Agents may not poll a new entry yet; other entries report for them.
      .filter(agent => agent.isPolling || !designatedEntries.isStarting());
    const behind = agents.flatMap((agent): LaggingAgent[] => {
      const {instance, isPolling} = agent;
      const reached = getReachedOffset(agent);
      if (isPolling && reached >= offset) return [];
      const {id, upstream} = instance;
      return [{id, upstream: upstream.id, offset: isPolling ? reached : null}];
    });
    // Polling agents first, since only they are waited for.
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
        .filter(agent => agent.isPolling && getReachedOffset(agent) >= offset)
        .map(agent => agent.instance.id),
    };
  }

  return async query => {
    const deadline = getDeadline(clock.now(), query.waitMs);
    for (;;) {
      const status = getStatus(query);
      // Agents that do not poll this entry are not waited for, since they may
      // poll other entries.
      const isEntryBehind = !status.isComplete || status.highest < query.offset;
      const isWorthWaiting =
        isEntryBehind || status.behind.some(agent => agent.offset !== null);
      if (!isWorthWaiting) return status;
      if (clock.now() >= deadline || signal.aborted) return status;
      const next = getDeadline(clock.now(), CHECK_INTERVAL_MS);
      await clock.waitUntil(Math.min(next, deadline) as MonotonicMs, signal);
    }
  };
}
