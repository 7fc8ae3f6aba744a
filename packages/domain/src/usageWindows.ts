import type {UsageCounts, Seal, UsageByAccount} from './controlRecords.js';
import type {UsageCell} from './messages.js';
import type {EntryTotals} from './usageRows.js';
import {ANY_AGENT, decodeUsageRows, getLinkHash} from './usageRows.js';

/** Maximum number of usage cells kept by one process. */
export const MAX_USAGE_CELLS = 250_000;
/**
 * Number of sealed windows whose cells are kept, for usage that is reported
 * late.
 */
export const RETAINED_WINDOWS = 8;
/**
 * Maximum number of ended windows after the last sealed one for which every
 * window is sealed. If there are more, the windows before the first one with
 * usage are skipped.
 */
const MAX_UNSEALED_WINDOWS_WITHOUT_SKIP = 64;

const COUNT_FIELDS = ['requests', 'promptTokens', 'generatedTokens'] as const;
const zeroCounts: UsageCounts = {
  requests: 0,
  promptTokens: 0,
  generatedTokens: 0,
};

type Seals = ReadonlyMap<number, Seal>;

/**
 * Usage in a seal that belongs to an earlier window, which is already sealed.
 */
export type LateUsage = NonNullable<Seal['late']>[number];

function combine(
  a: UsageCounts,
  b: UsageCounts,
  operation: (x: number, y: number) => number,
): UsageCounts {
  return {
    requests: operation(a.requests, b.requests),
    promptTokens: operation(a.promptTokens, b.promptTokens),
    generatedTokens: operation(a.generatedTokens, b.generatedTokens),
  };
}

const add = (x: number, y: number) => x + y;
const subtract = (x: number, y: number) => Math.max(0, x - y);

function isZero(figures: UsageCounts): boolean {
  return COUNT_FIELDS.every(field => figures[field] === 0);
}

function addCounts(
  totals: UsageByAccount,
  account: string,
  figures: UsageCounts,
): void {
  totals[account] = combine(totals[account] ?? zeroCounts, figures, add);
}

function getCellKey(cell: UsageCell): string {
  return `${cell.entryEpoch}\u0000${cell.agentEpoch}\u0000${cell.account}`;
}

function sumByAccount(cells: readonly UsageCell[]): UsageByAccount {
  const sums: UsageByAccount = {};
  for (const cell of cells) addCounts(sums, cell.account, cell);
  return sums;
}

function mergeByMaximum(a: UsageByAccount, b: UsageByAccount): UsageByAccount {
  const largest: UsageByAccount = {...a};
  for (const [account, figures] of Object.entries(b)) {
    largest[account] = combine(a[account] ?? zeroCounts, figures, Math.max);
  }
  return largest;
}

function isOmittedCell({links}: EntryWindow, cell: UsageCell): boolean {
  if (links.size === 0) return false;
  const {entryEpoch, agentEpoch} = cell;
  return [agentEpoch, ANY_AGENT].some(agent =>
    links.has(getLinkHash(entryEpoch, agent)),
  );
}

/**
 * Sums the totals of an entry and the cells of the links that the totals omit.
 */
function getOwnUsage(
  entry: EntryWindow,
  cells: readonly UsageCell[],
): UsageByAccount {
  const sums = sumByAccount(cells.filter(cell => isOmittedCell(entry, cell)));
  for (const [account, total] of Object.entries(entry.totals)) {
    const [requests, promptTokens, generatedTokens] = total;
    addCounts(sums, account, {requests, promptTokens, generatedTokens});
  }
  return sums;
}

/** Totals that an entry reported for one window. */
interface EntryWindow {
  totals: EntryTotals['totals'];
  /** Hashes of the links that the totals omit. */
  links: ReadonlySet<string>;
}

/** Usage cells by window, merged by maximum. The number of cells is bounded. */
export class UsageWindows {
  private readonly windows = new Map<number, Map<string, UsageCell>>();
  /** Reported totals by window and entry epoch. */
  private readonly entries = new Map<number, Map<string, EntryWindow>>();
  private size = 0;

  constructor(private readonly maxCells = MAX_USAGE_CELLS) {}

  /**
   * Merges cells; returns the number of cells dropped because the limit was
   * reached.
   */
  merge(cells: Iterable<UsageCell>): number {
    let dropped = 0;
    for (const cell of cells) {
      if (!this.mergeCell(cell)) dropped++;
    }
    return dropped;
  }

  /**
   * Replaces the totals that an entry reported for its own links. Returns the
   * number of dropped cells.
   */
  setEntryTotals(entryEpoch: string, item: EntryTotals): number {
    const cells = decodeUsageRows(item.window, item.open);
    const entries = this.entries.get(item.window) ?? new Map();
    this.entries.set(item.window, entries);
    entries.set(entryEpoch, {
      totals: item.totals,
      links: new Set(item.links),
    });
    return this.merge(cells);
  }

  /**
   * Returns the hashes of the links that totals omit; the agents' counts are
   * needed for them.
   */
  getOpenLinks(): string[] {
    const links = [...this.entries.values()]
      .flatMap(entries => [...entries.values()])
      .flatMap(entry => [...entry.links]);
    return [...new Set(links)];
  }

