import type {RolloutState} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {listRecords, getRecordBody} from './controlState.js';
import type {AgentInstance, Instance} from './instances.js';
import type {AgentView} from './messages.js';
import {reportingSchema} from './records.js';
import {getRolloutChangeOffset} from './rollout.js';

const defaultReporting = reportingSchema.parse({});

/** Highest offset of any `reporting` record, cached for each record map. */
const reportingChangeOffsets = new WeakMap<ControlState['records'], number>();

function getReportingChangeOffset(state: ControlState): number {
  const cached = reportingChangeOffsets.get(state.records);
  if (cached !== undefined) return cached;
  let changeOffset = -1;
  for (const [key, record] of state.records) {
    if (!key.startsWith('reporting/')) continue;
    changeOffset = Math.max(changeOffset, record.offset);
  }
  reportingChangeOffsets.set(state.records, changeOffset);
  return changeOffset;
}

/** Returns the keys of the records that an agent's view is derived from. */
function getViewKeys(agent: AgentInstance): string[] {
  return [
    `pool/${agent.upstream.pool}`,
    `upstream/${agent.upstream.id}`,
    `domain/${agent.domain}`,
  ];
}

/**
 * Returns the rollout of the model that an agent's engine runs; null if there
 * is none.
 */
export function getAgentRollout(
  state: ControlState,
  agent: AgentInstance,
): RolloutState | null {
  const pool = getRecordBody(state, 'pool', agent.upstream.pool);
  if (pool?.kind !== 'engine' || !pool.model) return null;
  return state.rollouts.get(pool.model) ?? null;
}

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
 * Returns the offset of the last record that changed an agent's view, apart
 * from its members; -1 if there is none. A view at or above this offset is up
 * to date.
 */
export function getAgentViewChangeOffset(
  state: ControlState,
  agent: AgentInstance,
): number {
  let changeOffset = Math.max(
    state.lease.fencing,
    getReportingChangeOffset(state),
  );
  for (const key of getViewKeys(agent)) {
    changeOffset = Math.max(changeOffset, state.records.get(key)?.offset ?? -1);
  }
  const rollout = getAgentRollout(state, agent);
  if (rollout) {
    const rolloutOffset = getRolloutChangeOffset(rollout, agent.upstream.id);
    changeOffset = Math.max(changeOffset, rolloutOffset);
  }
  return changeOffset;
}
