import type {CarriedRecord, Checkpoint} from './controlRecords.js';
import type {ControlState, StoredRecord} from './controlState.js';

/** Records in one checkpoint. */
export const MAX_CHECKPOINT_ENTRIES = 16;
/** Size of the records in one checkpoint, characters of JSON. */
const CHECKPOINT_CHARS = 16_384;
/** Longest time between two checkpoints of a cycle, ms. */
const MAX_BATCH_INTERVAL_MS = 2_000;
/** A cycle starts this often per retention period. */
const CYCLES_PER_RETENTION = 6;

/** One pass over all live records; immutable. */
export interface CheckpointCycle {
  /** First offset that the cycle does not cover. */
  cycleStart: number;
  /** Keys that are not written yet. */
  remaining: readonly string[];
  /**
   * Tombstones that the last checkpoint drops. The cycle still carries them,
   * because puts up to that checkpoint depend on their revision.
   */
  expired: ReadonlyArray<{key: string; offset: number}>;
  /** Deadline of the next batch, ms. */
  nextBatchAtMs: number;
  batchIntervalMs: number;
}

/** When tombstones may be dropped, by record key, ms. */
export type TombstoneDeadlines = ReadonlyMap<string, TombstoneDeadline>;

interface TombstoneDeadline {
  revision: number;
  deadlineMs: number;
}

/**
 * Notes tombstones from when they are first seen. The log has no times, so a
 * new process carries a tombstone for up to one more retention period.
 */
export function reconcileTombstones(
  known: TombstoneDeadlines,
  state: ControlState,
  nowMs: number,
  retentionMs: number,
): TombstoneDeadlines {
  const next = new Map<string, TombstoneDeadline>();
  for (const {key, raw, revision} of state.records.values()) {
    if (raw !== null) continue;
    const old = known.get(key);
    next.set(
      key,
      old?.revision === revision
        ? old
        : {revision, deadlineMs: nowMs + retentionMs},
    );
  }
  return next;
}

function isExpired(
  record: StoredRecord,
  tombstones: TombstoneDeadlines,
  nowMs: number,
): boolean {
  if (record.raw !== null) return false;
  return (tombstones.get(record.key)?.deadlineMs ?? Infinity) <= nowMs;
}

/** Half of the third of the retention that a cycle has to be complete in. */
export function getCycleIntervalMs(retentionMs: number): number {
  return retentionMs / CYCLES_PER_RETENTION;
}

/** Starts a cycle that ends well before a third of the retention. */
export function createCheckpointCycle(
  state: ControlState,
  tombstones: TombstoneDeadlines,
  nowMs: number,
  retentionMs: number,
): CheckpointCycle {
  const records = [...state.records.values()].sort(
    (a, b) => a.offset - b.offset,
  );
  const remaining = records.map(record => record.key);
  const expired = records
    .filter(record => isExpired(record, tombstones, nowMs))
    .map(({key, offset}) => ({key, offset}));
  const batches = Math.ceil(remaining.length / MAX_CHECKPOINT_ENTRIES) + 1;
  const intervalMs = Math.min(
    MAX_BATCH_INTERVAL_MS,
    getCycleIntervalMs(retentionMs) / (2 * batches),
  );
  return {
    cycleStart: state.highest + 1,
    remaining,
    expired,
    nextBatchAtMs: nowMs,
    batchIntervalMs: intervalMs,
  };
}

function getCarried(record: StoredRecord): CarriedRecord {
  const {key, revision, offset, schemaVersion, raw, operator} = record;
  return {key, revision, offset, schemaVersion, body: raw, operator};
}

/**
 * Makes the next checkpoint of a cycle from the current state. `cycle` is null
 * after the last one, which carries `cycleStart`.
 */
export function planCheckpoint(
  cycle: CheckpointCycle,
  state: ControlState,
  fencing: number,
  nowMs: number,
): {checkpoint: Checkpoint; cycle: CheckpointCycle | null} {
  const entries: CarriedRecord[] = [];
  let taken = 0;
  let chars = 0;
  for (const key of cycle.remaining) {
    const record = state.records.get(key);
    const carried = record && getCarried(record);
    const size = carried ? JSON.stringify(carried).length : 0;
    const isFull =
      entries.length >= MAX_CHECKPOINT_ENTRIES ||
      (entries.length > 0 && chars + size > CHECKPOINT_CHARS);
    if (isFull) break;
    if (carried) entries.push(carried);
    chars += size;
    taken++;
  }
  const remaining = cycle.remaining.slice(taken);
  const isLast = remaining.length === 0;
  const checkpoint: Checkpoint = {
    type: 'checkpoint',
    fencing,
    asOf: state.highest,
    entries,
    lastSealed: state.lastSealed,
    lease: state.lease,
    ...(state.rollouts.size > 0
      ? {rollouts: [...state.rollouts.values()]}
      : {}),
    ...(isLast
      ? {cycleStart: cycle.cycleStart, dropped: [...cycle.expired]}
      : {}),
  };
  const nextAtMs = nowMs + cycle.batchIntervalMs;
  return {
    checkpoint,
    cycle: isLast ? null : {...cycle, remaining, nextBatchAtMs: nextAtMs},
  };
}
