/** Requests that began, by account. */
export type UsageCounts = Readonly<Record<string, number>>;

interface WindowUsage {
  /** By process; a later cell of the same process replaces the earlier. */
  cells: Map<string, UsageCounts>;
  seal: UsageCounts | null;
  isReported: boolean;
}

/** Windows that are remembered. */
const MAX_WINDOWS = 64;

/** What the control stream tells about usage, window by window. */
export class UsageLedger {
  private readonly windows = new Map<number, WindowUsage>();

  applyProcessCounts(cell: {
    process: string;
    window: number;
    counts: UsageCounts;
  }) {
    const window = this.getWindow(cell.window);
    const before = window.cells.get(cell.process) ?? {};
    const merged: Record<string, number> = {...before};
    for (const [account, count] of Object.entries(cell.counts)) {
      merged[account] = Math.max(merged[account] ?? 0, count);
    }
    window.cells.set(cell.process, merged);
  }

  /** The first seal of a window counts. */
  applySeal(record: {window: number; counts: UsageCounts}): void {
    this.getWindow(record.window).seal ??= record.counts;
  }

  applyReported(window: number): void {
    this.getWindow(window).isReported = true;
  }

  getSeal(window: number): UsageCounts | null {
    return this.windows.get(window)?.seal ?? null;
  }

  isReported(window: number): boolean {
    return this.windows.get(window)?.isReported ?? false;
  }

  /** The sum of all cells of a window. */
  getTotal(window: number): UsageCounts {
    const total: Record<string, number> = {};
    for (const cell of this.windows.get(window)?.cells.values() ?? []) {
      for (const [account, count] of Object.entries(cell)) {
        total[account] = (total[account] ?? 0) + count;
      }
    }
    return total;
  }

  private getWindow(window: number): WindowUsage {
    let usage = this.windows.get(window);
    if (!usage) {
      usage = {cells: new Map(), seal: null, isReported: false};
      this.windows.set(window, usage);
      for (const old of this.windows.keys()) {
        if (this.windows.size <= MAX_WINDOWS) break;
        this.windows.delete(old);
      }
    }
    return usage;
  }
}
