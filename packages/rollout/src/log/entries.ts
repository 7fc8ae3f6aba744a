/** First byte of the last record of an entry. */
const LAST_PART = 0;
/** First byte of a record whose entry continues in the next record. */
const MORE_PARTS = 1;
const MARKER_BYTES = 1;
/** Size of the length that precedes a record in an append. */
const LENGTH_BYTES = 4;

/** Splits an entry into records of at most `recordBytes` bytes each. */
export function splitEntry(entry: Buffer, recordBytes: number): Buffer[] {
  const partBytes = recordBytes - MARKER_BYTES;
  const records: Buffer[] = [];
  for (let start = 0; start === 0 || start < entry.length; start += partBytes) {
    const part = entry.subarray(start, start + partBytes);
    const marker = start + partBytes < entry.length ? MORE_PARTS : LAST_PART;
    records.push(Buffer.concat([Buffer.from([marker]), part]));
  }
  return records;
}

/** Returns the size of the records of an entry in an append, bytes. */
export function getAppendBytes(entry: Buffer, recordBytes: number): number {
  const partBytes = recordBytes - MARKER_BYTES;
  const recordCount = Math.max(1, Math.ceil(entry.length / partBytes));
  return entry.length + recordCount * (MARKER_BYTES + LENGTH_BYTES);
}

/**
 * Reassembles entries from the records of a partition. The records of one entry
 * are appended in one call, so they are contiguous.
 */
export class EntryAssembler {
  private parts: Buffer[] = [];

  /** Adds the next record; returns the entry that it completes, or null. */
  push(record: Buffer): Buffer | null {
    this.parts.push(record.subarray(MARKER_BYTES));
    if (record[0] === MORE_PARTS) return null;
    const entry =
      this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
    this.parts = [];
    return entry;
  }

  /** Discards a partial entry, for example after older records have expired. */
  reset(): void {
    this.parts = [];
  }
}
