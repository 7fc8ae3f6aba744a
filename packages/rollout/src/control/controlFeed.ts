import type {
  Clock,
  Logger,
  PoolId,
  RequestId,
  SoftwareVersion,
  UpstreamId,
} from '@vanillacross/common';
import {toBranded, getDeadline} from '@vanillacross/common';

import type {AppendQueue} from '../log/index.js';
import type {StreamOrigins, StreamPublisher} from '../streams/index.js';
import type {
  CrashTracker,
  Incarnation,
  NoticePublisher,
  NoticeRegistry,
  UpstreamDirectory,
  Upstream,
} from '../upstreams/index.js';
import type {ControlRecord} from './controlRecords.js';
import {decodeControlRecord, encodeControlRecord} from './controlRecords.js';
import type {TimeConsensus} from './timeConsensus.js';
import type {UsageLedger} from './usageLedger.js';

/** Time after which an unsent version record is dropped as outdated, ms. */
const VERSION_APPEND_TIMEOUT_MS = 2_000;

/** Time after which an unsent crash record is dropped as outdated, ms. */
const CRASH_APPEND_TIMEOUT_MS = 5_000;

/** Time after which an unsent notice record is dropped as outdated, ms. */
const NOTICE_APPEND_TIMEOUT_MS = 2_000;

/** Time after which an unsent record of streams is dropped, ms. */
const STREAMS_APPEND_TIMEOUT_MS = 5_000;

export interface ControlFeedOptions {
  /** Name of this process in the records of demand. */
  process: string;
  notices: NoticeRegistry;
  streams: StreamOrigins;
  queue: AppendQueue;
  directory: UpstreamDirectory;
  ledger: UsageLedger;
  time: TimeConsensus;
  crashes: CrashTracker;
  /**
   * Whether the stream has been read to its end. Entries that are read before
   * that may be old.
   */
  isCaughtUp: () => boolean;
  clock: Clock;
  logger: Logger;
}

function getIncarnationFields({id, bornAt, pool}: Incarnation) {
  return {upstream: id, bornAt, pool};
}

function readIncarnation(record: {
  upstream: string;
  bornAt: number;
  pool: string;
}): Incarnation {
  return {
    id: toBranded<UpstreamId>(record.upstream),
    bornAt: record.bornAt,
    pool: toBranded<PoolId>(record.pool),
  };
}

/** Reads and writes the control stream, which all processes follow. */
export class ControlFeed implements NoticePublisher, StreamPublisher {
  private readonly listeners: Array<() => void> = [];

  constructor(private readonly options: ControlFeedOptions) {}

  onVersion(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Applies the next entry of the stream. */
  apply(entry: Buffer, offset: number): void {
    const record = decodeControlRecord(entry);
    if (!record.ok) {
      this.options.logger.warn('skipped unreadable control record', {
        offset,
        reason: record.error,
      });
      return;
    }
    const handle = this.handlers[record.value.type] as (
      record: ControlRecord,
    ) => void;
    handle(record.value);
  }

  /**
   * Publishes the version that an engine serves.
   *
   * @param loadingMs Time for which the engine counts as loading the model, ms;
   * 0 if it is not loading.
   */
  publishVersion(
    engine: Upstream,
    model: string,
    version: number,
    loadingMs: number,
  ): void {
    const record = {
      type: 'version',
      upstream: engine.id,
      bornAt: engine.entry.bornAt,
      model,
      version,
      loadingMs,
    } as const;
    this.append(record, VERSION_APPEND_TIMEOUT_MS);
  }

  /**
   * Publishes the fingerprint of the request that was in flight when a
   * connection broke.
   */
  publishCrash(fingerprint: string, upstream: UpstreamId): void {
    const record = {type: 'crash', fingerprint, upstream} as const;
    this.append(record, CRASH_APPEND_TIMEOUT_MS);
  }

  publishLimit(incarnation: Incarnation, perSecond: number | null): void {
    const fields = getIncarnationFields(incarnation);
    this.appendNotice({type: 'limit', ...fields, perSecond});
  }

  publishLeaving(incarnation: Incarnation): void {
    const fields = getIncarnationFields(incarnation);
    this.appendNotice({type: 'leaving', ...fields});
  }

  publishDemand(pool: PoolId): void {
    const {process} = this.options;
    this.appendNotice({type: 'demand', process, pool});
  }

  publishStreams(
    pool: PoolId,
    software: SoftwareVersion,
    ids: readonly RequestId[],
  ): void {
    this.append(
      {type: 'streams', pool, software, ids: [...ids]},
      STREAMS_APPEND_TIMEOUT_MS,
    );
  }

  private appendNotice(record: ControlRecord): void {
    this.append(record, NOTICE_APPEND_TIMEOUT_MS);
  }

  private append(record: ControlRecord, timeoutMs: number): void {
    const {clock, queue} = this.options;
    const deadline = getDeadline(clock.now(), timeoutMs);
    void queue.append(encodeControlRecord(record), deadline);
  }

  private readonly handlers: {
    [Type in ControlRecord['type']]: (
      record: ControlRecord & {type: Type},
    ) => void;
  } = {
    version: record => {
      const {directory, clock} = this.options;
      const engine = directory.get(toBranded<UpstreamId>(record.upstream));
      if (!engine || engine.entry.bornAt !== record.bornAt) return;
      engine.recordVersion(record.model, record.version);
      const until = getDeadline(clock.now(), record.loadingMs);
      engine.loadingUntil.set(record.model, until);
      for (const listener of this.listeners) listener();
    },
    usage: record => {
      const {time, isCaughtUp} = this.options;
      if (isCaughtUp()) time.addReading(record.process, record.wallMs);
      this.options.ledger.applyProcessCounts(record);
    },
    seal: record => this.options.ledger.applySeal(record),
    reported: record => this.options.ledger.applyReported(record.window),
    crash: record => {
      const {isCaughtUp, crashes} = this.options;
      if (isCaughtUp()) crashes.applyCrash(record.fingerprint, record.upstream);
    },
    limit: record =>
      this.options.notices.applyLimit(
        readIncarnation(record),
        record.perSecond,
      ),
    leaving: record =>
      this.options.notices.applyLeaving(readIncarnation(record)),
    demand: record => {
      const {notices, isCaughtUp} = this.options;
      if (!isCaughtUp()) return;
      notices.applyDemand(toBranded<PoolId>(record.pool), record.process);
    },
    streams: record =>
      this.options.streams.applyStreams(
        toBranded<PoolId>(record.pool),
        toBranded<SoftwareVersion>(record.software),
        record.ids.map(toBranded<RequestId>),
      ),
  };
}
