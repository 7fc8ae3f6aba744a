import type {CarriedRecord, Checkpoint} from './controlRecords.js';
import type {ControlState, StoredRecord} from './controlState.js';

/** Maximum number of records in one checkpoint. */
export const MAX_CHECKPOINT_ENTRIES = 16;
/** Maximum size of the records in one checkpoint, in characters of JSON. */
const MAX_CHECKPOINT_CHARS = 16_384;
/** Maximum interval between two checkpoints of a cycle, ms. */
const MAX_BATCH_INTERVAL_MS = 2_000;
/** Checkpoint cycles started per retention period. */
const CYCLES_PER_RETENTION = 6;

/**
 * State of one pass that writes all records, including tombstones, to the log
 * again. Immutable.
 */
export interface CheckpointCycle {
  /** First offset that the cycle does not cover. */
  cycleStart: number;
  /** Keys of the records that are still to be written. */
  remaining: readonly string[];
  /**
   * Tombstones that the cycle's last checkpoint drops. The cycle still carries
   * them, because puts before that checkpoint are checked against their
   * revisions.
   */
  expired: ReadonlyArray<{key: string; offset: number}>;
  /** Time at which the next batch is due, ms. */
  nextBatchAtMs: number;
  batchIntervalMs: number;
}

/** Times after which tombstones may be dropped, by record key. */
export type TombstoneDeadlines = ReadonlyMap<string, TombstoneDeadline>;

interface TombstoneDeadline {
  revision: number;
  deadlineMs: number;
}

/**
 * Adds new tombstones to the deadlines and removes those that are gone. Log
 * records carry no timestamps, so retention counts from when this process first
 * saw a tombstone; a new process may keep one for another retention period.
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

/**
 * Returns the interval between the starts of two cycles. A cycle must be
 * complete within a third of the retention period; the interval is half of that
 * time.
 */
export function getCycleIntervalMs(retentionMs: number): number {
  return retentionMs / CYCLES_PER_RETENTION;
}

/**
 * Creates a cycle. Its batches are spaced so that, if each holds
 * `MAX_CHECKPOINT_ENTRIES` records, they take at most a quarter of the time in
 * which the cycle must be complete. Large records fill batches sooner, so the
 * cycle then has more batches and takes longer.
 */
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

function toCarriedRecord(record: StoredRecord): CarriedRecord {
  const {key, revision, offset, schemaVersion, raw, operator} = record;
  return {key, revision, offset, schemaVersion, body: raw, operator};
}

/**
 * Returns the next checkpoint of a cycle, with the records as of the current
 * state, and the rest of the cycle; null after the cycle's last checkpoint. The
 * last checkpoint has `cycleStart` set.
 */
export function planCheckpoint(
  cycle: CheckpointCycle,
  state: ControlState,
  fencing: number,
  nowMs: number,
): {checkpoint: Checkpoint; cycle: CheckpointCycle | null} {
  const entries: CarriedRecord[] = [];
  let processed = 0;
  let chars = 0;
  for (const key of cycle.remaining) {
    const record = state.records.get(key);
    const carried = record && toCarriedRecord(record);
    const size = carried ? JSON.stringify(carried).length : 0;
    const isFull =
      entries.length >= MAX_CHECKPOINT_ENTRIES ||
      (entries.length > 0 && chars + size > MAX_CHECKPOINT_CHARS);
    if (isFull) break;
    if (carried) entries.push(carried);
    chars += size;
    processed++;
  }
  const remaining = cycle.remaining.slice(processed);
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
