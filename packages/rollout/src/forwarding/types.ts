import type {
  AccountId,
  Clock,
  DomainId,
  Logger,
  Metrics,
  MonotonicMs,
  RequestId,
  UpstreamId,
} from '@vanillacross/common';
import type {IncomingHttpHeaders} from 'node:http';

import type {
  Pool,
  ResponseHead,
  Route,
  SchedulingPolicy,
  StreamContinuation,
  UpstreamDialect,
} from '../model/index.js';
import type {
  CrashTracker,
  ResponseMemory,
  UpstreamDirectory,
} from '../upstreams/index.js';
import type {StreamOrigins} from '../streams/index.js';
import type {AdmissionQueue} from './admissionQueue.js';
import type {WaitingRequests} from './waitingRequests.js';

/** What the order of a waiting request depends on beside its deadline. */
export interface QueueOrder {
  /** 0 is the highest priority. */
  priority: number;
  /** Unfinished samples of the group of a scoring call; 0 for a caller. */
  unfinishedInGroup: number;
}

/** A request to forward to a pool of upstreams. */
export interface ForwardRequest {
  id: RequestId;
  route: Route;
  pool: Pool;
  method: string;
  target: string;
  host: string;
  headers: Readonly<Record<string, string | string[]>>;
  body: Buffer;
  /** Null if the request starts from the beginning. */
  continuation: StreamContinuation | null;
  account: AccountId | null;
  deadline: MonotonicMs;
  priority: number | null;
  /** What the order of waiting requests depends on; no upstream is sent it. */
  queueOrder: QueueOrder;
  /**
   * Whether this is a background request, which may take only some of an
   * upstream's slots.
   */
  isBackground: boolean;
  /**
   * Whether the request may be one that crashes each upstream that runs it, so
   * that it is quarantined once several have crashed. Calls for samples are not.
   */
  mayCrashUpstreams: boolean;
  /**
   * Whether the request may still run; asked before each attempt, because a key
   * may be withdrawn while a request waits or this process is suspended.
   */
  isPermitted: () => boolean;
  /** Whether the configuration still leads the request to its pool. */
  isRouted: () => boolean;
}

/** Outcome of a forwarded request. */
export type ForwardOutcome =
  | {
      tag: 'answered';
      upstream: UpstreamId;
      head: ResponseHead;
      headers: IncomingHttpHeaders;
      body: Buffer;
      /** Number of responses with status 500 so far, this one included. */
      serverErrors: number;
    }
  /** No upstream executed it, and none will. */
  | {tag: 'not_run'; reason: string; retryAfterMs: number}
  /** It was not executed, as identical requests have crashed upstreams. */
  | {tag: 'quarantined'}
  /** It may have been executed, but there is no complete response. */
  | {tag: 'failed'; reason: string}
  /** The deadline passed, and an upstream may have executed it. */
  | {tag: 'timed_out'}
  /** The caller disconnected. */
  | {tag: 'cancelled'};

export interface ForwardContext {
  directory: UpstreamDirectory;
  dialect: UpstreamDialect;
  crashes: CrashTracker;
  memory: ResponseMemory;
  streams: StreamOrigins;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  domain: DomainId;
  waiting: WaitingRequests;
  queue: AdmissionQueue;
  policy: SchedulingPolicy;
  /** Returns the requests/s that this process may send to a cold upstream. */
  getColdShare: (pool: Pool) => number;
  /** Counts an attempt that an upstream executed or may have executed. */
  onExecution: (account: AccountId | null) => void;
}
