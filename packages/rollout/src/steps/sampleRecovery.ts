import type {Logger} from '@vanillacross/common';

import type {TextStore} from '../log/index.js';
import type {Route} from '../model/index.js';
import type {SampleTask} from './sampleTask.js';
import {areVersionsUsable, decodeTextPieces} from './sampleText.js';
import type {TrackedStep, StepRegistry} from './stepRegistry.js';

export interface SampleRecoveryOptions {
  registry: StepRegistry;
  texts: TextStore;
  getRoute: (open: TrackedStep) => Route | null;
  logger: Logger;
}

/** What earlier runs of a sample have left in the store. */
export class SampleRecovery {
  constructor(private readonly options: SampleRecoveryOptions) {}

  /**
   * Takes the result that an earlier step had listed for the sample; false if
   * there is none that this step may list.
   */
  reuseResult(task: SampleTask): boolean {
    const {registry: book, logger} = this.options;
    const before = book.getCompleted(task.trackedStep.partition, task.id);
    if (!before || !this.areUsable(task, before.versions)) return false;
    task.reusedResult = before;
    logger.info('result of an earlier step is used', {
      step: task.trackedStep.step.id,
      sample: task.id,
      versions: before.versions,
    });
    return true;
  }

  /**
   * Goes on from the stored text of an unfinished run, or from the beginning
   * if it can't be read. False if nothing was stored.
   */
  async resumeFromStore(task: SampleTask): Promise<boolean> {
    const {registry: book, texts, logger} = this.options;
    const progress = book.getProgress(task.trackedStep.partition, task.id);
    if (!progress || !this.areUsable(task, progress.versions)) return false;
    task.stage = 'loading';
    const pieces = await Promise.all(progress.texts.map(t => texts.get(t)));
    if (task.isCancelled) return false;
    const data = decodeTextPieces(pieces);
    if (data?.length === progress.events) task.resume(progress, data);
    logger.info('sample is taken up', {
      step: task.trackedStep.step.id,
      sample: task.id,
      stored: progress.events,
      events: task.text.lastEventId,
    });
    task.stage = 'queued';
    return true;
  }

  private areUsable(task: SampleTask, versions: readonly number[]): boolean {
    const isSingle =
      this.options.getRoute(task.trackedStep)?.isSingleVersion ?? false;
    return areVersionsUsable(
      versions,
      task.trackedStep.step.minVersion,
      isSingle,
    );
  }
}
