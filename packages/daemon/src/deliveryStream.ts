import {isWithinVersionAge} from '@vanillacross/domain';
import type {DeliveryNumber} from '@vanillacross/domain';
import type {ServerResponse} from 'node:http';

import {waitForDrain} from './responseWriter.js';
import type {SampleTask} from './sampleTask.js';
import type {StepRun} from './stepRun.js';
import type {Context} from './types.js';

/** How a delivery stream ended. */
export type DeliveryOutcome = 'whole' | 'cut' | 'replaced';

function getLine(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}

/**
 * Streams the samples of a step as JSON lines as they become ready, with
 * backpressure from the trainer. Nothing is awaited between the check of a
 * sample's age, its marking as sent and its write, so that no newer version can
 * make it too old in between. `stallMs` is the longest time for which the trainer
 * may read nothing, ms.
 */
export async function streamDelivery(
  context: Context,
  task: SampleTask,
  step: StepRun,
  delivery: DeliveryNumber,
  response: ServerResponse,
  stallMs: number,
): Promise<DeliveryOutcome> {
  const {metrics} = context;
  let delivered = 0;
  let isClosed = response.destroyed;
  response.once('close', () => {
    isClosed = true;
    step.notify();
  });
  response.writeHead(200, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();

  const sendNext = async (): Promise<boolean> => {
    const id = step.delivery.getNextReady(delivery);
    if (id === null) return false;
    const sample = step.samples.get(id);
    const bound = task.getVersionBound(step);
    const spans = sample?.spans ?? [];
    if (!sample || !isWithinVersionAge(bound.newest, spans, bound.maxAge)) {
      metrics.count('vc_samples_stale_dropped');
      task.regenerate(step, id);
      return true;
    }
    if (!step.delivery.markSent(delivery, id)) return true;
    delivered += 1;
    metrics.count('vc_samples_delivered');
    const hasRoom = response.write(getLine(sample));
    if (!hasRoom && !(await waitForDrain(response, stallMs))) isClosed = true;
    return true;
  };

  for (;;) {
    if (isClosed) {
      metrics.count('vc_samples_connections_cut');
      response.destroy();
      return 'cut';
    }
    if (!step.delivery.isCurrent(delivery)) {
      response.destroy();
      return 'replaced';
    }
    const changed = step.waitForChange();
    if (await sendNext()) continue;
    if (step.delivery.isAllSent()) break;
    await changed;
  }
  const missing = step.delivery.getCount('failed');
  const finished = new Promise<boolean>(resolve => {
    response.once('finish', () => resolve(true));
    response.once('close', () => resolve(response.writableFinished));
  });
  response.end(getLine({end: true, delivered, missing}));
  if (await finished) return 'whole';
  metrics.count('vc_samples_connections_cut');
  return 'cut';
}
