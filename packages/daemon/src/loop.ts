import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {Context, Component} from './types.js';

/** Wait after a step that threw, ms. */
const FAULT_WAIT_MS = 1_000;

/** A part that performs one step again and again. */
export interface Loop extends Component {
  /** Starts the next step now instead of at its time. */
  wake(): void;
}

/** Creates a loop; a step returns the time of the next one. */
export function createLoop(
  context: Context,
  name: string,
  step: () => Promise<MonotonicMs>,
): Loop {
  const {clock, logger, metrics} = context;
  let isStopping = false;
  let waker = new AbortController();
  let running: Promise<void> = Promise.resolve();
  const run = async () => {
    while (!isStopping) {
      waker = new AbortController();
      let next: MonotonicMs;
      try {
        next = await step();
      } catch (error) {
        metrics.count('vc_loop_faults', {loop: name});
        logger.error('step failed', {loop: name, detail: String(error)});
        next = getDeadline(clock.now(), FAULT_WAIT_MS);
      }
      if (!isStopping) await clock.waitUntil(next, waker.signal);
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
      waker.abort();
      const aborted = new Promise<void>(resolve => {
        if (signal.aborted) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
      await Promise.race([running, aborted]);
    },
    wake: () => waker.abort(),
  };
}
