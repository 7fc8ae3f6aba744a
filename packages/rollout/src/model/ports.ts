import type {
  AccountId,
  DomainId,
  PoolId,
  RequestId,
  Result,
  SampleId,
  UpstreamId,
} from '@vanillacross/common';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

import type {
  Configuration,
  ResultWithOutput,
  Sample,
  UpstreamEntry,
} from './types.js';

/** Why a call to the shared log failed. */
export type LogFailure =
  /** The call had no effect and will have none. */
  | {tag: 'unavailable'; detail: string}
  /** The call may have taken effect, or may still do so. */
  | {tag: 'unknown'; detail: string}
  /** The store has no space left. */
  | {tag: 'full'}
  /** The end of the partition differs from the expected one. */
  | {tag: 'conflict'; end: number}
  /**
   * The requested records have expired; `first` is the offset of the oldest
   * retained record.
   */
  | {tag: 'trimmed'; first: number}
  /** A newer epoch of the producer has appended. */
  | {tag: 'fenced'}
  /** The producer's sequence number differs from the expected one. */
  | {tag: 'out_of_sequence'; expected: number}
  /**
   * The store answered that it failed, or its answer can't be understood; the
   * call may have taken effect, or may still do so.
   */
  | {tag: 'failed'; detail: string}
  /** The store refuses the call, and would refuse an equal one again. */
  | {tag: 'rejected'; detail: string};

/** Identity and sequence number by which the store deduplicates appends. */
export interface Producer {
  id: string;
  epoch: number;
  sequence: number;
}

export interface AppendRequest {
  stream: string;
  partition: number;
  records: readonly Buffer[];
  /** Appends only if the partition ends at this offset. */
  expectedEnd?: number;
  producer?: Producer;
  /** Timeout of the call, ms. */
  timeoutMs: number;
}

export interface KeyedAppendRequest {
  stream: string;
  key: string;
  value: Buffer;
  /** Appends only if the stream ends at this offset. */
  expectedEnd: number;
  /** Timeout of the call, ms. */
  timeoutMs: number;
}

export interface ReadRequest {
  stream: string;
  partition: number;
  from: number;
  /** Time for which the store waits for records before it answers, ms. */
  waitMs: number;
  /** Maximum size of the response, KB. */
  maxKb?: number;
  signal?: AbortSignal;
}

export interface StoredRecord {
  offset: number;
  bytes: Buffer;
}

/** A record of a stream that retains only the newest value of each key. */
export interface KeyedRecord {
  offset: number;
  key: string;
  /** Null if the key was deleted. */
  value: Buffer | null;
}

/** Offsets of the appended records. */
export interface AppendedRange {
  /** Offset of the first appended record. */
  offset: number;
  /** Offset after the last appended record. */
  end: number;
}

export interface RecordPage<Entry> {
  /**
   * Offset after the newest record in the partition, which may follow this
   * page.
   */
  end: number;
  records: Entry[];
}

/** Partitions that a group has assigned to this member. */
export interface GroupAssignment {
  /** Number of the assignment; the member sends it when it joins again. */
  generation: number;
  partitions: readonly number[];
}

/**
 * The platform's shared log, also called the store, with append-only streams and
 * consumer groups.
 */
export interface SharedLog {
  append(append: AppendRequest): Promise<Result<AppendedRange, LogFailure>>;
  read(
    read: ReadRequest,
  ): Promise<Result<RecordPage<StoredRecord>, LogFailure>>;
  readKeyed(
    read: ReadRequest,
  ): Promise<Result<RecordPage<KeyedRecord>, LogFailure>>;
  /** Sets the value of a key in a keyed stream. */
  appendKeyed(
    append: KeyedAppendRequest,
  ): Promise<Result<AppendedRange, LogFailure>>;
  /** Reads the newest value of each key. */
  readNewest(
    stream: string,
    partition: number,
  ): Promise<Result<RecordPage<KeyedRecord>, LogFailure>>;
  /**
   * Joins a group or renews the membership, which expires after `ttlMs`.
   * `generation` is that of the last assignment that the member received.
   */
  join(
    group: string,
    member: string,
    stream: string,
    ttlMs: number,
    generation: number,
  ): Promise<Result<GroupAssignment, LogFailure>>;
  leave(group: string, member: string): Promise<Result<null, LogFailure>>;
  /** Returns the member that owns each partition of a stream. */
  getOwners(
    group: string,
    stream: string,
  ): Promise<Result<ReadonlyMap<number, string>, LogFailure>>;
}

/** A decoded record of the operator stream. */
export type OperatorRecord =
  | {tag: 'configuration'; configuration: Configuration}
  | {tag: 'evacuation'; domain: DomainId; isActive: boolean}
  | {tag: 'weights'; model: string; version: number}
  | {tag: 'ignored'; reason: string};

/** Decodes the records that operators and upstreams publish. */
export interface RecordDialect {
  operatorStream: string;
  upstreamStream: string;
  readOperatorRecord(key: string, value: Buffer | null): OperatorRecord;
  /** Returns the entry, or why the record does not describe an upstream. */
  readUpstream(key: string, value: Buffer): Result<UpstreamEntry, string>;
}

/** A caller's continuation of a stream that broke off. */
export interface StreamContinuation {
  /** Id of the last event that the caller has. */
  after: number;
  /** Request that brought the caller's first event; null if not stated. */
  resumes: RequestId | null;
}

