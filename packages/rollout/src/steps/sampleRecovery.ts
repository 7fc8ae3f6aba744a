import type {Logger} from '@vanillacross/common';

import type {TextStore} from '../log/index.js';
import type {Route} from '../model/index.js';
import type {SampleTask} from './sampleTask.js';
import {areVersionsUsable, decodeTextPieces} from './sampleText.js';
import type {TrackedStep, StepRegistry} from './stepRegistry.js';

export interface SampleRecoveryOptions {
  registry: StepRegistry;
  texts: TextStore;
  getRoute: (tracked: TrackedStep) => Route | null;
  logger: Logger;
}

/** Recovers results and progress that earlier runs of a sample have stored. */
export class SampleRecovery {
  constructor(private readonly options: SampleRecoveryOptions) {}

  /**
   * Reuses the result that is listed for the sample in an earlier step. Returns
   * false if there is none that this step may use.
   */
  reuseResult(task: SampleTask): boolean {
    const {registry, logger} = this.options;
    const previous = registry.getCompleted(task.trackedStep.partition, task.id);
    if (!previous || !this.mayReuse(task, previous.versions)) return false;
    task.reusedResult = previous;
    logger.info('reusing the result of an earlier step', {
      step: task.trackedStep.step.id,
      sample: task.id,
      versions: previous.versions,
    });
    return true;
  }

  /**
   * Resumes from the stored progress of an earlier run. If its text can't be
   * read, the sample starts from the beginning. Returns true if the task was
   * queued again, and false if there is no usable progress or the task was
   * cancelled meanwhile.
   */
  async resumeFromStore(task: SampleTask): Promise<boolean> {
    const {registry, texts, logger} = this.options;
    const progress = registry.getProgress(task.trackedStep.partition, task.id);
    if (!progress || !this.mayReuse(task, progress.versions)) return false;
    const {software} = progress;
    if (software === null) return false;
    task.stage = 'loading';
    const pieces = await Promise.all(progress.texts.map(t => texts.get(t)));
    if (task.isCancelled) return false;
    const data = decodeTextPieces(pieces);
    if (data?.length === progress.events) {
      task.resume(progress, software, data);
    }
    // `events` is 0 if the stored progress could not be read.
    logger.info('tried to resume sample from stored progress', {
      step: task.trackedStep.step.id,
      sample: task.id,
      stored: progress.events,
      events: task.text.lastEventId,
      software,
    });
    task.stage = 'queued';
    return true;
  }

  /** Whether the sample may contain text that these versions generated. */
  private mayReuse(task: SampleTask, versions: readonly number[]): boolean {
    const isSingleVersion =
      this.options.getRoute(task.trackedStep)?.isSingleVersion ?? false;
    return areVersionsUsable(
      versions,
      task.trackedStep.step.minVersion,
      isSingleVersion,
    );
  }
}
