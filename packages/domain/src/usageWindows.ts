import type {UsageCounts, Seal, UsageByAccount} from './controlRecords.js';
import type {UsageCell} from './messages.js';
import type {EntryTotals} from './usageRows.js';
import {ANY_AGENT, decodeUsageRows, getLinkHash} from './usageRows.js';

/** Usage cells that one process keeps. */
export const MAX_USAGE_CELLS = 250_000;
/** Sealed windows whose cells are kept, for figures that arrive late. */
export const RETAINED_WINDOWS = 8;
/** Windows between the last sealed and the newest that may be sealed. */
const MAX_OPEN_WINDOWS = 64;

const FIELDS = ['requests', 'promptTokens', 'generatedTokens'] as const;
const noFigures: UsageCounts = {
  requests: 0,
  promptTokens: 0,
  generatedTokens: 0,
};

type Seals = ReadonlyMap<number, Seal>;

/** Figures that a seal contains for an earlier, already sealed window. */
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
  return FIELDS.every(field => figures[field] === 0);
}

function addFigures(
  totals: UsageByAccount,
  account: string,
  figures: UsageCounts,
): void {
  totals[account] = combine(totals[account] ?? noFigures, figures, add);
}

function getCellKey(cell: UsageCell): string {
  return `${cell.entryEpoch}\u0000${cell.agentEpoch}\u0000${cell.account}`;
}

function getSums(cells: readonly UsageCell[]): UsageByAccount {
  const sums: UsageByAccount = {};
  for (const cell of cells) addFigures(sums, cell.account, cell);
  return sums;
}

function combineMax(a: UsageByAccount, b: UsageByAccount): UsageByAccount {
  const largest: UsageByAccount = {...a};
  for (const [account, figures] of Object.entries(b)) {
    largest[account] = combine(a[account] ?? noFigures, figures, Math.max);
  }
  return largest;
}

function isOpen({links}: EntryWindow, cell: UsageCell): boolean {
  if (links.size === 0) return false;
  const {entryEpoch, agentEpoch} = cell;
  return [agentEpoch, ANY_AGENT].some(agent =>
    links.has(getLinkHash(entryEpoch, agent)),
  );
}

/** Totals of an entry and the open cells that they do not contain. */
function getOwnSums(
  entry: EntryWindow,
  cells: readonly UsageCell[],
): UsageByAccount {
  const sums = getSums(cells.filter(cell => isOpen(entry, cell)));
  for (const [account, total] of Object.entries(entry.totals)) {
    const [requests, promptTokens, generatedTokens] = total;
    addFigures(sums, account, {requests, promptTokens, generatedTokens});
  }
  return sums;
}

/** What an entry said of one window. */
interface EntryWindow {
  totals: EntryTotals['totals'];
  /** Links that the totals do not contain. */
  links: ReadonlySet<string>;
}

/** Usage cells by window, merged by maximum. Bounded. */
export class UsageWindows {
  private readonly windows = new Map<number, Map<string, UsageCell>>();
  /** By window and entry epoch. */
  private readonly entries = new Map<number, Map<string, EntryWindow>>();
  private size = 0;

  constructor(private readonly maxCells = MAX_USAGE_CELLS) {}

  /** Merges cells; returns how many were dropped because memory is bounded. */
  merge(cells: Iterable<UsageCell>): number {
    let dropped = 0;
    for (const cell of cells) {
      if (!this.mergeCell(cell)) dropped++;
    }
    return dropped;
  }

  /**
   * Takes the newest totals of an entry for its own links, in place of its
   * earlier ones. Returns how many cells were dropped.
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

  /** Links of which agents' counts are needed. */
  getOpenLinks(): string[] {
    const links = [...this.entries.values()]
      .flatMap(entries => [...entries.values()])
      .flatMap(entry => [...entry.links]);
    return [...new Set(links)];
  }

  private mergeCell(cell: UsageCell): boolean {
    const key = getCellKey(cell);
    const window = this.windows.get(cell.window);
    const known = window?.get(key);
    if (window && known) {
      window.set(key, {...known, ...combine(known, cell, Math.max)});
      return true;
    }
    if (this.size >= this.maxCells) return false;
    this.size++;
    if (window) window.set(key, {...cell});
    else this.windows.set(cell.window, new Map([[key, {...cell}]]));
    return true;
  }

  /** Removes windows that are sealed for long. */
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

  /** Cells of a window and the earlier ones that are kept. */
  getCells(upTo: number): UsageCell[] {
    return [...this.windows]
      .filter(([window]) => window <= upTo)
      .flatMap(([, cells]) => [...cells.values()]);
  }

  /** Windows with cells, ascending. */
  getWindows(): number[] {
    const windows = new Set([...this.windows.keys(), ...this.entries.keys()]);
    return [...windows].sort((a, b) => a - b);
  }

  /**
   * Figures of a window by account. Of an entry that named totals, the larger
   * of these, with its open cells, and of the cells of all its links counts:
   * an entry that died later may have missed what its agents counted.
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
      const sums = getSums(cells);
      const entry = entries.get(epoch);
      const figures = entry ? combineMax(getOwnSums(entry, cells), sums) : sums;
      for (const [account, item] of Object.entries(figures)) {
        addFigures(totals, account, item);
      }
    }
    return totals;
  }
}

/** Figures of a window that seals contain, in its own seal or as late ones. */
function getReported(seals: Seals, window: number): UsageByAccount {
  const reported: UsageByAccount = {};
  const own = seals.get(window);
  for (const [account, figures] of Object.entries(own?.figures ?? {})) {
    addFigures(reported, account, figures);
  }
  for (const late of own?.late ?? []) {
    const rest = reported[late.account] ?? noFigures;
    reported[late.account] = combine(rest, late, subtract);
  }
  for (const seal of seals.values()) {
    for (const late of seal.late ?? []) {
      if (late.window === window) addFigures(reported, late.account, late);
    }
  }
  return reported;
}

/** Figures of sealed windows that no seal contains yet. */
export function getLateUsage(
  usage: UsageWindows,
  seals: Seals,
  lastSealed: number,
): LateUsage[] {
  const found: LateUsage[] = [];
  for (const window of usage.getWindows()) {
    // Without the seal it is unknown what was reported of the window.
    if (window > lastSealed || !seals.has(window)) continue;
    const reported = getReported(seals, window);
    for (const [account, total] of Object.entries(usage.getTotals(window))) {
      const rest = combine(total, reported[account] ?? noFigures, subtract);
      if (!isZero(rest)) found.push({window, account, ...rest});
    }
  }
  return found;
}

/** Content of the seal of an open window. */
export function getSealContent(
  usage: UsageWindows,
  seals: Seals,
  lastSealed: number,
  window: number,
): {figures: UsageByAccount; late: LateUsage[]} {
  const figures = usage.getTotals(window);
  const late = getLateUsage(usage, seals, lastSealed);
  for (const item of late) addFigures(figures, item.account, item);
  return {figures, late};
}

/**
 * The window to seal next, null if none has ended. Windows are sealed in
 * ascending order; after a long absence of all usage old empty ones are
 * passed over.
 */
export function getNextWindowToSeal(
  usage: UsageWindows,
  lastSealed: number,
  newestEnded: number,
): number | null {
  const firstOpen = usage.getWindows().find(window => window > lastSealed);
  const oldest = Math.min(firstOpen ?? newestEnded, newestEnded);
  const next =
    lastSealed >= 0 && newestEnded - lastSealed <= MAX_OPEN_WINDOWS
      ? lastSealed + 1
      : Math.max(lastSealed + 1, oldest);
  return next <= newestEnded ? next : null;
}
