import type {Result} from '@vanillacross/common';
import {fail, ok, parseJson} from '@vanillacross/common';
import {z} from 'zod';

const leaseRecordSchema = z.object({
  type: z.enum(['claim', 'renewal', 'release']),
  /** Process that wrote the record, as instance and incarnation. */
  holder: z.string(),
  /** Instance of the holder, which runs one process at a time. */
  instance: z.string(),
});

/** A record of the lease stream. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** State of the lease according to the stream; immutable. */
export interface LeaseView {
  /** Offset after the last record of the stream. */
  end: number;
  holder: string | null;
  instance: string | null;
  /** Offset of the holder's claim, which increases with each holder. */
  fencingToken: number;
  /** When this process read the holder's newest record, ms. */
  seenAt: number;
}

export const noLease: LeaseView = {
  end: 0,
  holder: null,
  instance: null,
  fencingToken: -1,
  seenAt: 0,
};

export function encodeLeaseRecord(record: LeaseRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

export function decodeLeaseRecord(bytes: Buffer): Result<LeaseRecord, string> {
  const parsed = parseJson(bytes.toString('utf8'));
  if (!parsed.ok) return fail(parsed.error.detail);
  const record = leaseRecordSchema.safeParse(parsed.value);
  return record.success ? ok(record.data) : fail(record.error.message);
}

/** Applies the record at `offset` of the stream, read at `now` (ms). */
export function reduceLease(
  view: LeaseView,
  record: LeaseRecord,
  offset: number,
  now: number,
): LeaseView {
  const end = offset + 1;
  switch (record.type) {
    case 'claim':
      return {
        end,
        holder: record.holder,
        instance: record.instance,
        fencingToken: offset,
        seenAt: now,
      };
    case 'renewal':
      // Appends are conditional on the end of the stream, so a renewal by
      // another process should not occur.
      return record.holder === view.holder
        ? {...view, end, seenAt: now}
        : {...view, end};
    case 'release':
      return record.holder === view.holder
        ? {...view, end, holder: null, seenAt: now}
        : {...view, end};
  }
}

/**
 * Whether a process may claim the lease at `now`. The next process on the
 * holder's instance need not wait, because the previous one has ended.
 */
export function mayClaim(
  view: LeaseView,
  self: string,
  instance: string,
  now: number,
  successorWaitMs: number,
): boolean {
  if (view.holder === self) return false;
  if (view.instance === instance) return true;
  return view.holder === null || now - view.seenAt >= successorWaitMs;
}
