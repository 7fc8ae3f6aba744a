import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {parseSampleId} from '@vanillacross/domain';
import type {LogClient, LogPort} from '@vanillacross/platform';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';

import {createLoop} from './loop.js';
import type {Context, Component} from './types.js';

/** Log of the samples that each trainer has acknowledged. */
export interface DeliveryLog extends Component {
  /**
   * Reads the records of a trainer added since the last call. Resolves to
   * false if the log cannot be read; the ids read so far stay available.
   */
  refresh(trainer: string): Promise<boolean>;
  /** Known acknowledged ids of a step. */
  getAcknowledgedIds(trainer: string, step: string): ReadonlySet<string>;
  /**
   * Stores acknowledgements in memory and appends them with the next batch.
   * Resolves to true once they are in the log. Resolves to false if the log
   * is unavailable, in which case the append is retried, or if too many ids
   * are pending, in which case the excess ids are never appended.
   */
  recordAcknowledgements(
    trainer: string,
    ids: readonly string[],
  ): Promise<boolean>;
}

export interface DeliveryLogLimits {
  /** Shortest time between two appends for one trainer, ms. */
  batchIntervalMs: number;
  /**
   * Maximum number of acknowledged ids kept per trainer; the oldest steps are
   * evicted first.
   */
  maxRetainedIds: number;
  /** Maximum number of ids per trainer that are not in the log yet. */
  maxPendingIds: number;
}

export const defaultDeliveryLogLimits: DeliveryLogLimits = {
  batchIntervalMs: 1_000,
  maxRetainedIds: 32_768,
  maxPendingIds: 16_384,
};

/** A call that waits until `recordedCount` reaches `upTo`. */
interface Waiter {
  upTo: number;
  settle(isRecorded: boolean): void;
}

interface TrainerDeliveries {
  steps: Map<string, Set<string>>;
  size: number;
  /** Offset of the next record to read. */
  nextOffset: number;
  pending: Set<string>;
  /** Ids ever added to `pending`, and how many of them were recorded. */
  addedCount: number;
  recordedCount: number;
  waiters: Waiter[];
  nextAppendAt: MonotonicMs;
  isFlushing: boolean;
  /** False after a failed append, until one succeeds. */
  isLogUp: boolean;
  pendingRead: Promise<boolean> | null;
}

const payloadSchema = z.object({
  type: z.literal('acknowledged'),
  sampleIds: z.array(z.string()),
});

/** Interval of the check for due batches, ms. */
const TICK_MS = 50;
const MAX_IDS_PER_RECORD = 4_096;

