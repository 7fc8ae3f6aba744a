import type {Clock, Logger, Metrics, Result} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';

import type {AppendedRange, LogFailure, SharedLog} from '../model/index.js';
import {findRecords} from './recordSearch.js';

/** What became of a batch of records. */
export type BatchOutcome =
  /** The offset of the first record is null if the store no longer tells it. */
  | {tag: 'stored'; offset: number | null}
  /** Not stored, and the store would refuse the same records again. */
  | {tag: 'refused'; detail: string}
  /** Not stored: the store failed at these records, but not at an empty append. */
  | {tag: 'failed'; detail: string}
  /** Not stored and no longer in flight. */
  | {tag: 'withdrawn'}
  /** May have been stored, but can't be stored any more. */
  | {tag: 'unknown'};

export interface PartitionProducerOptions {
  log: SharedLog;
  stream: string;
  partition: number;
  /** Unique for each start of a process. */
  producerId: string;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** A batch while its attempts last. */
interface Batch {
  records: readonly Buffer[];
  /** Whether an attempt had an unknown outcome, so that it may still land. */
  isInDoubt: boolean;
  /** Number of consecutive answers that tell of a failure of the store. */
  failedAnswers: number;
}

/** Whether the attempts of a batch in doubt were stored. */
type Landing =
  | {tag: 'landed'; offset: number}
  /** `isPrompt`: the store answered the first empty append. */
  | {tag: 'absent'; isPrompt: boolean}
  | {tag: 'unknown'};

/** Returns the outcome of the batch; null if another attempt is due. */
type FailureHandler<Tag extends LogFailure['tag']> = (
  failure: LogFailure & {tag: Tag},
  batch: Batch,
) => Promise<BatchOutcome | null> | BatchOutcome | null;

/** Time without a response after which an append is retried, ms. */
const APPEND_TIMEOUT_MS = 900;
/** Initial delay before a retry, ms; doubles with each retry. */
const RETRY_BASE_MS = 60;
/** Maximum delay before a retry, ms. */
const RETRY_MAX_MS = 300;
/**
 * Number of consecutive answers of failure after which an empty append tells
 * whether the store fails at the records or at all appends.
 */
const MAX_FAILED_ANSWERS = 5;
/** Number of attempts to search the partition for a batch in doubt. */
const MAX_SEARCHES = 20;

/**
 * Appends batches of records to a partition. Attempts of one batch share a
 * sequence number, so that the store discards duplicates after a lost or late
 * response. A batch that the store refuses while an earlier attempt may still
 * land is decided by a higher epoch: the store then accepts no attempt of a lower
 * one, and the partition shows whether one was stored before.
 */
export class PartitionProducer {
  private epoch = 1;
  private sequence = 0;
  /** The next batch is stored at this offset or after it. */
  private minOffset = 0;
  private batch: Batch | null = null;
  private isSending = false;
  private isClosed = false;

  constructor(private readonly options: PartitionProducerOptions) {}

  /** Whether the current batch may have been stored or may still be. */
  get mayBeStored(): boolean {
    return this.batch !== null && (this.isSending || this.batch.isInDoubt);
  }

  /** Starts no further attempts; a batch in progress ends as `unknown`. */
  close(): void {
    this.isClosed = true;
  }

  /**
   * Appends a batch; the next one must wait for its outcome.
   *
   * @param isWanted Asked before each attempt while none of the batch may have
   *     been stored; if false, the batch ends as `withdrawn`.
   */
  async append(
    records: readonly Buffer[],
    isWanted: () => boolean,
  ): Promise<BatchOutcome> {
    const batch: Batch = {records, isInDoubt: false, failedAnswers: 0};
    this.batch = batch;
    const outcome = await this.appendUntilDecided(batch, isWanted);
    this.batch = null;
    return outcome;
  }

  private async appendUntilDecided(
    batch: Batch,
    isWanted: () => boolean,
  ): Promise<BatchOutcome> {
    for (let attempt = 0; ; attempt++) {
      if (!batch.isInDoubt && !isWanted()) return {tag: 'withdrawn'};
      const outcome = await this.send(batch.records);
      if (this.isClosed) return {tag: 'unknown'};
      if (outcome.ok) return this.recordStored(batch, outcome.value.offset);
      this.logFailure(outcome.error, batch, attempt);
      const handle = this.handlers[outcome.error.tag] as FailureHandler<
        LogFailure['tag']
      >;
      const decided = await handle(outcome.error, batch);
      if (decided) return decided;
      await this.backOff(attempt);
      if (this.isClosed) return {tag: 'unknown'};
    }
  }

