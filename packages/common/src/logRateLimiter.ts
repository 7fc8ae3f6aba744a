import type {Logger} from './logger.js';

/** Lines of one kind that are written in one interval. */
const MAX_LINES = 200;
/** Length of an interval, ms. */
const INTERVAL_MS = 1_000;

type Level = 'info' | 'warn' | 'error';

interface KindCount {
  written: number;
  dropped: number;
}

/**
 * Bounds the lines of each kind; a kind is a level, a part and a sentence.
 * What was left out is told once an interval.
 */
export class LogRateLimiter {
  private readonly kinds = new Map<string, KindCount>();
  private endsAt = 0;

  constructor(private readonly now: () => number) {}

  /** Wraps a logger; `prefix` tells its part. */
  wrap(logger: Logger, prefix: string): Logger {
    const write =
      (level: Level) => (message: string, fields?: Record<string, unknown>) => {
        this.roll(logger);
        if (this.take(`${level} ${prefix}: ${message}`)) {
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

  private take(kind: string): boolean {
    const count = this.kinds.get(kind) ?? {written: 0, dropped: 0};
    this.kinds.set(kind, count);
    if (count.written >= MAX_LINES) {
      count.dropped++;
      return false;
    }
    count.written++;
    return true;
  }

  /** Starts the next interval and tells what the last one left out. */
  private roll(logger: Logger): void {
    const now = this.now();
    if (now < this.endsAt) return;
    this.endsAt = now + INTERVAL_MS;
    for (const [kind, {dropped}] of this.kinds) {
      if (dropped > 0) logger.warn('lines were left out', {kind, dropped});
    }
    this.kinds.clear();
  }
}
