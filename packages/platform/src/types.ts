import type {Result} from '@vanillacross/common';

/** Why the platform gave no result. */
export type PlatformFailure =
  /** The call did not take effect: refused, rate limited or unavailable. */
  | {tag: 'unavailable'; detail: string; retryAfterMs?: number}
  /** The call may have taken effect; its answer was lost. */
  | {tag: 'unknown'; detail: string}
  /** The platform refused the content of the call. */
  | {tag: 'rejected'; detail: string}
  /** An order carried an old fencing number. */
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

/** A range of a stream. `next` is the offset of the next append. */
export interface StreamRange {
  records: StreamRecord[];
  earliest: number;
  next: number;
}

export type ReadFailure =
  | PlatformFailure
  /** Records from the wanted offset on are no longer kept. */
  | {tag: 'gap'; earliest: number; next: number};

/** The platform's append-only log. */
export interface LogPort {
  /** Appends a batch as one append; one offset per record. */
  append(
    stream: string,
    records: AppendRecord[],
  ): Promise<Result<number[], PlatformFailure>>;
  /** Reads from an offset; waits up to `waitMs` for the first record. */
  read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<StreamRange, ReadFailure>>;
}

/** An entry of the platform's instance list, as listed. */
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

/** The platform's lagging list of instances. */
export interface InstanceListPort {
  /** `role` leaves out instances of other roles where the list can do so. */
  getChanges(
    since: number,
    role?: ListedInstance['role'],
  ): Promise<Result<InstanceChanges, PlatformFailure>>;
}

/**
 * Asked once more when the connection is open, immediately before the first
 * byte is written. If it says no, nothing is written and the call fails as
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
  /** Upstreams to start. */
  count?: number;
}

/** An upstream as the ordering interface lists it. */
export interface OrderedUpstream {
  id: string;
  pool: string;
  state: string;
}

/** The ordering interface of one failure domain. */
export interface OrderingPort {
  placeOrder(
    order: UpstreamOrder,
    timeoutMs: number,
    mayWrite?: MayWrite,
  ): Promise<Result<{status: string}, PlatformFailure>>;
  /** The status of an order; null if the platform does not know it. */
  getOrder(
    orderId: string,
  ): Promise<Result<{status: string} | null, PlatformFailure>>;
  getUpstreams(): Promise<Result<OrderedUpstream[], PlatformFailure>>;
}

/** Usage of one account. */
export interface AccountUsage {
  requests: number;
  promptTokens: number;
  generatedTokens: number;
}

/** The platform's interface for usage reports. */
export interface ReportPort {
  /** Idempotent for the same figures; rejected for others. */
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
