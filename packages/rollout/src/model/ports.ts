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

/** Why a call to the shared log has no result. */
export type LogFailure =
  /** Nothing was done and nothing will be. */
  | {tag: 'unavailable'; detail: string}
  /** It may have taken effect, or may do so later. */
  | {tag: 'unknown'; detail: string}
  | {tag: 'full'}
  /** The partition did not end where the caller expected. */
  | {tag: 'conflict'; end: number}
  /** The records asked for have expired. */
  | {tag: 'trimmed'; first: number}
  /** A newer epoch of the producer has written. */
  | {tag: 'fenced'}
  | {tag: 'out_of_sequence'; expected: number}
  | {tag: 'rejected'; detail: string};

/** Identity of an appender, by which repeats are recognised. */
export interface Producer {
  id: string;
  epoch: number;
  sequence: number;
}

export interface AppendRequest {
  stream: string;
  partition: number;
  records: readonly Buffer[];
  /** Appends only if the partition ends there. */
  expectedEnd?: number;
  producer?: Producer;
  /** Time until the call is given up, ms. */
  timeoutMs: number;
}

export interface ReadRequest {
  stream: string;
  partition: number;
  from: number;
  /** Time for which the store holds a read without records, ms. */
  waitMs: number;
  /** Size of the answer at most, KB. */
  maxKb?: number;
  signal?: AbortSignal;
}

export interface StoredRecord {
  offset: number;
  bytes: Buffer;
}

/** A record of a stream that keeps the newest value of each key. */
export interface KeyedRecord {
  offset: number;
  key: string;
  /** Null if the key was removed. */
  value: Buffer | null;
}

/** Where the records of an append lie. */
export interface AppendedRange {
  /** Offset of the first record. */
  offset: number;
  /** Offset after the last record. */
  end: number;
}

export interface RecordPage<Entry> {
  /** Offset after the newest record of the partition. */
  end: number;
  records: Entry[];
}

/** Partitions that a group has dealt to this member. */
export interface GroupAssignment {
  generation: number;
  partitions: readonly number[];
}

/** The platform's store: append-only streams and groups of readers. */
export interface SharedLog {
  append(append: AppendRequest): Promise<Result<AppendedRange, LogFailure>>;
  read(
    read: ReadRequest,
  ): Promise<Result<RecordPage<StoredRecord>, LogFailure>>;
  readKeyed(
    read: ReadRequest,
  ): Promise<Result<RecordPage<KeyedRecord>, LogFailure>>;
  /** The newest value of each key. */
  readNewest(
    stream: string,
    partition: number,
  ): Promise<Result<RecordPage<KeyedRecord>, LogFailure>>;
  join(
    group: string,
    member: string,
    stream: string,
    ttlMs: number,
    generation: number,
  ): Promise<Result<GroupAssignment, LogFailure>>;
  leave(group: string, member: string): Promise<Result<null, LogFailure>>;
}

/** What operators and upstreams publish, decoded. */
export type OperatorRecord =
  | {tag: 'configuration'; configuration: Configuration}
  | {tag: 'evacuation'; domain: DomainId; isActive: boolean}
  | {tag: 'weights'; model: string; version: number}
  | {tag: 'ignored'; reason: string};

/** Decodes the records of the operator and the upstreams. */
export interface RecordDialect {
  operatorStream: string;
  upstreamStream: string;
  readOperatorRecord(key: string, value: Buffer | null): OperatorRecord;
  /** An entry, or why it names no upstream. */
  readUpstream(key: string, value: Buffer): Result<UpstreamEntry, string>;
}

/** The head of a caller's request, decoded. */
export interface RequestHead {
  id: RequestId;
  method: string;
  host: string;
  path: string;
  /** Path and query, as sent. */
  target: string;
  apiKey: string | null;
  /** How long the caller will wait, ms; null if it does not say. */
  budgetMs: number | null;
  /** Headers that go on to the upstream. */
  headers: Readonly<Record<string, string | string[]>>;
}

/** A call about a step that was accepted earlier. */
export type StepCall =
  | {tag: 'read'; step: RequestId; after: number; waitMs: number}
  | {tag: 'sample_body'; step: RequestId; sample: SampleId}
  | {tag: 'end'; step: RequestId};

/** A trainer's submission before the route and the account are known. */
export interface StepSubmission {
  model: string | null;
  minVersion: number;
  targetGroups: number;
  samples: readonly Sample[];
}

/** Translates between callers' HTTP and the product. */
export interface CallerDialect {
  readyPath: string;
  readHead(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): RequestHead;
  /** Null if the request is not about a step. */
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
  /** Headers of an answer that this process gives itself. */
  getRefusalHeaders(id: RequestId, retryAfterMs: number): OutgoingHttpHeaders;
}

/** A request as it goes to an upstream. */
export interface UpstreamCall {
  id: RequestId;
  method: string;
  target: string;
  host: string;
  headers: Readonly<Record<string, string | string[]>>;
  account: AccountId | null;
  upstream: UpstreamId;
  /** Time that is left, ms. */
  budgetMs: number;
  /** Resumes after this event; 0 starts from the beginning. */
  lastEventId: number;
  /** 0 is the most urgent; null leaves it to the engine. */
  priority: number | null;
}

/** Load that an upstream reports. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** The head of an upstream's answer, decoded. */
export interface ResponseHead {
  status: number;
  /** The request that it answers; null if it does not say. */
  id: string | null;
  signature: string | null;
  /** The upstream says that the request has not run. */
  isNotRun: boolean;
  /** Another upstream has this address now. */
  isMisdirected: boolean;
  load: ReportedLoad | null;
  /** Version of the weights at the first token; null if it does not say. */
  weightVersion: number | null;
}

/** State of an engine, as it reports it. */
export interface EngineReport {
  isLoading: boolean;
  /** Orders accepted since its start. */
  orderCount: number;
  versions: ReadonlyMap<string, number>;
}

/** An order to an engine to change the version of a model. */
export interface WeightOrder {
  upstream: UpstreamId;
  model: string;
  version: number;
  mode: 'finish_running' | 'keep_running';
  holder: string;
  fencingToken: number;
  expectedOrderCount: number;
}

/** A request of this process to an upstream or the platform. */
export interface JsonCall {
  method: 'GET' | 'POST';
  path: string;
  headers: Record<string, string>;
  body?: unknown;
}

/** Translates between the product and the upstreams' HTTP. */
export interface UpstreamDialect {
  getHeaders(call: UpstreamCall): OutgoingHttpHeaders;
  /** Headers of an answer that go on to the caller. */
  getCallerHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
  readHead(status: number, headers: IncomingHttpHeaders): ResponseHead;
  /** Name of the event field that tells a change of the weights. */
  versionField: string;
  getReportCall(upstream: UpstreamId): JsonCall;
  readReport(body: unknown): Result<EngineReport, string>;
  getWeightCall(order: WeightOrder): JsonCall;
}

/** Duties towards the platform that one process holds at a time. */
export type LeaseHolderRequest =
  | {tag: 'usage'; window: number; counts: ReadonlyMap<AccountId, number>}
  | {tag: 'scale'; pool: PoolId; domain: DomainId; count: number};

export type LeaseHolderRequestFailure =
  {tag: 'unknown'; detail: string} | {tag: 'refused'; status: number};

/** The platform's interface for duties. */
export interface LeaseHolderClient {
  send(
    duty: LeaseHolderRequest,
    holder: string,
    fencingToken: number,
    mayWrite: () => boolean,
  ): Promise<Result<null, LeaseHolderRequestFailure>>;
}
