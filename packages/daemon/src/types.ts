import type {
  Clock,
  Epoch,
  Logger,
  Metrics,
  MonotonicMs,
  Result,
  RpcMethods,
} from '@vanillacross/common';
import type {
  AgentInstance,
  AppendOutcome,
  ControlPayload,
  ControlState,
  CrashReport,
  Instance,
  Load,
  MissedEnd,
  Pool,
  WeightSpan,
  UsageCell,
} from '@vanillacross/domain';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A component of the daemon with a life cycle. */
export interface Component {
  readonly name: string;
  start(): Promise<void> | void;
  /** Stops after running work has finished, or immediately if aborted. */
  stop(signal: AbortSignal): Promise<void>;
}

/** Dependencies shared by all components of a process. */
export interface Context {
  /** This process as it appears in the instance list. */
  self: Instance;
  epoch: Epoch;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Shared secret that authenticates requests between instances. */
  clusterSecret: string;
}

export type AppendFailure =
  /** The log did not accept the record. */
  | {tag: 'log_unavailable'; detail: string}
  /** The record may have been appended; reading it back failed. */
  | {tag: 'append_unknown'; detail: string; appendId: string};

/** Replays the control log and appends to it. */
export interface ControlFollower extends Component {
  getState(): ControlState;
  /**
   * Registers a listener for state changes; returns an unsubscribe function.
   */
  subscribe(
    listener: (state: ControlState, previous: ControlState) => void,
  ): () => void;
  /**
   * Appends a record and returns whether the log accepted it; reads the log
   * back if the append had no definite result.
   */
  append(
    payload: ControlPayload,
  ): Promise<Result<AppendOutcome, AppendFailure>>;
  /** Time of the last response of the log; null before the first. */
  getLastLogContact(): MonotonicMs | null;
  /** Records a log offset that a peer or an agent reported. */
  recordHighestOffset(offset: number): void;
  /** RPC methods for the peer listener: `control.snapshot`. */
  rpcMethods: RpcMethods;
}

/** Last known state of an agent, from its polls and responses. */
export interface AgentPresence {
  instance: AgentInstance;
  epoch: Epoch | null;
  load: Load | null;
  /**
   * Control log offset that the agent's view of the control state has reached.
   */
  offset: number;
  lastSeenAt: MonotonicMs | null;
  /** Time of the last poll; null or undefined before the first. */
  polledAt?: MonotonicMs | null;
  isLeaving: boolean;
}

/** Instances known to this entry from the instance list, settings and polls. */
export interface Membership extends Component {
  getInstances(): readonly Instance[];
  /** Live entries other than this one. */
  getPeers(): readonly Instance[];
  /** All agents of a pool, including leaving ones, for rendezvous hashing. */
  getPoolMembers(pool: string): readonly AgentPresence[];
  /**
   * Agents of a pool that are assigned to this entry and may receive new
   * requests.
   */
  getCandidates(pool: string): readonly AgentPresence[];
  getAgent(upstream: string): AgentPresence | null;
  recordLoad(upstream: string, load: Load): void;
  /**
   * Counts a connection failure; repeated failures eject the agent temporarily.
   */
  recordFailure(upstream: string): void;
  /** Registers a handler for usage and crashes that agents report in polls. */
  onReport(
    listener: (cells: UsageCell[], crashes: CrashReport[]) => void,
  ): void;
  /**
   * Whether this entry may validate keys, because its control state is recent
   * enough. If false, requests that need a key must be refused as
   * `authority_lost`.
   */
  hasAuthority(): boolean;
  /** RPC methods for the peer listener: `control.pull`. */
  rpcMethods: RpcMethods;
}

/** Error codes returned to callers. */
export type RefusalCode =
  | 'unauthorized'
  | 'key_withdrawn'
  | 'forbidden'
  | 'route_unknown'
  | 'bad_request'
  | 'too_large'
  | 'authority_lost'
  | 'account_limit'
  | 'queue_deadline'
  | 'no_upstream'
  | 'quarantined'
  | 'draining'
  | 'retry_budget'
  | 'upstream_failed'
  | 'answer_cut'
  | 'deadline'
  | 'outcome_unknown'
  | 'cancelled'
  | 'step_conflict'
  /** This entry does not have the step; the trainer must submit it again. */
  | 'step_unknown'
  | 'internal';

/** Why a request was refused or failed. */
export interface Refusal {
  tag: RefusalCode;
  message: string;
  /** True only if no part of the request can have run. */
  notRun: boolean;
  /** Delay before the caller may retry, seconds. */
  retryAfter?: number;
  /** Summary that the agent reported for a truncated response, if any. */
  partial?: ResponseSummary;
}

/** A request to be sent to an upstream of a pool. */
export interface DispatchRequest {
  requestId: string;
  account: string;
  poolId: string;
  pool: Pool;
  method: string;
  /** Path and query, with caller keys removed. */
  path: string;
  /** Headers to forward to the upstream. */
  headers: Record<string, string>;
  body: Buffer;
  /**
   * `once`: must not be sent again if it may have run; `idempotent`: may be
   * repeated.
   */
  repeat: 'idempotent' | 'once';
  /** SHA-256 of the account and the caller's idempotency key. */
  idempotencyKey?: string;
  /** Hash of method, path and body, for crash quarantine. */
  fingerprint: string;
  /** 0 to 9; higher priorities start first. */
  priority: number;
  /** Cost for fair queueing: estimated tokens, or 1 if there is no estimate. */
  cost: number;
  /** Hash of the prompt prefix, for cache affinity; '' if there is none. */
  affinity: string;
  deadline: MonotonicMs;
  signal: AbortSignal;
  /** Ids of upstreams that must not be selected. */
  avoid?: readonly string[];
}

/**
 * Weight spans, token usage and engine epoch that an agent reports at the end of
 * a response.
 */
export interface ResponseSummary {
  spans: WeightSpan[];
  usage: {prompt: number; generated: number};
  engineEpoch: string;
}

/** A response whose body may still be arriving. */
export interface UpstreamResponse {
  status: number;
  headers: Record<string, string>;
  upstream: string;
  /** Chunks of the body; ends early if the response is truncated. */
  body: AsyncIterable<Buffer>;
  /** The same body, if it has been received completely. */
  bufferedBody?: Buffer;
  /** Resolves after the end of the body; to a failure if it was truncated. */
  finished: Promise<Result<ResponseSummary, Refusal>>;
}

/** Admits requests, selects upstreams, forwards and retries. */
export interface Dispatcher extends Component {
  dispatch(
    request: DispatchRequest,
  ): Promise<Result<UpstreamResponse, Refusal>>;
  /** Usage counted by this entry. */
  getUsageCells(): readonly UsageCell[];
  /**
   * Agent epochs, by recent usage window, whose usage this entry may have
   * recorded incompletely.
   */
  getMissedEnds?(): readonly MissedEnd[];
}

/** A request handler of the caller listener; the first match handles it. */
export interface HttpAction {
  name: string;
  matches(method: string, path: string): boolean;
  perform(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