  private mergeCell(cell: UsageCell): boolean {
    const key = getCellKey(cell);
    const window = this.windows.get(cell.window);
    const existing = window?.get(key);
    if (window && existing) {
      window.set(key, {...existing, ...combine(existing, cell, Math.max)});
      return true;
    }
    if (this.size >= this.maxCells) return false;
    this.size++;
    if (window) window.set(key, {...cell});
    else this.windows.set(cell.window, new Map([[key, {...cell}]]));
    return true;
  }

  /** Removes the windows whose retention after sealing has ended. */
  prune(lastSealed: number): void {
    for (const [window, cells] of this.windows) {
      if (window > lastSealed - RETAINED_WINDOWS) continue;
      this.size -= cells.size;
      this.windows.delete(window);
    }
    for (const window of this.entries.keys()) {
      if (window <= lastSealed - RETAINED_WINDOWS) this.entries.delete(window);
    }
  }

  /** Returns the cells of all windows up to the given one. */
  getCells(upTo: number): UsageCell[] {
    return [...this.windows]
      .filter(([window]) => window <= upTo)
      .flatMap(([, cells]) => [...cells.values()]);
  }

  /** Returns the windows with usage, in ascending order. */
  getWindows(): number[] {
    const windows = new Set([...this.windows.keys(), ...this.entries.keys()]);
    return [...windows].sort((a, b) => a - b);
  }

  /**
   * Returns the usage of a window by account. An entry that reported totals
   * contributes, for each count, the larger of (a) its totals plus the cells of
   * the links that they omit and (b) the cells of all its links. (b) can be
   * larger because an entry that crashed after its report may have missed usage
   * that its agents counted.
   */
  getTotals(window: number): UsageByAccount {
    const totals: UsageByAccount = {};
    const byEntry = new Map<string, UsageCell[]>();
    for (const cell of this.windows.get(window)?.values() ?? []) {
      const cells = byEntry.get(cell.entryEpoch);
      if (cells) cells.push(cell);
      else byEntry.set(cell.entryEpoch, [cell]);
    }
    const entries = this.entries.get(window) ?? new Map<string, EntryWindow>();
    for (const epoch of new Set([...byEntry.keys(), ...entries.keys()])) {
      const cells = byEntry.get(epoch) ?? [];
      const sums = sumByAccount(cells);
      const entry = entries.get(epoch);
      const figures = entry
        ? mergeByMaximum(getOwnUsage(entry, cells), sums)
        : sums;
      for (const [account, item] of Object.entries(figures)) {
        addCounts(totals, account, item);
      }
    }
    return totals;
  }
}

/**
 * Returns the usage of a window that seals contain, whether in its own seal or
 * as late usage of a later one.
 */
function getReportedUsage(seals: Seals, window: number): UsageByAccount {
  const reported: UsageByAccount = {};
  const own = seals.get(window);
  for (const [account, figures] of Object.entries(own?.figures ?? {})) {
    addCounts(reported, account, figures);
  }
  for (const late of own?.late ?? []) {
    const remainder = reported[late.account] ?? zeroCounts;
    reported[late.account] = combine(remainder, late, subtract);
  }
  for (const seal of seals.values()) {
    for (const late of seal.late ?? []) {
      if (late.window === window) addCounts(reported, late.account, late);
    }
  }
  return reported;
}

/** Returns the usage of sealed windows that no seal contains yet. */
export function getLateUsage(
  usage: UsageWindows,
  seals: Seals,
  lastSealed: number,
): LateUsage[] {
  const found: LateUsage[] = [];
  for (const window of usage.getWindows()) {
    // Without its seal, it is unknown what was reported for the window.
    if (window > lastSealed || !seals.has(window)) continue;
    const reported = getReportedUsage(seals, window);
    for (const [account, total] of Object.entries(usage.getTotals(window))) {
      const remainder = combine(
        total,
        reported[account] ?? zeroCounts,
        subtract,
      );
      if (!isZero(remainder)) found.push({window, account, ...remainder});
    }
  }
  return found;
}

/** Returns the content of the seal of a window that is not sealed yet. */
export function getSealContent(
  usage: UsageWindows,
  seals: Seals,
  lastSealed: number,
  window: number,
): {figures: UsageByAccount; late: LateUsage[]} {
  const figures = usage.getTotals(window);
  const late = getLateUsage(usage, seals, lastSealed);
  for (const item of late) addCounts(figures, item.account, item);
  return {figures, late};
}

/**
 * Returns the next window to seal; null if none has ended. Windows are sealed
 * in ascending order. After a long gap without any usage, the old empty ones
 * are skipped.
 */
export function getNextWindowToSeal(
  usage: UsageWindows,
  lastSealed: number,
  newestEnded: number,
): number | null {
  const firstUnsealed = usage.getWindows().find(window => window > lastSealed);
  const oldest = Math.min(firstUnsealed ?? newestEnded, newestEnded);
  const next =
    lastSealed >= 0 &&
    newestEnded - lastSealed <= MAX_UNSEALED_WINDOWS_WITHOUT_SKIP
      ? lastSealed + 1
      : Math.max(lastSealed + 1, oldest);
  return next <= newestEnded ? next : null;
}
