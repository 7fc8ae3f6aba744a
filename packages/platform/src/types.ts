import type {Result} from '@vanillacross/common';

/** Reason why a request to the platform failed. */
export type PlatformFailure =
  /**
   * The request did not take effect: connection refused, rate limited or
   * unavailable.
   */
  | {tag: 'unavailable'; detail: string; retryAfterMs?: number}
  /** The request may have taken effect; its response was lost. */
  | {tag: 'unknown'; detail: string}
  /** The platform refused the content of the request. */
  | {tag: 'rejected'; detail: string}
  /** The fencing number of an order was stale. */
  | {tag: 'stale_fencing'; highest: number};

/** One record to append. */
export interface AppendRecord {
  appendId: string;
  payload: unknown;
}

/** One record of a stream. */
export interface StreamRecord extends AppendRecord {
  offset: number;
}

/** Consecutive records of a stream. `next` is the offset of the next append. */
export interface StreamRange {
  records: StreamRecord[];
  earliest: number;
  next: number;
}

export type ReadFailure =
  | PlatformFailure
  /** Records at the requested offset are no longer retained. */
  | {tag: 'gap'; earliest: number; next: number};

/** The platform's append-only log. */
export interface LogPort {
  /** Appends records in one batch and returns one offset per record. */
  append(
    stream: string,
    records: AppendRecord[],
  ): Promise<Result<number[], PlatformFailure>>;
  /** Reads from an offset on; waits up to `waitMs` for the first record. */
  read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<StreamRange, ReadFailure>>;
}

/** An item of the platform's instance list. */
export interface ListedInstance {
  id: string;
  role: 'entry' | 'agent';
  domain: string;
  address: string;
  peerAddress: string;
  state: 'live' | 'leaving';
  upstream?: {id: string; pool: string};
}

/** Changes of the instance list since a version. */
export interface InstanceChanges {
  version: number;
  /** True if `instances` is the whole list. */
  full: boolean;
  instances: ListedInstance[];
  removed: string[];
}

/**
 * The platform's list of instances, which may lag behind their actual state.
 */
export interface InstanceListPort {
  /**
   * Returns the changes since a version. If `role` is given, the platform may
   * omit instances of other roles.
   */
  getChanges(
    since: number,
    role?: ListedInstance['role'],
  ): Promise<Result<InstanceChanges, PlatformFailure>>;
}

/**
 * Called once the connection is open, immediately before the first byte is
 * written. If it returns false, nothing is written and the request fails as
 * `unavailable`.
 */
export type MayWrite = () => boolean;

/** An order to start or stop upstreams of a failure domain. */
export interface UpstreamOrder {
  orderId: string;
  fencing: number;
  pool: string;
  action: 'start' | 'stop';
  /** Upstream to stop. */
  upstream?: string;
  /** Number of upstreams to start. */
  count?: number;
}

/** An upstream in the list of the interface for upstream orders. */
export interface OrderedUpstream {
  id: string;
  pool: string;
  state: string;
}

/**
 * The interface of one failure domain for orders to start and stop upstreams.
 */
export interface OrderingPort {
  placeOrder(
    order: UpstreamOrder,
    timeoutMs: number,
    mayWrite?: MayWrite,
  ): Promise<Result<{status: string}, PlatformFailure>>;
  /** Returns the status of an order; null if the platform does not know it. */
  getOrder(
    orderId: string,
  ): Promise<Result<{status: string} | null, PlatformFailure>>;
  getUpstreams(): Promise<Result<OrderedUpstream[], PlatformFailure>>;
}

/** Usage of one client account in a usage window. */
export interface AccountUsage {
  requests: number;
  promptTokens: number;
  generatedTokens: number;
}

/** The platform's interface for usage reports. */
export interface ReportPort {
  /**
   * Reports the usage of a window. Idempotent for the same figures; other
   * figures for the same window are rejected.
   */
  report(
    window: number,
    figures: Record<string, AccountUsage>,
    sealOffset: number,
    timeoutMs: number,
    mayWrite?: MayWrite,
  ): Promise<Result<null, PlatformFailure>>;
}

export interface WeightVersion {
  version: number;
  bytes: number;
  publishedAtMs: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStorePort {
  getVersions(model: string): Promise<Result<WeightVersion[], PlatformFailure>>;
}

/** A service that scores samples. */
export interface ScoringPort {
  score(
    sampleId: string,
    prompt: string,
    text: string,
  ): Promise<Result<number, PlatformFailure>>;
}