/** Decoded request line and headers of a caller's request. */
export interface RequestHead {
  id: RequestId;
  method: string;
  host: string;
  path: string;
  /** Path and query as received. */
  target: string;
  apiKey: string | null;
  /** Time that the caller is willing to wait, ms; null if not stated. */
  budgetMs: number | null;
  /** Null if the request starts from the beginning. */
  continuation: StreamContinuation | null;
  /** Headers to forward to the upstream. */
  headers: Readonly<Record<string, string | string[]>>;
}

/**
 * A request about a step that was accepted earlier. A read returns the results
 * from position `after` on, where 0 is the position of the first result.
 */
export type StepCall =
  | {tag: 'read'; step: RequestId; after: number; waitMs: number}
  | {tag: 'sample_body'; step: RequestId; sample: SampleId}
  | {tag: 'end'; step: RequestId};

/** A trainer's submission before its route and account are resolved. */
export interface StepSubmission {
  model: string | null;
  minVersion: number;
  targetGroups: number;
  samples: readonly Sample[];
}

/** Translates between callers' HTTP messages and this package's types. */
export interface CallerDialect {
  readyPath: string;
  readHead(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): RequestHead;
  /** Returns null if the request is not about a step. */
  readStepCall(
    head: RequestHead,
    headers: IncomingHttpHeaders,
  ): Result<StepCall | null, string>;
  readSubmission(body: Buffer): Result<StepSubmission, string>;
  writeResults(
    total: number,
    after: number,
    results: readonly ResultWithOutput[],
  ): Buffer;
  /** Headers of a response that this process generates itself. */
  getRefusalHeaders(id: RequestId, retryAfterMs: number): OutgoingHttpHeaders;
}

/** A request to an upstream. */
export interface UpstreamCall {
  id: RequestId;
  method: string;
  target: string;
  host: string;
  headers: Readonly<Record<string, string | string[]>>;
  account: AccountId | null;
  upstream: UpstreamId;
  /** Time left until the deadline of the request, ms. */
  budgetMs: number;
  /** Resumes the stream after this event; 0 starts from the beginning. */
  lastEventId: number;
  /** 0 is the highest priority; null uses the engine's default. */
  priority: number | null;
  /** Whether it must not be sent again once an upstream may have executed it. */
  isSentOnce?: boolean;
}

/** Load as reported by an upstream. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /**
   * Time that work takes on the upstream's machine now, relative to the usual
   * time; null if not stated.
   */
  pace: number | null;
}

/** What an upstream states about itself with every response. */
export interface UpstreamNotice {
  /**
   * Requests per second that it takes from all processes together; null if it
   * states no limit.
   */
  requestLimit: number | null;
  /** It is about to stop and takes no new requests. */
  isLeaving: boolean;
}

/** Decoded status and headers of an upstream's response. */
export interface ResponseHead {
  status: number;
  /** Id of the answered request; null if not stated. */
  id: string | null;
  signature: string | null;
  /** The upstream states that it has not executed the request. */
  isNotRun: boolean;
  /** The address now belongs to another upstream. */
  isMisdirected: boolean;
  load: ReportedLoad | null;
  /** Null if the response is not from the upstream that was called. */
  notice: UpstreamNotice | null;
  /** Version of the weights at the first token; null if not stated. */
  weightVersion: number | null;
}

/** State of an engine as it reports it. */
export interface EngineReport {
  isLoading: boolean;
  /** Number of weight orders that the engine has accepted since its start. */
  orderCount: number;
  versions: ReadonlyMap<string, number>;
}

/**
 * A request that orders an engine to switch a model to another version of its
 * weights.
 */
export interface WeightOrder {
  upstream: UpstreamId;
  model: string;
  version: number;
  /**
   * Whether running generations finish on the old version before the switch or
   * continue on the new one.
   */
  mode: 'finish_running' | 'keep_running';
  holder: string;
  fencingToken: number;
  /** `orderCount` that the engine last reported. */
  expectedOrderCount: number;
}

/** A JSON request from this process to an upstream or the platform. */
export interface JsonCall {
  method: 'GET' | 'POST';
  path: string;
  headers: Record<string, string>;
  body?: unknown;
}

/** Translates between this package's types and the upstreams' HTTP messages. */
export interface UpstreamDialect {
  getHeaders(call: UpstreamCall): OutgoingHttpHeaders;
  /** Selects the response headers to forward to the caller. */
  getCallerHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
  readHead(status: number, headers: IncomingHttpHeaders): ResponseHead;
  /**
   * Name of the event stream field that announces a new version of the weights.
   */
  versionField: string;
  getReportCall(upstream: UpstreamId): JsonCall;
  readReport(body: unknown): Result<EngineReport, string>;
  getWeightCall(order: WeightOrder): JsonCall;
}

/** A request to the platform that only the current lease holder sends. */
export type LeaseHolderRequest =
  | {tag: 'usage'; window: number; counts: ReadonlyMap<AccountId, number>}
  | {tag: 'scale'; pool: PoolId; domain: DomainId; count: number};

export type LeaseHolderRequestFailure =
  {tag: 'unknown'; detail: string} | {tag: 'refused'; status: number};

/** Sends requests on behalf of the lease holder. */
export interface LeaseHolderClient {
  /**
   * `mayWrite` is called immediately before the request is written; if it returns
   * false, nothing is sent.
   */
  send(
    request: LeaseHolderRequest,
    holder: string,
    fencingToken: number,
    mayWrite: () => boolean,
  ): Promise<Result<null, LeaseHolderRequestFailure>>;
}
