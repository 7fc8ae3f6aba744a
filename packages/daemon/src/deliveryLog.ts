import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {parseSampleId} from '@vanillacross/domain';
import type {LogClient, LogPort} from '@vanillacross/platform';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';

import {createLoop} from './loop.js';
import type {Context, Component} from './types.js';

/** Which samples trainers have, as recorded in the log. */
export interface DeliveryLog extends Component {
  /**
   * Reads what was recorded for a trainer since the last call. False if the
   * log cannot be read; then only what is known here counts.
   */
  refresh(trainer: string): Promise<boolean>;
  /** Ids of a step that are known to be acknowledged. */
  getAcknowledgedIds(trainer: string, step: string): ReadonlySet<string>;
  /**
   * Keeps acknowledgements and records them with the next batch. Resolves
   * true when they are in the log, false if the log does not take them now;
   * then they are recorded later.
   */
  recordAcknowledgements(
    trainer: string,
    ids: readonly string[],
  ): Promise<boolean>;
}

export interface DeliveryLogLimits {
  /** Time between two appends for one trainer, ms. */
  batchIntervalMs: number;
  /** Acknowledged ids kept for one trainer; the oldest steps go first. */
  maxRetainedIds: number;
  /** Ids that wait for the log for one trainer. */
  maxPendingIds: number;
}

export const defaultDeliveryLogLimits: DeliveryLogLimits = {
  batchIntervalMs: 1_000,
  maxRetainedIds: 32_768,
  maxPendingIds: 16_384,
};

/** A call that waits until as many ids as had been added are recorded. */
interface Waiter {
  upTo: number;
  settle(isRecorded: boolean): void;
}

interface TrainerRecord {
  steps: Map<string, Set<string>>;
  size: number;
  /** Offset of the next record to read. */
  next: number;
  pending: Set<string>;
  /** Ids that were ever added to `pending`, and those recorded since. */
  added: number;
  recorded: number;
  waiters: Waiter[];
  nextAppendAt: MonotonicMs;
  isFlushing: boolean;
  /** False after an append that the log did not take. */
  isLogUp: boolean;
  reading: Promise<boolean> | null;
}

const payloadSchema = z.object({
  type: z.literal('acknowledged'),
  sampleIds: z.array(z.string()),
});

/** How often batches that are due are looked for, ms. */
const TICK_MS = 50;
/** Ids in one record. */
const MAX_RECORD_IDS = 4_096;

/** Creates the record of deliveries of one entry. */
export function createDeliveryLog(
  context: Context,
  port: LogPort,
  client: LogClient,
  limits: DeliveryLogLimits = defaultDeliveryLogLimits,
): DeliveryLog {
  const {clock, metrics} = context;
  const logger = context.logger.child('deliveries');
  const trainers = new Map<string, TrainerRecord>();

  function getTrainer(id: string): TrainerRecord {
    let record = trainers.get(id);
    if (!record) {
      record = {
        steps: new Map(),
        size: 0,
        next: 0,
        pending: new Set(),
        added: 0,
        recorded: 0,
        waiters: [],
        nextAppendAt: clock.now(),
        isFlushing: false,
        isLogUp: true,
        reading: null,
      };
      trainers.set(id, record);
    }
    return record;
  }

  function keep(record: TrainerRecord, sampleId: string): boolean {
    const step = parseSampleId(sampleId)?.step;
    if (step === undefined) return false;
    let ids = record.steps.get(step);
    if (!ids) record.steps.set(step, (ids = new Set()));
    if (ids.has(sampleId)) return false;
    ids.add(sampleId);
    record.size += 1;
    return true;
  }

  function trim(record: TrainerRecord): void {
    for (const [step, ids] of record.steps) {
      if (record.size <= limits.maxRetainedIds || record.steps.size === 1) {
        return;
      }
      record.steps.delete(step);
      record.size -= ids.size;
      metrics.count('vc_samples_acknowledgements_forgotten', {}, ids.size);
    }
  }

  async function read(id: string, record: TrainerRecord): Promise<boolean> {
    const stream = `deliveries.${id}`;
    for (;;) {
      const range = await port.read(stream, record.next, 0);
      if (!range.ok && range.error.tag === 'gap') {
        record.next = Math.max(record.next, range.error.earliest);
        continue;
      }
      if (!range.ok) {
        metrics.count('vc_samples_log_unread');
        return false;
      }
      for (const {offset, payload} of range.value.records) {
        record.next = Math.max(record.next, offset + 1);
        const parsed = payloadSchema.safeParse(payload);
        if (!parsed.success) continue;
        for (const sampleId of parsed.data.sampleIds) keep(record, sampleId);
      }
      trim(record);
      client.advanceNextOffset(stream, range.value.next);
      const isEmpty = range.value.records.length === 0;
      if (isEmpty || record.next >= range.value.next) return true;
    }
  }

  function takeBatch(record: TrainerRecord): string[] {
    const batch: string[] = [];
    for (const id of record.pending) {
      if (batch.length >= MAX_RECORD_IDS) break;
      batch.push(id);
    }
    return batch;
  }

  function settleWaiters(record: TrainerRecord): void {
    const {recorded, isLogUp} = record;
    const isDone = ({upTo}: Waiter) => !isLogUp || upTo <= recorded;
    const done = record.waiters.filter(isDone);
    record.waiters = record.waiters.filter(waiter => !isDone(waiter));
    for (const {settle, upTo} of done) settle(upTo <= recorded);
  }

  /** Appends the oldest pending ids as one record. */
  async function flush(id: string, record: TrainerRecord): Promise<void> {
    record.isFlushing = true;
    record.nextAppendAt = getDeadline(clock.now(), limits.batchIntervalMs);
    const batch = takeBatch(record);
    const payload = {type: 'acknowledged', sampleIds: batch};
    const result = await client.append(`deliveries.${id}`, [
      {appendId: randomUUID(), payload},
    ]);
    if (result.ok) {
      for (const sampleId of batch) record.pending.delete(sampleId);
      record.recorded += batch.length;
    } else {
      metrics.count('vc_samples_append_failures');
      if (record.isLogUp) {
        logger.warn('the log does not take acknowledgements', {trainer: id});
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
      record.reading ??= read(trainer, record).finally(() => {
        record.reading = null;
      });
      return record.reading;
    },
    getAcknowledgedIds: (trainer, step) =>
      trainers.get(trainer)?.steps.get(step) ?? new Set(),
    recordAcknowledgements: (trainer, ids) => {
      const record = getTrainer(trainer);
      let isDropped = false;
      for (const id of ids) {
        if (!keep(record, id)) continue;
        if (record.pending.size < limits.maxPendingIds) {
          record.pending.add(id);
          record.added += 1;
        } else {
          metrics.count('vc_samples_acknowledgements_unrecorded');
          isDropped = true;
        }
      }
      trim(record);
      if (record.pending.size === 0) return Promise.resolve(true);
      if (!record.isLogUp || isDropped) return Promise.resolve(false);
      return new Promise(settle =>
        record.waiters.push({upTo: record.added, settle}),
      );
    },
  };
}
