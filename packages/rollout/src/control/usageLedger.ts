/** Number of executed requests, by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

interface WindowUsage {
  /** Highest counts that each process has published. */
  countsByProcess: Map<string, UsageCounts>;
  seal: UsageCounts | null;
  isReported: boolean;
}

/** Number of windows that are kept. */
const MAX_WINDOWS = 64;

/** Usage by window, as read from the control stream. */
export class UsageLedger {
  private readonly windows = new Map<number, WindowUsage>();

  applyProcessCounts(record: {
    process: string;
    window: number;
    counts: UsageCounts;
  }) {
    const window = this.getWindow(record.window);
    const previous = window.countsByProcess.get(record.process) ?? {};
    const merged: Record<string, number> = {...previous};
    for (const [account, count] of Object.entries(record.counts)) {
      merged[account] = Math.max(merged[account] ?? 0, count);
    }
    window.countsByProcess.set(record.process, merged);
  }

  /** Applies a seal; only the first one of a window takes effect. */
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

  /** Returns the sum of all processes' counts in a window. */
  getTotal(window: number): UsageCounts {
    const total: Record<string, number> = {};
    for (const counts of this.windows.get(window)?.countsByProcess.values() ??
      []) {
      for (const [account, count] of Object.entries(counts)) {
        total[account] = (total[account] ?? 0) + count;
      }
    }
    return total;
  }

  private getWindow(window: number): WindowUsage {
    let usage = this.windows.get(window);
    if (!usage) {
      usage = {countsByProcess: new Map(), seal: null, isReported: false};
      this.windows.set(window, usage);
      for (const old of this.windows.keys()) {
        if (this.windows.size <= MAX_WINDOWS) break;
        this.windows.delete(old);
      }
    }
    return usage;
  }
}
