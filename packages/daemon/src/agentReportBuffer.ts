import type {CrashReport, Load, UsageCell} from '@vanillacross/domain';

/**
 * Maximum number of usage cells kept; confirmed cells are dropped first, oldest
 * usage window first.
 */
const MAX_CELLS = 8_192;
/** Maximum number of cells in one report. */
const MAX_REPORTED_CELLS = 1_024;
/** Maximum number of crash reports kept; the oldest are dropped first. */
const MAX_CRASHES = 64;
/** Maximum number of entries whose confirmed position is remembered. */
const MAX_RECEIVERS = 16;

/** What an agent sends to an entry with a control poll. */
export interface AgentReport {
  load: Load;
  cells: UsageCell[];
  crashes: CrashReport[];
  /** Sequence number up to which the report covers the agent's cells. */
  sequence: number;
  /** Sequence number of the newest crash in the report. */
  crashSequence: number;
}

interface BufferedCell {
  cell: UsageCell;
  /** Sequence number of the cell's last change. */
  sequence: number;
}

interface BufferedCrash {
  crash: CrashReport;
  sequence: number;
}

interface ConfirmedPosition {
  cells: number;
  crashes: number;
}

/** Token usage of one finished request. */
export interface RequestUsage {
  window: number;
  entryEpoch: string;
  account: string;
  promptTokens: number;
  generatedTokens: number;
}

/**
 * Keeps the cumulative usage cells and the crash reports of one agent, bounded in
 * number, and tracks for each entry which of them it has confirmed.
 */
export class AgentReportBuffer {
  private readonly cells = new Map<string, BufferedCell>();
  private readonly confirmedPositions = new Map<string, ConfirmedPosition>();
  private crashes: BufferedCrash[] = [];
  private sequence = 0;

  constructor(
    private readonly agentEpoch: string,
    private readonly onDropped: (kind: 'cell' | 'crash') => void,
  ) {}

  /** Adds the usage of one request to its cell. */
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
    // Moves the changed cell to the end, so that iteration is in order of
    // change.
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
    if (this.cells.size > MAX_CELLS) this.dropCell();
  }

  addCrash(crash: CrashReport): void {
    this.crashes.push({crash, sequence: ++this.sequence});
    if (this.crashes.length > MAX_CRASHES) {
      this.crashes.shift();
      this.onDropped('crash');
    }
  }

  /** Returns the changes that the receiver has not confirmed, oldest first. */
  getReport(load: Load, receiver: string): AgentReport {
    const confirmed = this.getConfirmedPosition(receiver);
    const cells: UsageCell[] = [];
    let sequence = confirmed.cells;
    for (const buffered of this.cells.values()) {
      if (buffered.sequence <= confirmed.cells) continue;
      if (cells.length >= MAX_REPORTED_CELLS) break;
      cells.push(buffered.cell);
      sequence = buffered.sequence;
    }
    const crashes = this.crashes.filter(
      buffered => buffered.sequence > confirmed.crashes,
    );
    return {
      load,
      cells,
      crashes: crashes.map(buffered => buffered.crash),
      sequence,
      crashSequence: crashes.at(-1)?.sequence ?? confirmed.crashes,
    };
  }

  /** Records that the receiver has accepted a report. */
  confirmReport(report: AgentReport, receiver: string): void {
    const confirmed = this.getConfirmedPosition(receiver);
    this.confirmedPositions.delete(receiver);
    this.confirmedPositions.set(receiver, {
      cells: Math.max(confirmed.cells, report.sequence),
      crashes: Math.max(confirmed.crashes, report.crashSequence),
    });
    for (const oldest of this.confirmedPositions.keys()) {
      if (this.confirmedPositions.size <= MAX_RECEIVERS) break;
      this.confirmedPositions.delete(oldest);
    }
  }

  private getConfirmedPosition(receiver: string): ConfirmedPosition {
    return this.confirmedPositions.get(receiver) ?? {cells: 0, crashes: 0};
  }

  /**
   * Drops the confirmed cell of the oldest window, or an unconfirmed one if
   * there is no confirmed cell.
   */
  private dropCell(): void {
    const confirmed = Math.max(
      0,
      ...[...this.confirmedPositions.values()].map(position => position.cells),
    );
    let victim: string | null = null;
    let victimRank = Infinity;
    for (const [id, {cell, sequence}] of this.cells) {
      // Adding 1e12 ranks unconfirmed cells after all confirmed ones.
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
