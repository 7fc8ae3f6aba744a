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

/**
 * A window and an agent for which the entry did not read a response to its end.
 * The agent may have counted more usage than the entry.
 */
export interface MissedEnd {
  window: number;
  /** `ANY_AGENT` if the entry did not learn the epoch of the agent. */
  agentEpoch: string;
}

const HASH_LENGTH = 12;

function getContentHash(content: unknown): string {
  return getSha256(JSON.stringify(content)).slice(0, HASH_LENGTH);
}

function groupByWindow(cells: readonly UsageCell[]): Map<number, UsageCell[]> {
  const windows = new Map<number, UsageCell[]>();
  // Sorted, so that equal content has an equal hash.
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

/**
 * Usage known to an entry: its own counts, kept per link (that is, per agent
 * process), and the cells that it received from agents.
 */
export class EntryUsage {
  private readonly ownWindows = new UsageWindows();
  private readonly agentWindows = new UsageWindows();
  private readonly missed = new Map<number, Set<string>>();

  constructor(private readonly entryEpoch: string) {}

  /**
   * Merges the cumulative cells of the entry's own links; returns the number of
   * dropped cells.
   */
  mergeOwnCells(
    cells: readonly UsageCell[],
    missed: readonly MissedEnd[],
  ): number {
    for (const {window, agentEpoch} of missed) {
      const agents = this.missed.get(window) ?? new Set();
      this.missed.set(window, agents.add(agentEpoch));
    }
    return this.ownWindows.merge(cells);
  }

  /**
   * Merges cells received from an agent; returns the number of dropped cells.
   */
  mergeAgentCells(cells: readonly UsageCell[]): number {
    return this.agentWindows.merge(cells);
  }

  prune(lastSealed: number): void {
    this.ownWindows.prune(lastSealed);
    this.agentWindows.prune(lastSealed);
    for (const window of this.missed.keys()) {
      if (window <= lastSealed - RETAINED_WINDOWS) this.missed.delete(window);
    }
  }

  /**
   * Returns the totals of the windows up to `upTo` whose hash differs from the
   * known one.
   */
  getTotals(
    upTo: number,
    knownHashes: Readonly<Record<string, string>>,
  ): EntryTotals[] {
    const windows = groupByWindow(this.ownWindows.getCells(upTo));
    for (const window of this.missed.keys()) {
      if (window <= upTo && !windows.has(window)) windows.set(window, []);
    }
    return [...windows].flatMap(([window, cells]) => {
      const content = this.getContent(window, cells);
      const hash = getContentHash([this.entryEpoch, content]);
      return knownHashes[window] === hash ? [] : [{window, hash, ...content}];
    });
  }

  private getContent(window: number, cells: readonly UsageCell[]) {
    const missed = this.missed.get(window) ?? new Set();
    const isAnyAgentMissed = missed.has(ANY_AGENT);
    const open: UsageCell[] = [];
    const totals: EntryTotals['totals'] = {};
    for (const cell of cells) {
      if (isAnyAgentMissed || missed.has(cell.agentEpoch)) {
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
    const agents = isAnyAgentMissed ? [ANY_AGENT] : [...missed].sort();
    const links = agents.map(agent => getLinkHash(this.entryEpoch, agent));
    return {totals, open: encodeUsageRows(open), links};
  }

  /**
   * Returns cells received from agents, for windows up to `upTo` whose hash
   * differs from the known one. Only cells whose entry is not in `liveEntries`,
   * or whose link is in `links`, are included.
   */
  getOrphans(
    upTo: number,
    liveEntries: ReadonlySet<string>,
    links: ReadonlySet<string>,
    knownHashes: Readonly<Record<string, string>>,
  ): OrphanRows[] {
    const includedLinks = new Map<string, boolean>();
    const isIncluded = ({entryEpoch, agentEpoch}: UsageCell): boolean => {
      const key = `${entryEpoch}\u0000${agentEpoch}`;
      let included = includedLinks.get(key);
      if (included === undefined) {
        included =
          !liveEntries.has(getShortHash(entryEpoch)) ||
          (links.size > 0 &&
            [agentEpoch, ANY_AGENT].some(agent =>
              links.has(getLinkHash(entryEpoch, agent)),
            ));
        includedLinks.set(key, included);
      }
      return included;
    };
    const cells = this.agentWindows.getCells(upTo).filter(isIncluded);
    return [...groupByWindow(cells)].flatMap(([window, found]) => {
      const content = encodeUsageRows(found);
      const hash = getContentHash(content);
      return knownHashes[window] === hash
        ? []
        : [{window, hash, cells: content}];
    });
  }
}
