import type {Checkpoint, ControlPayload, LogRecord} from './controlRecords.js';
import {controlPayloadSchema} from './controlRecords.js';
import type {ControlState} from './controlState.js';
import {applyControlRecords, emptyControlState} from './controlState.js';
import type {LeaseState} from './lease.js';

interface ParsedRecord {
  record: LogRecord;
  payload: ControlPayload;
}

interface CheckpointRecord {
  offset: number;
  checkpoint: Checkpoint;
}

function parseRecords(records: readonly LogRecord[]): ParsedRecord[] {
  return records.flatMap(record => {
    const payload = controlPayloadSchema.safeParse(record.payload);
    return payload.success ? [{record, payload: payload.data}] : [];
  });
}

/** The newest completely read checkpoint cycle, empty if there is none. */
function findCycle(start: number, parsed: ParsedRecord[]): CheckpointRecord[] {
  const checkpoints = parsed.flatMap(({record, payload}) =>
    payload.type === 'checkpoint'
      ? [{offset: record.offset, checkpoint: payload}]
      : [],
  );
  for (const last of [...checkpoints].reverse()) {
    const {cycleStart, fencing} = last.checkpoint;
    if (cycleStart === undefined || cycleStart < start) continue;
    const cycle = checkpoints.filter(
      ({offset, checkpoint}) =>
        offset >= cycleStart &&
        offset <= last.offset &&
        checkpoint.fencing === fencing,
    );
    if (cycle.every(({checkpoint}) => checkpoint.asOf + 1 >= start)) {
      return cycle;
    }
  }
  return [];
}

/**
 * The lease as of the first checkpoint of a cycle. Without a carried lease
 * the next renewal of the current holder restores `lastOffset`.
 */
function getCarriedLease({checkpoint}: CheckpointRecord): LeaseState {
  const {fencing, lease} = checkpoint;
  return lease ?? {holder: '', fencing, lastOffset: fencing, isReleased: false};
}

/**
 * Builds the complete control state from consecutive log records; null if
 * they do not prove that it is complete. They do if they start at offset 0 or
 * contain a whole checkpoint cycle. Records that are newer than the carried
 * state are applied on top of it, because before the checkpoint was read their
 * base revisions and leases could not be checked.
 *
 * @param start Offset from which every record was read.
 */
export function rebuildControlState(
  start: number,
  records: readonly LogRecord[],
): ControlState | null {
  if (start === 0) {
    return {...applyControlRecords(emptyControlState, records), isWhole: true};
  }
  const parsed = parseRecords(records);
  const cycle = findCycle(start, parsed);
  if (cycle.length === 0) return null;
  const first = cycle.reduce((a, b) =>
    b.checkpoint.asOf < a.checkpoint.asOf ? b : a,
  );
  const asOf = first.checkpoint.asOf;
  const carriedAsOf = new Map<string, number>();
  let state: ControlState = emptyControlState;
  for (const {offset, checkpoint} of cycle) {
    const payload = {...checkpoint, lastSealed: -1};
    const record = {offset, appendId: `checkpoint ${offset}`, payload};
    state = applyControlRecords(state, [record]);
    for (const {key} of checkpoint.entries) {
      carriedAsOf.set(key, checkpoint.asOf);
    }
  }
  state = {
    ...state,
    highest: asOf,
    lease: getCarriedLease(first),
    lastSealed: first.checkpoint.lastSealed,
    outcomes: new Map(),
    isWhole: true,
  };
  const newer = parsed.filter(({record, payload}) => {
    if (record.offset <= asOf) return false;
    if (payload.type !== 'put') return true;
    return record.offset > (carriedAsOf.get(payload.key) ?? asOf);
  });
  const rebuilt = applyControlRecords(
    state,
    newer.map(({record}) => record),
  );
  const highest = Math.max(rebuilt.highest, records.at(-1)?.offset ?? -1);
  return {...rebuilt, highest};
}
