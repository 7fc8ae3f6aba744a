export interface BatchSchedulerOptions {
  /** Time per token of a request that runs alone, ms. */
  tokenMs?: number;
  /**
   * Batch size at which each request runs at half the speed of a single one.
   */
  halfSpeedBatch?: number;
  /** Maximum number of requests in the batch; others wait. */
  maxBatch?: number;
}

/** A request that generates tokens. */
export interface Generation {
  /** Requests with a higher priority are admitted first. */
  priority: number;
  /** End of prompt prefill on the monotonic clock, ms. */
  readyAt: number;
  /** Generates one token; returns false if it was the last. */
  generateToken(): boolean;
}

/**
 * Continuous batching: each step generates one token for every running request.
 */
export interface BatchScheduler {
  add(generation: Generation): void;
  remove(generation: Generation): void;
  clear(): void;
  /** Generates no tokens while paused. */
  setPaused(isPaused: boolean): void;
  getCounts(): {running: number; waiting: number};
  stop(): void;
}

/**
 * Maximum number of overdue steps that one timer tick runs after the process
 * was busy.
 */
const MAX_STEPS_PER_TICK = 64;

/**
 * @param isStalled Checked at each tick; a stalled engine generates no tokens.
 */
export function createBatchScheduler(
  options: BatchSchedulerOptions,
  isStalled: () => boolean,
): BatchScheduler {
  const tokenMs = options.tokenMs ?? 2;
  const halfSpeedBatch = options.halfSpeedBatch ?? 16;
  const maxBatch = options.maxBatch ?? 32;
  const running = new Set<Generation>();
  let waiting: Generation[] = [];
  let isPaused = false;
  let timer: NodeJS.Timeout | undefined;
  let lastStepAt = 0;

  const admit = () => {
    while (waiting.length > 0 && running.size < maxBatch) {
      const priority = Math.max(...waiting.map(g => g.priority));
      const index = waiting.findIndex(g => g.priority === priority);
      running.add(waiting.splice(index, 1)[0]);
    }
  };
  const step = (now: number) => {
    for (const generation of running) {
      if (generation.readyAt > now) continue;
      if (!generation.generateToken()) running.delete(generation);
    }
    admit();
  };
  const getStepMs = () => tokenMs * (1 + running.size / halfSpeedBatch);
  const tick = () => {
    timer = undefined;
    const now = performance.now();
    const stepMs = getStepMs();
    const due = stepMs > 0 ? Math.floor((now - lastStepAt) / stepMs) : 1;
    const isIdle = isPaused || isStalled();
    for (let i = 0; !isIdle && i < Math.min(due, MAX_STEPS_PER_TICK); i++) {
      step(now);
    }
    lastStepAt = due > MAX_STEPS_PER_TICK ? now : lastStepAt + due * stepMs;
    schedule();
  };
  const schedule = () => {
    if (timer || running.size === 0) return;
    timer = setTimeout(tick, Math.max(1, getStepMs()));
  };
  return {
    add: generation => {
      if (running.size === 0) lastStepAt = performance.now();
      waiting.push(generation);
      admit();
      schedule();
    },
    remove: generation => {
      running.delete(generation);
      waiting = waiting.filter(other => other !== generation);
      admit();
    },
    clear: () => {
      running.clear();
      waiting = [];
    },
    setPaused: value => {
      isPaused = value;
    },
    getCounts: () => ({running: running.size, waiting: waiting.length}),
    stop: () => clearTimeout(timer),
  };
}
