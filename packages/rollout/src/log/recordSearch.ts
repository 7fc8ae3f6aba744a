import type {LogFailure, SharedLog, StoredRecord} from '../model/index.js';

/** Maximum size of a page, KB. */
const PAGE_KB = 1_024;
/** Maximum number of pages that a search reads. */
const MAX_PAGES = 16;

/** Where a search begins. */
export interface SearchPosition {
  stream: string;
  partition: number;
  from: number;
}

export type RecordSearch =
  | {tag: 'found'; offset: number}
  /** The records are not between the position and the end of the partition. */
  | {tag: 'absent'}
  /** Records that would have to be compared have expired or are too many. */
  | {tag: 'undecided'}
  | {tag: 'failed'; failure: LogFailure};

function startsWith(
  found: readonly StoredRecord[],
  records: readonly Buffer[],
): boolean {
  return records.every((record, index) => record.equals(found[index].bytes));
}

/**
 * Searches a partition up to its end for consecutive records, as one append
 * stores them.
 */
export async function findRecords(
  log: SharedLog,
  {stream, partition, from}: SearchPosition,
  records: readonly Buffer[],
): Promise<RecordSearch> {
  // Records at the end of what was read that may begin a match.
  let candidates: StoredRecord[] = [];
  let next = from;
  for (let page = 0; page < MAX_PAGES; page++) {
    const outcome = await log.read({
      stream,
      partition,
      from: next,
      waitMs: 0,
      maxKb: PAGE_KB,
    });
    if (!outcome.ok) {
      const {error} = outcome;
      return error.tag === 'trimmed'
        ? {tag: 'undecided'}
        : {tag: 'failed', failure: error};
    }
    const {records: read, end} = outcome.value;
    candidates.push(...read);
    let start = 0;
    for (; candidates.length - start >= records.length; start++) {
      if (startsWith(candidates.slice(start), records)) {
        return {tag: 'found', offset: candidates[start].offset};
      }
    }
    candidates = candidates.slice(start);
    next += read.length;
    if (next >= end || read.length === 0) return {tag: 'absent'};
  }
  return {tag: 'undecided'};
}