  private async send(
    records: readonly Buffer[],
  ): Promise<Result<AppendedRange, LogFailure>> {
    const {log, stream, partition, producerId} = this.options;
    const {epoch, sequence} = this;
    this.isSending = true;
    const outcome = await log.append({
      stream,
      partition,
      records,
      producer: {id: producerId, epoch, sequence},
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    this.isSending = false;
    return outcome;
  }

  private readonly handlers: {
    [Tag in LogFailure['tag']]: FailureHandler<Tag>;
  } = {
    unavailable: (_failure, batch) => this.retryLater(batch),
    full: (_failure, batch) => this.retryLater(batch),
    unknown: (_failure, batch) => {
      batch.isInDoubt = true;
      return this.retryLater(batch);
    },
    failed: (failure, batch) => {
      batch.isInDoubt = true;
      batch.failedAnswers++;
      if (batch.failedAnswers < MAX_FAILED_ANSWERS) return null;
      const {detail} = failure;
      return this.decide(batch, ({isPrompt}) =>
        isPrompt ? {tag: 'failed', detail} : {tag: 'withdrawn'},
      );
    },
    out_of_sequence: ({expected}, batch) => {
      if (!batch.isInDoubt) {
        this.sequence = expected;
        return null;
      }
      // The number is taken, so an earlier attempt of this batch was stored.
      if (expected > this.sequence) return this.recordStored(batch, null);
      return this.decide(batch, () => ({tag: 'withdrawn'}));
    },
    fenced: (_failure, batch) => {
      if (batch.isInDoubt) {
        return this.decide(batch, () => ({tag: 'withdrawn'}));
      }
      this.epoch++;
      return null;
    },
    conflict: (failure, batch) => this.refuse(batch, failure.tag),
    trimmed: (failure, batch) => this.refuse(batch, failure.tag),
    rejected: ({detail}, batch) => this.refuse(batch, detail),
  };

  private retryLater(batch: Batch): null {
    batch.failedAnswers = 0;
    return null;
  }

  private refuse(
    batch: Batch,
    detail: string,
  ): Promise<BatchOutcome> | BatchOutcome {
    const refused: BatchOutcome = {tag: 'refused', detail};
    return batch.isInDoubt ? this.decide(batch, () => refused) : refused;
  }

  /** Decides a batch in doubt. */
  private async decide(
    batch: Batch,
    getAbsentOutcome: (landing: Landing & {tag: 'absent'}) => BatchOutcome,
  ): Promise<BatchOutcome> {
    const {logger, metrics, stream, partition} = this.options;
    const landing = await this.findLanding(batch);
    metrics.count('vc_append_decisions', {stream, result: landing.tag});
    logger.warn('decided an append whose outcome was unknown', {
      stream,
      partition,
      epoch: this.epoch,
      records: batch.records.length,
      landing,
    });
    if (landing.tag === 'landed') {
      return this.recordStored(batch, landing.offset);
    }
    return landing.tag === 'absent' ? getAbsentOutcome(landing) : landing;
  }

  /** The landing of a batch doesn't change any more once this returns. */
  private async findLanding({records}: Batch): Promise<Landing> {
    const {log, stream, partition} = this.options;
    const attempts = await this.raiseEpoch();
    if (attempts === null) return {tag: 'unknown'};
    const position = {stream, partition, from: this.minOffset};
    for (let search = 0; search < MAX_SEARCHES && !this.isClosed; search++) {
      const found = await findRecords(log, position, records);
      switch (found.tag) {
        case 'found':
          return {tag: 'landed', offset: found.offset};
        case 'absent':
          return {tag: 'absent', isPrompt: attempts === 1};
        case 'undecided':
          return {tag: 'unknown'};
        case 'failed':
          await this.backOff(search);
      }
    }
    return {tag: 'unknown'};
  }

  /**
   * Sets a higher epoch at the store by an empty append. Returns the number of
   * attempts, or null if the store refuses it or this producer is closed.
   */
  private async raiseEpoch(): Promise<number | null> {
    this.epoch++;
    this.sequence++;
    for (let attempt = 0; ; attempt++) {
      const outcome = await this.send([]);
      if (this.isClosed) return null;
      if (outcome.ok) {
        this.sequence++;
        return attempt + 1;
      }
      const {tag} = outcome.error;
      if (tag === 'out_of_sequence') {
        // The store compares sequence numbers only within an epoch.
        this.sequence = outcome.error.expected;
        return attempt + 1;
      }
      if (tag === 'fenced') this.epoch++;
      if (tag === 'rejected' || tag === 'conflict' || tag === 'trimmed') {
        this.sequence++;
        return null;
      }
      await this.backOff(attempt);
      if (this.isClosed) return null;
    }
  }

  private recordStored({records}: Batch, offset: number | null): BatchOutcome {
    this.sequence++;
    if (offset !== null) this.minOffset = offset + records.length;
    return {tag: 'stored', offset};
  }

  private backOff(attempt: number): Promise<void> {
    const {clock} = this.options;
    const waitMs = Math.min(RETRY_BASE_MS * 2 ** attempt, RETRY_MAX_MS);
    return clock.waitUntil(getDeadline(clock.now(), waitMs));
  }

  private logFailure(failure: LogFailure, batch: Batch, attempt: number) {
    const {logger, metrics, stream, partition} = this.options;
    metrics.count('vc_append_retries', {stream, reason: failure.tag});
    logger.warn('append failed', {
      stream,
      partition,
      records: batch.records.length,
      isInDoubt: batch.isInDoubt,
      attempt,
      epoch: this.epoch,
      sequence: this.sequence,
      failure,
    });
  }
}
