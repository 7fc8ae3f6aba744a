import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {Context, Component} from './types.js';

/** Delay after a step that threw, ms. */
const ERROR_DELAY_MS = 1_000;

/** A component that runs one step repeatedly. */
export interface Loop extends Component {
  /** Runs the next step now instead of at its scheduled time. */
  wake(): void;
}

/** Creates a loop; each step returns the time at which the next one is due. */
export function createLoop(
  context: Context,
  name: string,
  step: () => Promise<MonotonicMs>,
): Loop {
  const {clock, logger, metrics} = context;
  let isStopping = false;
  let wakeController = new AbortController();
  let running: Promise<void> = Promise.resolve();
  const run = async () => {
    while (!isStopping) {
      wakeController = new AbortController();
      let next: MonotonicMs;
      try {
        next = await step();
      } catch (error) {
        metrics.count('vc_loop_faults', {loop: name});
        logger.error('loop step failed', {loop: name, detail: String(error)});
        next = getDeadline(clock.now(), ERROR_DELAY_MS);
      }
      if (!isStopping) await clock.waitUntil(next, wakeController.signal);
    }
  };
  return {
    name,
    start: () => {
      isStopping = false;
      running = run();
    },
    stop: async signal => {
      isStopping = true;
      wakeController.abort();
      const aborted = new Promise<void>(resolve => {
        if (signal.aborted) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
      await Promise.race([running, aborted]);
    },
    wake: () => wakeController.abort(),
  };
}
