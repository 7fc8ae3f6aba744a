import type {RecordKind} from '@vanillacross/domain';

import {MAX_PUTS_PER_REQUEST, MAX_PUT_REQUEST_BYTES} from './constants.js';
import type {RecordChange} from './types.js';

/** Record kinds, ordered so that referenced records come first. */
const KIND_ORDER: readonly RecordKind[] = [
  'domain',
  'account',
  'pool',
  'key',
  'route',
  'trainer',
  'upstream',
  'reporting',
];

function getRank(change: RecordChange): number {
  const kind = change.key.split('/')[0] as RecordKind;
  const rank = KIND_ORDER.indexOf(kind);
  // Deletions come after all other changes, in reverse order of kinds, so that
  // a record is deleted before the records it references.
  return change.body === null ? 2 * KIND_ORDER.length - rank : rank;
}

/** Splits changes into ordered batches that each fit into one request. */
export function getPutBatches(
  changes: readonly RecordChange[],
): RecordChange[][] {
  const ordered = [...changes].sort((a, b) => getRank(a) - getRank(b));
  const batches: RecordChange[][] = [];
  let bytes = 0;
  for (const change of ordered) {
    const size = Buffer.byteLength(JSON.stringify(change));
    const batch = batches.at(-1);
    const isFull = !batch || batch.length >= MAX_PUTS_PER_REQUEST;
    if (isFull || bytes + size > MAX_PUT_REQUEST_BYTES) {
      batches.push([change]);
      bytes = size;
    } else {
      batch.push(change);
      bytes += size;
    }
  }
  return batches;
}
