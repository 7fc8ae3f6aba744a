import type {Logger} from './logger.js';

/** Maximum number of lines of one kind in one interval. */
const MAX_LINES_PER_INTERVAL = 200;
/** Length of an interval, ms. */
const INTERVAL_MS = 1_000;

type Level = 'info' | 'warn' | 'error';

interface KindCount {
  written: number;
  dropped: number;
}

/**
 * Limits the rate of log lines of each kind. Lines with the same level,
 * component and message are of the same kind. The number of dropped lines of
 * each kind is logged once per interval.
 */
export class LogRateLimiter {
  private readonly countsByKind = new Map<string, KindCount>();
  private intervalEndsAt = 0;

  constructor(private readonly now: () => number) {}

  /** Wraps a logger; `prefix` names its component. */
  wrap(logger: Logger, prefix: string): Logger {
    const write =
      (level: Level) => (message: string, fields?: Record<string, unknown>) => {
        this.startIntervalIfDue(logger);
        if (this.countLine(`${level} ${prefix}: ${message}`)) {
          logger[level](message, fields);
        }
      };
    return {
      info: write('info'),
      warn: write('warn'),
      error: write('error'),
      child: other => this.wrap(logger.child(other), other),
    };
  }

  private countLine(kind: string): boolean {
    const count = this.countsByKind.get(kind) ?? {written: 0, dropped: 0};
    this.countsByKind.set(kind, count);
    if (count.written >= MAX_LINES_PER_INTERVAL) {
      count.dropped++;
      return false;
    }
    count.written++;
    return true;
  }

  /**
   * Starts the next interval if it is due, and logs how many lines were dropped
   * in the last one.
   */
  private startIntervalIfDue(logger: Logger): void {
    const now = this.now();
    if (now < this.intervalEndsAt) return;
    this.intervalEndsAt = now + INTERVAL_MS;
    for (const [kind, {dropped}] of this.countsByKind) {
      if (dropped > 0) logger.warn('lines were left out', {kind, dropped});
    }
    this.countsByKind.clear();
  }
}
