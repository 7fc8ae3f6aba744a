import {z} from 'zod';

import {
  MAX_RETAINED_APPEND_OUTCOMES,
  MAX_QUARANTINED_FINGERPRINTS,
  MAX_RETAINED_SEALS,
} from './constants.js';
import type {
  CarriedRecord,
  Checkpoint,
  ControlPayload,
  LogRecord,
  Put,
  RolloutRecord,
  RolloutState,
  Seal,
} from './controlRecords.js';
import {
  carriedRecordSchema,
  controlPayloadSchema,
  rolloutStateSchema,
  sealSchema,
} from './controlRecords.js';
import type {LeaseState} from './lease.js';
import {applyLeaseRecord, noLease} from './lease.js';
import type {RecordBodies, RecordKind} from './records.js';
import {parseRecordKey, parseRecordBody} from './records.js';
import {applyRollout, isNewerRollout} from './rollout.js';

/** The newest accepted revision of a configuration record. */
export interface StoredRecord {
  key: string;
  revision: number;
  /** Offset of the put that created this revision. */
  offset: number;
  schemaVersion: number;
  /** Body as written; null for a deleted record. */
  raw: unknown;
  /**
   * Newest body that this process could parse; null for a deleted record, or if
   * the process has parsed none since the record was created.
   */
  body: unknown;
  /** False if the schema of `raw` is newer than this process supports. */
  isUnderstood: boolean;
  operator: string;
}

/** Outcome of an append. */
export type AppendOutcome =
  | {tag: 'accepted'; offset: number; revision?: number}
  | {tag: 'conflict'; winner: string; revision: number; offset: number}
  | {tag: 'invalid'; detail: string};

/** State derived from the control stream; immutable. */
export interface ControlState {
  /** Highest offset applied; -1 if none. */
  highest: number;
  records: ReadonlyMap<string, StoredRecord>;
  lease: LeaseState;
  lastSealed: number;
  seals: ReadonlyMap<number, Seal & {offset: number}>;
  quarantine: ReadonlyMap<string, string>;
  /** Newest rollout of each model. */
  rollouts: ReadonlyMap<string, RolloutState>;
  outcomes: ReadonlyMap<string, AppendOutcome>;
  /** Number of records whose schema is newer than this process supports. */
  newerSchemas: number;
  /** True if the state is known to contain every live record. */
  isComplete: boolean;
  /** Offset of the last checkpoint that dropped tombstones. */
  droppedAt?: number;
}

export const emptyControlState: ControlState = {
  highest: -1,
  records: new Map(),
  lease: noLease,
  lastSealed: -1,
  seals: new Map(),
  quarantine: new Map(),
  rollouts: new Map(),
  outcomes: new Map(),
  newerSchemas: 0,
  isComplete: false,
};

const snapshotSchema = z.object({
  highest: z.number().int().min(-1),
  records: z.array(
    z.tuple([
      z.string(),
      carriedRecordSchema.omit({body: true}).extend({raw: z.unknown()}),
    ]),
  ),
  lease: z.object({
    holder: z.string(),
    fencing: z.number().int(),
    lastOffset: z.number().int(),
    isReleased: z.boolean(),
  }),
  lastSealed: z.number().int().min(-1),
  seals: z.array(
    z.tuple([z.number().int(), sealSchema.extend({offset: z.number().int()})]),
  ),
  quarantine: z.array(z.tuple([z.string(), z.string()])),
  rollouts: z.array(rolloutStateSchema).default([]),
  newerSchemas: z.number().int(),
  isComplete: z.boolean(),
  droppedAt: z.number().int().optional(),
});

/** Mutable copy of the state, used while a batch of records is applied. */
interface Draft {
  highest: number;
  records: Map<string, StoredRecord>;
  lease: LeaseState;
  lastSealed: number;
  seals: Map<number, Seal & {offset: number}>;
  quarantine: Map<string, string>;
  rollouts: Map<string, RolloutState>;
  outcomes: Map<string, AppendOutcome>;
  newerSchemas: number;
  isComplete: boolean;
  droppedAt?: number;
}

function evictOldest<Key, Value>(map: Map<Key, Value>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}

/**
 * Parses a carried record. If its schema is newer than this process supports,
 * the body of the previous revision is kept. Returns a message if the record is
 * invalid.
 */
