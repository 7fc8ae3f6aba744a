import type {
  CarriedRecord,
  Checkpoint,
  LogRecord,
  RolloutState,
} from './controlRecords.js';
import {checkpointSchema, putSchema} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {
  applyControlRecords,
  emptyControlState,
  restoreCarriedRecords,
} from './controlState.js';
import type {LeaseState} from './lease.js';
import {noLease} from './lease.js';

/** Replaces a payload whose outcome is already contained in a checkpoint. */
const ALREADY_APPLIED = {type: 'decided'};
/**
 * Types of payloads whose outcome depends on the lease at their position in the
 * log.
 */
const LEASE_TYPES = new Set(['claim', 'renew', 'release', 'seal', 'rollout']);

/** State at the start of a truncated log, collected from its checkpoints. */
interface BaseState {
  carried: Map<string, {asOf: number; entry: CarriedRecord}>;
  /**
   * Highest offset at which a key that no checkpoint carries is known to have
   * had no record.
   */
  absentUpTo: number;
  lease: LeaseState;
  leaseAsOf: number;
  lastSealed: number;
  rollouts: readonly RolloutState[];
}

interface CheckpointRecord {
  offset: number;
  checkpoint: Checkpoint;
}

function getCheckpoints(records: readonly LogRecord[]): CheckpointRecord[] {
  return records.flatMap(({offset, payload}) => {
    const parsed = checkpointSchema.safeParse(payload);
    return parsed.success ? [{offset, checkpoint: parsed.data}] : [];
  });
}

function getBaseState(records: readonly LogRecord[]): BaseState | null {
  const earliest = records[0]?.offset ?? 0;
  // Checkpoints whose `asOf` is before `earliest - 1` are ignored: some of the
  // records between them and the start of the log have been truncated.
  const usable = getCheckpoints(records).filter(
    ({checkpoint}) => checkpoint.asOf >= earliest - 1,
  );
  const starts = usable.flatMap(({checkpoint: {cycleStart}}) =>
    cycleStart !== undefined && cycleStart >= earliest ? [cycleStart] : [],
  );
  if (starts.length === 0) return null;
  const base: BaseState = {
    carried: new Map(),
    absentUpTo: Math.max(...starts) - 1,
    lease: noLease,
    leaseAsOf: -1,
    lastSealed: -1,
    rollouts: [],
  };
  for (const {checkpoint} of usable) {
    const {asOf, entries, lease, lastSealed, rollouts = []} = checkpoint;
    for (const entry of entries) {
      const known = base.carried.get(entry.key);
      if (!known || known.asOf < asOf) {
        base.carried.set(entry.key, {asOf, entry});
      }
    }
    if (lease && asOf > base.leaseAsOf) {
      Object.assign(base, {lease, leaseAsOf: asOf, lastSealed, rollouts});
    }
  }
  return base;
}

/** Removes from a record whatever the checkpoints already contain. */
function omitAppliedContent(base: BaseState, record: LogRecord): LogRecord {
  const {offset, payload} = record;
  const isApplied = (key: string) =>
    offset <= (base.carried.get(key)?.asOf ?? base.absentUpTo);
  const {type} = (payload ?? {}) as {type?: string};
  const put = putSchema.safeParse(payload);
  if (put.success && isApplied(put.data.key)) {
    return {...record, payload: ALREADY_APPLIED};
  }
  if (type !== undefined && LEASE_TYPES.has(type)) {
    const remainingPayload =
      offset <= base.leaseAsOf ? ALREADY_APPLIED : payload;
    return {...record, payload: remainingPayload};
  }
  const checkpoint = checkpointSchema.safeParse(payload);
  if (!checkpoint.success) return record;
  const {entries, dropped} = checkpoint.data;
  const rest: Checkpoint = {
    ...checkpoint.data,
    entries: entries.filter(({key}) => !isApplied(key)),
    dropped: dropped?.filter(({key}) => !isApplied(key)),
  };
  return {...record, payload: rest};
}

/**
 * Rebuilds the complete state from a truncated log; null if the log has no
 * complete checkpoint cycle that includes the lease. Such a log cannot be
 * replayed from the empty state: the outcome of a put depends on the previous
 * revision, and that of a lease record on the previous lease record, either of
 * which may have been truncated.
 */
export function replayTruncatedLog(
  records: readonly LogRecord[],
): ControlState | null {
  const base = getBaseState(records);
  if (!base || base.leaseAsOf < 0) return null;
  const start: ControlState = {
    ...emptyControlState,
    records: restoreCarriedRecords(
      [...base.carried.values()].map(({entry}) => entry),
    ),
    lease: base.lease,
    lastSealed: base.lastSealed,
    rollouts: new Map(base.rollouts.map(item => [item.model, item])),
  };
  const rest = records.map(record => omitAppliedContent(base, record));
  return {...applyControlRecords(start, rest), isComplete: true};
}

/**
 * Builds the complete control state from consecutive log records; null if the
 * records do not guarantee that it is complete.
 * @param start Offset from which the records were read, without gaps.
 */
export function rebuildControlState(
  start: number,
  records: readonly LogRecord[],
): ControlState | null {
  if (start > 0) return replayTruncatedLog(records);
  return {...applyControlRecords(emptyControlState, records), isComplete: true};
}
