import type {RolloutState} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {listRecords, getRecordBody} from './controlState.js';
import type {AgentInstance, Instance} from './instances.js';
import type {AgentView} from './messages.js';
import {reportingSchema} from './records.js';
import {getRolloutChangeOffset} from './rollout.js';

const defaultReporting = reportingSchema.parse({});

/** Newest change of any `reporting` record, by the map it was read from. */
const reportingChanges = new WeakMap<ControlState['records'], number>();

function getReportingChange(state: ControlState): number {
  const cached = reportingChanges.get(state.records);
  if (cached !== undefined) return cached;
  let changedAt = -1;
  for (const [key, record] of state.records) {
    if (!key.startsWith('reporting/')) continue;
    changedAt = Math.max(changedAt, record.offset);
  }
  reportingChanges.set(state.records, changedAt);
  return changedAt;
}

/** Keys of the records that an agent's view is made of. */
function getViewKeys(agent: AgentInstance): string[] {
  return [
    `pool/${agent.upstream.pool}`,
    `upstream/${agent.upstream.id}`,
    `domain/${agent.domain}`,
  ];
}

/** The rollout of the model that an agent's engine runs; null if none. */
export function getAgentRollout(
  state: ControlState,
  agent: AgentInstance,
): RolloutState | null {
  const pool = getRecordBody(state, 'pool', agent.upstream.pool);
  if (pool?.kind !== 'engine' || !pool.model) return null;
  return state.rollouts.get(pool.model) ?? null;
}

/** Derives the part of the control state that one agent needs. */
export function getAgentView(
  state: ControlState,
  agent: AgentInstance,
  members: readonly Instance[],
): AgentView {
  const pool = getRecordBody(state, 'pool', agent.upstream.pool);
  const poolRecord = state.records.get(`pool/${agent.upstream.pool}`);
  const domain = getRecordBody(state, 'domain', agent.domain);
  const reporting =
    listRecords(state, 'reporting')[0]?.body ?? defaultReporting;
  const rollout = getAgentRollout(state, agent);
  return {
    offset: state.highest,
    fencing: state.lease.fencing,
    pool,
    poolCreatedAt: poolRecord?.revision === 1 ? poolRecord.offset : -1,
    upstream: getRecordBody(state, 'upstream', agent.upstream.id),
    isDomainIn: domain?.state !== 'out',
    windowMs: reporting.windowMs,
    members: pool?.kind === 'plain' ? [...members] : [],
    ...(rollout ? {rollout} : {}),
  };
}

/**
 * The offset of the last record that changed an agent's view, apart from its
 * members; -1 if none. A view with at least this offset is up to date.
 */
export function getAgentViewChangeOffset(
  state: ControlState,
  agent: AgentInstance,
): number {
  let changedAt = Math.max(state.lease.fencing, getReportingChange(state));
  for (const key of getViewKeys(agent)) {
    changedAt = Math.max(changedAt, state.records.get(key)?.offset ?? -1);
  }
  const rollout = getAgentRollout(state, agent);
  if (rollout) {
    const rolloutAt = getRolloutChangeOffset(rollout, agent.upstream.id);
    changedAt = Math.max(changedAt, rolloutAt);
  }
  return changedAt;
}