function createStoredRecord(
  carried: CarriedRecord,
  previous: StoredRecord | undefined,
): StoredRecord | string {
  const key = parseRecordKey(carried.key);
  if (!key.ok) return `unknown record key ${carried.key}`;
  const base = {
    key: carried.key,
    revision: carried.revision,
    offset: carried.offset,
    schemaVersion: carried.schemaVersion,
    raw: carried.body ?? null,
    operator: carried.operator,
  };
  if (base.raw === null) return {...base, body: null, isUnderstood: true};
  const body = parseRecordBody(key.value.kind, carried.schemaVersion, base.raw);
  if (body.ok) return {...base, body: body.value, isUnderstood: true};
  if (body.error.tag === 'newer_schema') {
    return {...base, body: previous?.body ?? null, isUnderstood: false};
  }
  return body.error.tag === 'invalid_body'
    ? body.error.mistakes.join('; ')
    : body.error.tag;
}

function applyPut(draft: Draft, offset: number, put: Put): AppendOutcome {
  const current = draft.records.get(put.key);
  const revision = current?.revision ?? 0;
  if (put.baseRevision !== revision) {
    const winner = current?.operator ?? '';
    return {tag: 'conflict', winner, revision, offset};
  }
  const carried = {...put, revision: revision + 1, offset};
  const record = createStoredRecord(carried, current);
  if (typeof record === 'string') return {tag: 'invalid', detail: record};
  draft.records.set(put.key, record);
  return {tag: 'accepted', offset, revision: record.revision};
}

/**
 * Applies the carried records of a checkpoint; none overrides a newer record.
 */
function applyCheckpoint(
  draft: Draft,
  offset: number,
  checkpoint: Checkpoint,
): AppendOutcome {
  for (const carried of checkpoint.entries) {
    const current = draft.records.get(carried.key);
    if (current && current.offset >= carried.offset) continue;
    // The writer of this checkpoint had not yet read the last record that
    // dropped tombstones. The key's tombstone may be among them, so applying
    // the carried record could restore a deleted key.
    if (!current && checkpoint.asOf < (draft.droppedAt ?? -1)) continue;
    const record = createStoredRecord(carried, current);
    if (typeof record !== 'string') draft.records.set(carried.key, record);
  }
  for (const {key, offset: droppedOffset} of checkpoint.dropped ?? []) {
    const current = draft.records.get(key);
    const isTombstone = current?.raw === null;
    if (isTombstone && current.offset === droppedOffset) {
      draft.records.delete(key);
      draft.droppedAt = offset;
    }
  }
  for (const rollout of checkpoint.rollouts ?? []) {
    const current = draft.rollouts.get(rollout.model);
    if (current && !isNewerRollout(rollout, current)) continue;
    draft.rollouts.set(rollout.model, rollout);
  }
  draft.lastSealed = Math.max(draft.lastSealed, checkpoint.lastSealed);
  return {tag: 'accepted', offset};
}

/**
 * Applies a seal. Only the lease holder may seal, and each window only once.
 */
function applySeal(draft: Draft, offset: number, seal: Seal): AppendOutcome {
  if (seal.fencing !== draft.lease.fencing) {
    return {tag: 'invalid', detail: 'stale fencing number'};
  }
  if (seal.window <= draft.lastSealed) {
    return {tag: 'invalid', detail: 'window already sealed'};
  }
  draft.seals.set(seal.window, {...seal, offset});
  draft.lastSealed = seal.window;
  evictOldest(draft.seals, MAX_RETAINED_SEALS);
  return {tag: 'accepted', offset};
}

/**
 * Applies a rollout record. Only the lease holder may write them; a repeated
 * record has no effect.
 */
function applyRolloutRecord(
  draft: Draft,
  offset: number,
  record: RolloutRecord,
): AppendOutcome {
  if (record.fencing !== draft.lease.fencing) {
    return {tag: 'invalid', detail: 'stale fencing number'};
  }
  const applied = applyRollout(
    draft.rollouts.get(record.model),
    record,
    offset,
  );
  if (typeof applied === 'string') return {tag: 'invalid', detail: applied};
  draft.rollouts.set(record.model, applied);
  return {tag: 'accepted', offset};
}

function applyLease(
  draft: Draft,
  offset: number,
  payload: Extract<ControlPayload, {type: 'claim' | 'renew' | 'release'}>,
): AppendOutcome {
  const lease = applyLeaseRecord(draft.lease, offset, payload);
  if (lease === draft.lease) {
    return {tag: 'invalid', detail: 'lease record lost the race'};
  }
  draft.lease = lease;
  return {tag: 'accepted', offset};
}

