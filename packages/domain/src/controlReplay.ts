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

/** Payload that takes the place of one that a checkpoint has decided. */
const DECIDED = {type: 'decided'};
/** Payloads whose outcome depends on the lease at their place in the log. */
const LEASE_TYPES = new Set(['claim', 'renew', 'release', 'seal', 'rollout']);

/** What the checkpoints of a truncated log say about its beginning. */
interface Basis {
  carried: Map<string, {asOf: number; entry: CarriedRecord}>;
  /** Offset up to which keys in no checkpoint are known to be absent. */
  absentUpTo: number;
  lease: LeaseState;
  leaseAsOf: number;
  lastSealed: number;
  rollouts: readonly RolloutState[];
}

interface PlacedCheckpoint {
  offset: number;
  checkpoint: Checkpoint;
}

function getCheckpoints(records: readonly LogRecord[]): PlacedCheckpoint[] {
  return records.flatMap(({offset, payload}) => {
    const parsed = checkpointSchema.safeParse(payload);
    return parsed.success ? [{offset, checkpoint: parsed.data}] : [];
  });
}

function getBasis(records: readonly LogRecord[]): Basis | null {
  const earliest = records[0]?.offset ?? 0;
  // Records after an older `asOf` are partly missing.
  const usable = getCheckpoints(records).filter(
    ({checkpoint}) => checkpoint.asOf >= earliest - 1,
  );
  const starts = usable.flatMap(({checkpoint: {cycleStart}}) =>
    cycleStart !== undefined && cycleStart >= earliest ? [cycleStart] : [],
  );
  if (starts.length === 0) return null;
  const basis: Basis = {
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
      const known = basis.carried.get(entry.key);
      if (!known || known.asOf < asOf) {
        basis.carried.set(entry.key, {asOf, entry});
      }
    }
    if (lease && asOf > basis.leaseAsOf) {
      Object.assign(basis, {lease, leaseAsOf: asOf, lastSealed, rollouts});
    }
  }
  return basis;
}

/** Removes from a record what the basis has decided already. */
function getUndecided(basis: Basis, record: LogRecord): LogRecord {
  const {offset, payload} = record;
  const isDecided = (key: string) =>
    offset <= (basis.carried.get(key)?.asOf ?? basis.absentUpTo);
  const {type} = (payload ?? {}) as {type?: string};
  const put = putSchema.safeParse(payload);
  if (put.success && isDecided(put.data.key)) {
    return {...record, payload: DECIDED};
  }
  if (type !== undefined && LEASE_TYPES.has(type)) {
    const payloadOrNone = offset <= basis.leaseAsOf ? DECIDED : payload;
    return {...record, payload: payloadOrNone};
  }
  const checkpoint = checkpointSchema.safeParse(payload);
  if (!checkpoint.success) return record;
  const {entries, dropped} = checkpoint.data;
  const rest: Checkpoint = {
    ...checkpoint.data,
    entries: entries.filter(({key}) => !isDecided(key)),
    dropped: dropped?.filter(({key}) => !isDecided(key)),
  };
  return {...record, payload: rest};
}

/**
 * Rebuilds the whole state from a log whose beginning is gone; null if it has
 * no complete checkpoint cycle with the lease. Folding such a log from the
 * empty state is wrong: a put depends on the revision before it, and a lease
 * record on the one before it, which may be in the part that is gone.
 */
export function replayTruncatedLog(
  records: readonly LogRecord[],
): ControlState | null {
  const basis = getBasis(records);
  if (!basis || basis.leaseAsOf < 0) return null;
  const start: ControlState = {
    ...emptyControlState,
    records: restoreCarriedRecords(
      [...basis.carried.values()].map(({entry}) => entry),
    ),
    lease: basis.lease,
    lastSealed: basis.lastSealed,
    rollouts: new Map(basis.rollouts.map(item => [item.model, item])),
  };
  const rest = records.map(record => getUndecided(basis, record));
  return {...applyControlRecords(start, rest), isComplete: true};
}

/**
 * Builds the complete control state from consecutive log records; null if
 * they do not prove that it is complete.
 * @param start Offset from which every record was read.
 */
export function rebuildControlState(
  start: number,
  records: readonly LogRecord[],
): ControlState | null {
  if (start > 0) return replayTruncatedLog(records);
  return {...applyControlRecords(emptyControlState, records), isComplete: true};
}
