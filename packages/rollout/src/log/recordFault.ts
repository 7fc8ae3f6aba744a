import type {Logger, Metrics} from '@vanillacross/common';

export interface RecordFaultOptions {
  stream: string;
  logger: Logger;
  metrics: Metrics;
}

/**
 * Applies a record of the store. One whose processing throws is logged and
 * skipped, as every process that follows the stream would end at it otherwise,
 * again after each start.
 */
export function applyOrSkip(
  {stream, logger, metrics}: RecordFaultOptions,
  offset: number,
  apply: () => void,
): void {
  try {
    apply();
  } catch (error) {
    metrics.count('vc_internal_errors');
    logger.error('skipped a record whose processing failed', {
      stream,
      offset,
      detail: String((error as Error).stack),
    });
  }
}
