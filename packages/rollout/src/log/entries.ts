/** Marks a record that ends its entry. */
const LAST_PART = 0;
/** Marks a record whose entry goes on in the next record. */
const MORE_PARTS = 1;
const MARK_BYTES = 1;

/** Splits an entry into records of a limited size, in bytes. */
export function splitEntry(entry: Buffer, recordBytes: number): Buffer[] {
  const room = recordBytes - MARK_BYTES;
  const records: Buffer[] = [];
  for (let start = 0; start === 0 || start < entry.length; start += room) {
    const part = entry.subarray(start, start + room);
    const mark = start + room < entry.length ? MORE_PARTS : LAST_PART;
    records.push(Buffer.concat([Buffer.from([mark]), part]));
  }
  return records;
}

/**
 * Joins the records of a partition to entries. The records of one entry are
 * appended together, so they follow each other.
 */
export class EntryAssembler {
  private parts: Buffer[] = [];

  /** Takes the next record; returns the entry that it completes, if any. */
  push(record: Buffer): Buffer | null {
    this.parts.push(record.subarray(MARK_BYTES));
    if (record[0] === MORE_PARTS) return null;
    const entry =
      this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
    this.parts = [];
    return entry;
  }

  /** Forgets a partial entry, as when older records have expired. */
  reset(): void {
    this.parts = [];
  }
}
