import type {UsageCounts} from './controlRecords.js';
import type {UsageCell} from './messages.js';

/** Usage cells by a key that encodes the fields of `UsageCellId`. */
export type UsageCells = Map<string, UsageCell>;

/** Fields that identify a cell. */
export type UsageCellId = Omit<UsageCell, keyof UsageCounts>;

function getCellKey(cell: UsageCellId): string {
  return JSON.stringify([
    cell.window,
    cell.entryEpoch,
    cell.agentEpoch,
    cell.account,
  ]);
}

/** Adds usage to the cumulative counts of a cell. */
export function addUsage(
  cells: UsageCells,
  id: UsageCellId,
  usage: UsageCounts,
): void {
  const key = getCellKey(id);
  const cell = cells.get(key);
  cells.set(key, {
    window: id.window,
    entryEpoch: id.entryEpoch,
    agentEpoch: id.agentEpoch,
    account: id.account,
    requests: (cell?.requests ?? 0) + usage.requests,
    promptTokens: (cell?.promptTokens ?? 0) + usage.promptTokens,
    generatedTokens: (cell?.generatedTokens ?? 0) + usage.generatedTokens,
  });
}

/**
 * Merges cells from another process by the maximum of each count. Counts are
 * cumulative, so repeated and reordered messages have no effect.
 */
export function mergeUsage(
  cells: UsageCells,
  others: Iterable<UsageCell>,
): void {
  for (const other of others) {
    const key = getCellKey(other);
    const cell = cells.get(key);
    if (!cell) {
      cells.set(key, {...other});
      continue;
    }
    cells.set(key, {
      ...cell,
      requests: Math.max(cell.requests, other.requests),
      promptTokens: Math.max(cell.promptTokens, other.promptTokens),
      generatedTokens: Math.max(cell.generatedTokens, other.generatedTokens),
    });
  }
}

/** Removes the cells of all windows before the given one. */
export function dropUsageBefore(cells: UsageCells, window: number): void {
  for (const [key, cell] of cells) {
    if (cell.window < window) cells.delete(key);
  }
}

/** Returns the usage window that contains a wall-clock time. */
export function getUsageWindow(wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs);
}
