import type {SampleId} from '@vanillacross/common';

import type {Sample} from '../model/index.js';
import type {Generation} from './generation.js';
import {SampleText} from './sampleText.js';
import type {OpenStep} from './stepBook.js';

/** Where a sample stands at the process that runs it. */
export type SampleStage = 'queued' | 'generating' | 'scoring' | 'storing';

/** A sample of an open step that this process runs. */
export class SampleTask {
  stage: SampleStage = 'queued';
  generation: Generation | null = null;
  text: SampleText;
  /** Failed attempts that engines counted. */
  failures = 0;
  /** Answers with 500 to the scoring request. */
  scoringFailures = 0;
  cancelScoring: (() => void) | null = null;
  isCancelled = false;

  constructor(
    readonly open: OpenStep,
    readonly sample: Sample,
    /** Position in the step. */
    readonly position: number,
    text: SampleText | null,
  ) {
    this.text = text ?? new SampleText();
  }

  get id(): SampleId {
    return this.sample.id;
  }

  /** Ends what is under way for it. */
  cancel(): void {
    this.isCancelled = true;
    this.generation?.abort();
    this.generation = null;
    this.cancelScoring?.();
  }
}

/**
 * Order in which waiting samples start: older steps first, then the samples
 * that are expected to take longest, as they decide when a group is complete.
 */
export function compareTasks(a: SampleTask, b: SampleTask): number {
  const byAge = a.open.step.acceptedAt - b.open.step.acceptedAt;
  if (byAge !== 0) return byAge;
  const expected = (task: SampleTask) =>
    task.sample.expectedTokens ?? task.sample.tokens;
  return expected(b) - expected(a) || a.position - b.position;
}
