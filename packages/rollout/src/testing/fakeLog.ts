import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';

import type {
  AppendRequest,
  AppendedRange,
  LogFailure,
  ReadRequest,
  SharedLog,
} from '../model/index.js';

/** What happens to an append. */
export type AppendFault =
  | 'none'
  /** The append takes effect; its answer is lost. */
  | 'answer_lost'
  /** The append is lost. */
  | 'append_lost'
  /** The append has no answer and takes effect once `land` is called. */
  | 'late'
  /** The store answers this, and the append has no effect. */
  | LogFailure;

const lostFailure: LogFailure = {tag: 'unknown', detail: 'no answer'};

/** One partition of a log that deduplicates the appends of one producer. */
export class FakeLog {
  readonly records: Buffer[] = [];
  readonly appends: AppendRequest[] = [];
  private readonly lateAppends: AppendRequest[] = [];
  private readonly offsets = new Map<string, number>();
  private epoch = 0;
  private sequence: number | null = null;

  /**
   * @param getFault Returns what happens to an append.
   * @param isReadable Whether reads succeed.
   */
  constructor(
    private readonly getFault: (
      append: AppendRequest,
      index: number,
    ) => AppendFault,
    private readonly isReadable = true,
  ) {}

  get log(): SharedLog {
    const {append, read} = this;
    return {append, read} as unknown as SharedLog;
  }

  get texts(): string[] {
    // The first byte of a record marks whether its entry ends there.
    return this.records.map(record => record.toString('utf8', 1));
  }

  /** Executes the appends that are late. */
  land(): void {
    for (const append of this.lateAppends.splice(0)) this.execute(append);
  }

  private readonly append = async (
    append: AppendRequest,
  ): Promise<Result<AppendedRange, LogFailure>> => {
    const fault = this.getFault(append, this.appends.length);
    this.appends.push(append);
    await Promise.resolve();
    if (typeof fault === 'object') return fail(fault);
    if (fault === 'late') this.lateAppends.push(append);
    if (fault === 'answer_lost') this.execute(append);
    if (fault === 'none') return this.execute(append);
    return fail(lostFailure);
  };

  private readonly read = ({from}: ReadRequest) => {
    if (!this.isReadable) return Promise.resolve(fail(lostFailure));
    const records = this.records
      .map((bytes, offset) => ({offset, bytes}))
      .slice(from);
    return Promise.resolve(ok({end: this.records.length, records}));
  };

  private execute({
    producer,
    records,
  }: AppendRequest): Result<AppendedRange, LogFailure> {
    const {epoch, sequence} = producer!;
    if (epoch < this.epoch) return fail({tag: 'fenced'});
    if (epoch > this.epoch) this.sequence = null;
    this.epoch = epoch;
    const key = `${epoch}/${sequence}`;
    let offset = this.offsets.get(key);
    const expected = this.sequence === null ? sequence : this.sequence + 1;
    if (offset === undefined && sequence !== expected) {
      return fail({tag: 'out_of_sequence', expected});
    }
    if (offset === undefined) {
      offset = this.records.length;
      this.records.push(...records);
      this.sequence = sequence;
      this.offsets.set(key, offset);
    }
    return ok({offset, end: offset + records.length});
  }
}
