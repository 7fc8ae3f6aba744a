import type {MonotonicMs} from '@vanillacross/common';

import type {SampleTask} from './sampleTask.js';

/**
 * Time for which a sample waits for an engine of its text's software version
 * before it starts again at another version, ms.
 */
const TEXT_WAIT_MS = 1_000;
/**
 * Number of runs without an event after which a sample no longer prefers engines
 * of its text's software version.
 */
const MAX_FRUITLESS_RUNS = 2;

/**
 * Decides whether a queued sample goes on with its text, waits for an engine that
 * can, or starts again from the beginning if an engine of another version has
 * room.
 *
 * @param hasChoice Whether an engine can go on with its text now.
 * @param hasEngineForText Returns whether an engine in service could, free or not.
 */
export function decideText(
  task: SampleTask,
  hasChoice: boolean,
  hasEngineForText: () => boolean,
  now: MonotonicMs,
): 'continue' | 'wait' | 'restart' {
  if (task.text.software === null) return 'continue';
  if (hasChoice && task.fruitlessRuns < MAX_FRUITLESS_RUNS) return 'continue';
  const mayWait = !hasChoice && now - task.advancedAt < TEXT_WAIT_MS;
  return mayWait && hasEngineForText() ? 'wait' : 'restart';
}
