import {getSha256} from '@vanillacross/common';

import type {UsageCell} from './messages.js';
import type {EntryTotals, OrphanRows} from './usageRows.js';
import {
  ANY_AGENT,
  encodeUsageRows,
  getLinkHash,
  getShortHash,
} from './usageRows.js';
import {RETAINED_WINDOWS, UsageWindows} from './usageWindows.js';

/** An answer whose end an entry did not read, so that the agent may count it. */
export interface MissedEnd {
  window: number;
  /** `ANY_AGENT` if the entry never learned the agent's epoch. */
  agentEpoch: string;
}

const HASH_LENGTH = 12;

function getHash(content: unknown): string {
  return getSha256(JSON.stringify(content)).slice(0, HASH_LENGTH);
}

function getByWindow(cells: readonly UsageCell[]): Map<number, UsageCell[]> {
  const windows = new Map<number, UsageCell[]>();
  // A fixed order, so that equal content has an equal hash.
  const sorted = [...cells].sort((a, b) => {
    const [x, y] = [a, b].map(
      c => `${c.entryEpoch}\u0000${c.agentEpoch}\u0000${c.account}`,
    );
    return x < y ? -1 : x > y ? 1 : 0;
  });
  for (const cell of sorted) {
    const window = windows.get(cell.window);
    if (window) window.push(cell);
    else windows.set(cell.window, [cell]);
  }
  return windows;
}

/** Usage that an entry knows: its own links' and what agents handed over. */
export class EntryUsage {
  private readonly own = new UsageWindows();
  private readonly handedOver = new UsageWindows();
  private readonly missed = new Map<number, Set<string>>();

  constructor(private readonly entryEpoch: string) {}

  /** Takes the cumulative cells of the own links; returns dropped ones. */
  mergeOwnCells(
    cells: readonly UsageCell[],
    missed: readonly MissedEnd[],
  ): number {
    for (const {window, agentEpoch} of missed) {
      const agents = this.missed.get(window) ?? new Set();
      this.missed.set(window, agents.add(agentEpoch));
    }
    return this.own.merge(cells);
  }

  /** Takes the cells that an agent handed over; returns dropped ones. */
  mergeAgentCells(cells: readonly UsageCell[]): number {
    return this.handedOver.merge(cells);
  }

  prune(lastSealed: number): void {
    this.own.prune(lastSealed);
    this.handedOver.prune(lastSealed);
    for (const window of this.missed.keys()) {
      if (window <= lastSealed - RETAINED_WINDOWS) this.missed.delete(window);
    }
  }

  /** Totals of windows up to `upTo` that differ from the known hashes. */
  getTotals(
    upTo: number,
    known: Readonly<Record<string, string>>,
  ): EntryTotals[] {
    const windows = getByWindow(this.own.getCells(upTo));
    for (const window of this.missed.keys()) {
      if (window <= upTo && !windows.has(window)) windows.set(window, []);
    }
    return [...windows].flatMap(([window, cells]) => {
      const content = this.getContent(window, cells);
      const hash = getHash([this.entryEpoch, content]);
      return known[window] === hash ? [] : [{window, hash, ...content}];
    });
  }

  private getContent(window: number, cells: readonly UsageCell[]) {
    const missed = this.missed.get(window) ?? new Set();
    const isAll = missed.has(ANY_AGENT);
    const open: UsageCell[] = [];
    const totals: EntryTotals['totals'] = {};
    for (const cell of cells) {
      if (isAll || missed.has(cell.agentEpoch)) {
        open.push(cell);
        continue;
      }
      const total = totals[cell.account] ?? [0, 0, 0];
      totals[cell.account] = [
        total[0] + cell.requests,
        total[1] + cell.promptTokens,
        total[2] + cell.generatedTokens,
      ];
    }
    const agents = isAll ? [ANY_AGENT] : [...missed].sort();
    const links = agents.map(agent => getLinkHash(this.entryEpoch, agent));
    return {totals, open: encodeUsageRows(open), links};
  }

  /**
   * Cells from agents whose entry is not among the live ones, or whose link
   * is named, of windows up to `upTo` that differ from the known hashes.
   */
  getOrphans(
    upTo: number,
    live: ReadonlySet<string>,
    links: ReadonlySet<string>,
    known: Readonly<Record<string, string>>,
  ): OrphanRows[] {
    const wanted = new Map<string, boolean>();
    const isWanted = ({entryEpoch, agentEpoch}: UsageCell): boolean => {
      const key = `${entryEpoch}\u0000${agentEpoch}`;
      let answer = wanted.get(key);
      if (answer === undefined) {
        answer =
          !live.has(getShortHash(entryEpoch)) ||
          (links.size > 0 &&
            [agentEpoch, ANY_AGENT].some(agent =>
              links.has(getLinkHash(entryEpoch, agent)),
            ));
        wanted.set(key, answer);
      }
      return answer;
    };
    const cells = this.handedOver.getCells(upTo).filter(isWanted);
    return [...getByWindow(cells)].flatMap(([window, found]) => {
      const content = encodeUsageRows(found);
      const hash = getHash(content);
      return known[window] === hash ? [] : [{window, hash, cells: content}];
    });
  }
}
