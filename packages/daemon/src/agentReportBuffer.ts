import type {CrashReport, Load, UsageCell} from '@vanillacross/domain';

/** Cells that an agent keeps; the oldest windows go first. */
const MAX_CELLS = 8_192;
/** Cells in one report. */
const MAX_REPORTED_CELLS = 1_024;
/** Crash reports that wait for an entry. */
const MAX_CRASHES = 64;
/** Entries whose progress is remembered. */
const MAX_RECEIVERS = 16;

/** What an agent hands to an entry with a control poll. */
export interface AgentReport {
  load: Load;
  cells: UsageCell[];
  crashes: CrashReport[];
  /** Position up to which the report covers the agent's changes. */
  sequence: number;
  /** Position of the newest crash in the report. */
  crashSequence: number;
}

interface KeptCell {
  cell: UsageCell;
  /** Position of the cell's last change. */
  sequence: number;
}

interface KeptCrash {
  crash: CrashReport;
  sequence: number;
}

interface Progress {
  cells: number;
  crashes: number;
}

/** Usage of one finished request. */
export interface RequestUsage {
  window: number;
  entryEpoch: string;
  account: string;
  promptTokens: number;
  generatedTokens: number;
}

/** Cumulative usage cells and crash reports of one agent; bounded. */
export class AgentReportBuffer {
  private readonly cells = new Map<string, KeptCell>();
  private readonly receivers = new Map<string, Progress>();
  private crashes: KeptCrash[] = [];
  private sequence = 0;

  constructor(
    private readonly agentEpoch: string,
    private readonly onDropped: (kind: 'cell' | 'crash') => void,
  ) {}

  /** Adds one request to its cell. */
  addUsage(usage: RequestUsage): void {
    const {window, entryEpoch, account} = usage;
    const id = JSON.stringify([window, entryEpoch, account]);
    const cell = this.cells.get(id)?.cell ?? {
      window,
      entryEpoch,
      agentEpoch: this.agentEpoch,
      account,
      requests: 0,
      promptTokens: 0,
      generatedTokens: 0,
    };
    // Changed cells move to the end, so iteration is in order of change.
    this.cells.delete(id);
    this.cells.set(id, {
      cell: {
        ...cell,
        requests: cell.requests + 1,
        promptTokens: cell.promptTokens + usage.promptTokens,
        generatedTokens: cell.generatedTokens + usage.generatedTokens,
      },
      sequence: ++this.sequence,
    });
    if (this.cells.size > MAX_CELLS) this.dropOne();
  }

  addCrash(crash: CrashReport): void {
    this.crashes.push({crash, sequence: ++this.sequence});
    if (this.crashes.length > MAX_CRASHES) {
      this.crashes.shift();
      this.onDropped('crash');
    }
  }

  /** Changes that the receiver has not confirmed, oldest first. */
  getReport(load: Load, receiver: string): AgentReport {
    const progress = this.getProgress(receiver);
    const cells: UsageCell[] = [];
    let sequence = progress.cells;
    for (const kept of this.cells.values()) {
      if (kept.sequence <= progress.cells) continue;
      if (cells.length >= MAX_REPORTED_CELLS) break;
      cells.push(kept.cell);
      sequence = kept.sequence;
    }
    const crashes = this.crashes.filter(k => k.sequence > progress.crashes);
    return {
      load,
      cells,
      crashes: crashes.map(kept => kept.crash),
      sequence,
      crashSequence: crashes.at(-1)?.sequence ?? progress.crashes,
    };
  }

  /** Records that the receiver has taken a report. */
  confirmReport(report: AgentReport, receiver: string): void {
    const progress = this.getProgress(receiver);
    this.receivers.delete(receiver);
    this.receivers.set(receiver, {
      cells: Math.max(progress.cells, report.sequence),
      crashes: Math.max(progress.crashes, report.crashSequence),
    });
    for (const oldest of this.receivers.keys()) {
      if (this.receivers.size <= MAX_RECEIVERS) break;
      this.receivers.delete(oldest);
    }
  }

  private getProgress(receiver: string): Progress {
    return this.receivers.get(receiver) ?? {cells: 0, crashes: 0};
  }

  /** Drops a confirmed cell of the oldest window, else an unconfirmed one. */
  private dropOne(): void {
    const confirmed = Math.max(
      0,
      ...[...this.receivers.values()].map(progress => progress.cells),
    );
    let victim: string | null = null;
    let victimRank = Infinity;
    for (const [id, {cell, sequence}] of this.cells) {
      const rank = cell.window + (sequence <= confirmed ? 0 : 1e12);
      if (rank >= victimRank) continue;
      victim = id;
      victimRank = rank;
    }
    if (victim === null) return;
    if (victimRank >= 1e12) this.onDropped('cell');
    this.cells.delete(victim);
  }
}