type Handlers = {
  [Type in ControlPayload['type']]: (
    draft: Draft,
    offset: number,
    payload: Extract<ControlPayload, {type: Type}>,
  ) => AppendOutcome;
};

const handlers: Handlers = {
  put: applyPut,
  claim: applyLease,
  renew: applyLease,
  release: applyLease,
  seal: applySeal,
  checkpoint: applyCheckpoint,
  quarantine: (draft, offset, payload) => {
    draft.quarantine.set(payload.fingerprint, payload.reason);
    evictOldest(draft.quarantine, MAX_QUARANTINED_FINGERPRINTS);
    return {tag: 'accepted', offset};
  },
  rollout: applyRolloutRecord,
};

function applyRecord(draft: Draft, record: LogRecord): void {
  if (record.offset <= draft.highest) return;
  draft.highest = record.offset;
  if (draft.outcomes.has(record.appendId)) return;
  const payload = controlPayloadSchema.safeParse(record.payload);
  const outcome: AppendOutcome = payload.success
    ? handlers[payload.data.type](draft, record.offset, payload.data as never)
    : {tag: 'invalid', detail: payload.error.message};
  draft.outcomes.set(record.appendId, outcome);
  evictOldest(draft.outcomes, MAX_RETAINED_APPEND_OUTCOMES);
}

/** Applies a batch of log records, in offset order, to the state. */
export function applyControlRecords(
  state: ControlState,
  records: readonly LogRecord[],
): ControlState {
  if (records.length === 0) return state;
  const draft: Draft = {
    ...state,
    records: new Map(state.records),
    seals: new Map(state.seals),
    quarantine: new Map(state.quarantine),
    rollouts: new Map(state.rollouts),
    outcomes: new Map(state.outcomes),
  };
  for (const record of records) applyRecord(draft, record);
  draft.newerSchemas = [...draft.records.values()].filter(
    record => !record.isUnderstood,
  ).length;
  return draft;
}

/** Restores records from checkpoint entries; skips invalid ones. */
export function restoreCarriedRecords(
  entries: readonly CarriedRecord[],
): Map<string, StoredRecord> {
  const records = new Map<string, StoredRecord>();
  for (const entry of entries) {
    const record = createStoredRecord(entry, undefined);
    if (typeof record !== 'string') records.set(entry.key, record);
  }
  return records;
}

/** Returns the parsed body of a record; null if it is absent or deleted. */
export function getRecordBody<Kind extends RecordKind>(
  state: ControlState,
  kind: Kind,
  id: string,
): RecordBodies[Kind] | null {
  const record = state.records.get(`${kind}/${id}`);
  return (record?.body ?? null) as RecordBodies[Kind] | null;
}

/** Returns the parsed bodies of all live records of a kind, sorted by id. */
export function listRecords<Kind extends RecordKind>(
  state: ControlState,
  kind: Kind,
): Array<{id: string; body: RecordBodies[Kind]}> {
  const prefix = `${kind}/`;
  const found: Array<{id: string; body: RecordBodies[Kind]}> = [];
  for (const [key, record] of state.records) {
    if (!key.startsWith(prefix) || record.body === null) continue;
    const body = record.body as RecordBodies[Kind];
    found.push({id: key.slice(prefix.length), body});
  }
  return found.sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * Converts the state to JSON for a peer. Append outcomes are left out, as they
 * are only used locally.
 */
export function serializeControlState(state: ControlState): unknown {
  return {
    ...state,
    records: [...state.records],
    seals: [...state.seals],
    quarantine: [...state.quarantine],
    rollouts: [...state.rollouts.values()],
    outcomes: [],
  };
}

/**
 * Restores a state from the output of `serializeControlState`; null if it is
 * malformed.
 */
export function restoreControlState(data: unknown): ControlState | null {
  const parsed = snapshotSchema.safeParse(data);
  if (!parsed.success) return null;
  const snapshot = parsed.data;
  const records = new Map<string, StoredRecord>();
  for (const [key, record] of snapshot.records) {
    // A record stored under another key would be invisible to puts to its own
    // key.
    if (key !== record.key) return null;
    const stored = createStoredRecord({...record, body: record.raw}, undefined);
    if (typeof stored !== 'string') records.set(key, stored);
  }
  return {
    ...snapshot,
    records,
    seals: new Map(snapshot.seals),
    quarantine: new Map(snapshot.quarantine),
    rollouts: new Map(snapshot.rollouts.map(item => [item.model, item])),
    outcomes: new Map(),
  };
}
