import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

/** Who owns the partitions, as a reserve process sees it. */
export interface PartitionOwnership {
  partitionCount: number;
  /** Owner of each partition that has one. */
  owners: ReadonlyMap<number, string>;
  /** Name of the reserve process. */
  self: string;
}

/** What a reserve process remembers between two checks. */
export interface ReserveState {
  isNeeded: boolean;
  /** When the need changes unless a check contradicts; null if it need not. */
  changesAt: MonotonicMs | null;
}

export const idleReserve: ReserveState = {isNeeded: false, changesAt: null};

/** Prefix of the names of reserve processes in the group of owners. */
const RESERVE_PREFIX = 'reserve.';

/** Returns the name of a process in the group of owners. */
export function getMemberName(process: string, isReserve: boolean): string {
  return isReserve ? RESERVE_PREFIX + process : process;
}

/** Number of partitions that one regular process may own. */
const MAX_PARTITIONS_PER_OWNER = 3;
/**
 * Time for which owners must be lacking before a reserve process joins, ms. A
 * restarted process takes up its partitions within it.
 */
const JOIN_DELAY_MS = 1_500;
/** Time for which there must be enough owners before it leaves again, ms. */
const LEAVE_DELAY_MS = 5_000;

/**
 * Returns the owners that this process counts on. While it owns partitions, those
 * are the regular processes and the reserves before it in the order of names:
 * reserves that counted on each other would all leave at once.
 */
function getOtherOwners({owners, self}: PartitionOwnership): string[] {
  const names = new Set(owners.values());
  const isOwner = names.delete(self);
  return [...names].filter(
    name => !isOwner || !name.startsWith(RESERVE_PREFIX) || name < self,
  );
}

function isLackingOwners(ownership: PartitionOwnership): boolean {
  const {partitionCount, owners} = ownership;
  const otherCount = getOtherOwners(ownership).length;
  // The stream may have more partitions than there are for steps.
  const ownedCount = [...owners.keys()].filter(p => p < partitionCount).length;
  const isUnowned = ownedCount < partitionCount;
  return isUnowned || otherCount * MAX_PARTITIONS_PER_OWNER < partitionCount;
}

/**
 * Decides whether a process on a small machine runs samples. It answers the load
 * of whole steps at machines with a fraction of a core, where reading the
 * history of a partition after a restart takes seconds and events are handled
 * late: such machines run samples only while the others are too few.
 */
export function updateReserve(
  state: ReserveState,
  ownership: PartitionOwnership,
  now: MonotonicMs,
): ReserveState {
  const shouldBeNeeded = isLackingOwners(ownership);
  if (shouldBeNeeded === state.isNeeded) return {...state, changesAt: null};
  const delayMs = shouldBeNeeded ? JOIN_DELAY_MS : LEAVE_DELAY_MS;
  const changesAt = state.changesAt ?? getDeadline(now, delayMs);
  if (now < changesAt) return {...state, changesAt};
  return {isNeeded: shouldBeNeeded, changesAt: null};
}