export function createDeliveryLog(
  context: Context,
  port: LogPort,
  client: LogClient,
  limits: DeliveryLogLimits = defaultDeliveryLogLimits,
): DeliveryLog {
  const {clock, metrics} = context;
  const logger = context.logger.child('deliveries');
  const trainers = new Map<string, TrainerDeliveries>();

  function getTrainer(id: string): TrainerDeliveries {
    let record = trainers.get(id);
    if (!record) {
      record = {
        steps: new Map(),
        size: 0,
        nextOffset: 0,
        pending: new Set(),
        addedCount: 0,
        recordedCount: 0,
        waiters: [],
        nextAppendAt: clock.now(),
        isFlushing: false,
        isLogUp: true,
        pendingRead: null,
      };
      trainers.set(id, record);
    }
    return record;
  }

  function addId(record: TrainerDeliveries, sampleId: string): boolean {
    const step = parseSampleId(sampleId)?.step;
    if (step === undefined) return false;
    let ids = record.steps.get(step);
    if (!ids) record.steps.set(step, (ids = new Set()));
    if (ids.has(sampleId)) return false;
    ids.add(sampleId);
    record.size += 1;
    return true;
  }

  function evictOldestSteps(record: TrainerDeliveries): void {
    for (const [step, ids] of record.steps) {
      if (record.size <= limits.maxRetainedIds || record.steps.size === 1) {
        return;
      }
      record.steps.delete(step);
      record.size -= ids.size;
      metrics.count('vc_samples_acknowledgements_forgotten', {}, ids.size);
    }
  }

  async function readStream(
    id: string,
    record: TrainerDeliveries,
  ): Promise<boolean> {
    const stream = `deliveries.${id}`;
    for (;;) {
      const range = await port.read(stream, record.nextOffset, 0);
      if (!range.ok && range.error.tag === 'gap') {
        record.nextOffset = Math.max(record.nextOffset, range.error.earliest);
        continue;
      }
      if (!range.ok) {
        metrics.count('vc_samples_log_unread');
        return false;
      }
      for (const {offset, payload} of range.value.records) {
        record.nextOffset = Math.max(record.nextOffset, offset + 1);
        const parsed = payloadSchema.safeParse(payload);
        if (!parsed.success) continue;
        for (const sampleId of parsed.data.sampleIds) addId(record, sampleId);
      }
      evictOldestSteps(record);
      client.advanceNextOffset(stream, range.value.next);
      const isEmpty = range.value.records.length === 0;
      if (isEmpty || record.nextOffset >= range.value.next) return true;
    }
  }

  function takeBatch(record: TrainerDeliveries): string[] {
    const batch: string[] = [];
    for (const id of record.pending) {
      if (batch.length >= MAX_IDS_PER_RECORD) break;
      batch.push(id);
    }
    return batch;
  }

  function settleWaiters(record: TrainerDeliveries): void {
    const {recordedCount, isLogUp} = record;
    const isDone = ({upTo}: Waiter) => !isLogUp || upTo <= recordedCount;
    const done = record.waiters.filter(isDone);
    record.waiters = record.waiters.filter(waiter => !isDone(waiter));
    for (const {settle, upTo} of done) settle(upTo <= recordedCount);
  }

  /** Appends the oldest pending ids as one record. */
  async function flush(id: string, record: TrainerDeliveries): Promise<void> {
    record.isFlushing = true;
    record.nextAppendAt = getDeadline(clock.now(), limits.batchIntervalMs);
    const batch = takeBatch(record);
    const payload = {type: 'acknowledged', sampleIds: batch};
    const result = await client.append(`deliveries.${id}`, [
      {appendId: randomUUID(), payload},
    ]);
    if (result.ok) {
      for (const sampleId of batch) record.pending.delete(sampleId);
      record.recordedCount += batch.length;
    } else {
      metrics.count('vc_samples_append_failures');
      if (record.isLogUp) {
        logger.warn('failed to append acknowledgements to the log', {
          trainer: id,
        });
      }
    }
    record.isLogUp = result.ok;
    settleWaiters(record);
    record.isFlushing = false;
  }

  async function flushAll(): Promise<void> {
    const due = [...trainers].filter(([, record]) => record.pending.size > 0);
    await Promise.all(due.map(([id, record]) => flush(id, record)));
  }

  const loop = createLoop(context, 'deliveries', async () => {
    for (const [id, record] of trainers) {
      const isDue = record.nextAppendAt <= clock.now();
      if (record.pending.size === 0 || record.isFlushing || !isDue) continue;
      void flush(id, record);
    }
    return getDeadline(clock.now(), TICK_MS);
  });

  return {
    name: 'deliveries',
    start: () => loop.start(),
    stop: async signal => {
      await loop.stop(signal);
      const aborted = new Promise<void>(resolve => {
        if (signal.aborted) resolve();
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
      await Promise.race([flushAll(), aborted]);
    },
    refresh: trainer => {
      const record = getTrainer(trainer);
      record.pendingRead ??= readStream(trainer, record).finally(() => {
        record.pendingRead = null;
      });
      return record.pendingRead;
    },
    getAcknowledgedIds: (trainer, step) =>
      trainers.get(trainer)?.steps.get(step) ?? new Set(),
    recordAcknowledgements: (trainer, ids) => {
      const record = getTrainer(trainer);
      let isDropped = false;
      for (const id of ids) {
        if (!addId(record, id)) continue;
        if (record.pending.size < limits.maxPendingIds) {
          record.pending.add(id);
          record.addedCount += 1;
        } else {
          metrics.count('vc_samples_acknowledgements_unrecorded');
          isDropped = true;
        }
      }
      evictOldestSteps(record);
      if (record.pending.size === 0) return Promise.resolve(true);
      if (!record.isLogUp || isDropped) return Promise.resolve(false);
      return new Promise(settle =>
        record.waiters.push({upTo: record.addedCount, settle}),
      );
    },
  };
}
