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

/** A long-running part of the daemon. */
export interface Component {
  readonly name: string;
  start(): Promise<void> | void;
  /** Ends the part after its running work, or at once if aborted. */
  stop(signal: AbortSignal): Promise<void>;
}

/** What every part may use. */
export interface Context {
  /** Identity of this process as the instance list would show it. */
  self: Instance;
  epoch: Epoch;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Secret of the traffic between own processes. */
  clusterSecret: string;
}

export type AppendFailure =
  /** The log did not take the record. */
  | {tag: 'log_unavailable'; detail: string}
  /** The log may have taken the record; reading it back did not succeed. */
  | {tag: 'append_unknown'; detail: string; appendId: string};

/** Follows the control stream and writes to it. */
export interface ControlFollower extends Component {
  getState(): ControlState;
  /** Calls back after each change; returns a function that unsubscribes. */
  subscribe(
    listener: (state: ControlState, previous: ControlState) => void,
  ): () => void;
  /** Appends, reads back where needed, and says what the log decided. */
  append(
    payload: ControlPayload,
  ): Promise<Result<AppendOutcome, AppendFailure>>;
  /** Time of the last answer of the log; null before the first. */
  getLastLogContact(): MonotonicMs | null;
  /** Tells of an offset heard from a peer or agent. */
  recordHighestOffset(offset: number): void;
  /** Methods for the peer listener: `control.snapshot`. */
  rpcMethods: RpcMethods;
}

/** What is known of an agent from its polls and answers. */
export interface AgentPresence {
  instance: AgentInstance;
  epoch: Epoch | null;
  load: Load | null;
  /** Offset of the control view that the agent has. */
  offset: number;
  lastSeenAt: MonotonicMs | null;
  /** Time of the last poll; null or absent before the first. */
  polledAt?: MonotonicMs | null;
  isLeaving: boolean;
}

/** Instances that this entry knows, from the list, settings and polls. */
export interface Membership extends Component {
  getInstances(): readonly Instance[];
  /** Live entries other than this one. */
  getPeers(): readonly Instance[];
  /** All agents of a pool, also leaving ones; for rendezvous placement. */
  getPoolMembers(pool: string): readonly AgentPresence[];
  /** This entry's subset of a pool that may get new work now. */
  getCandidates(pool: string): readonly AgentPresence[];
  getAgent(upstream: string): AgentPresence | null;
  recordLoad(upstream: string, load: Load): void;
  /** Counts a failed connection; enough of them eject the agent for a while. */
  recordFailure(upstream: string): void;
  /** Registers a handler for what agents hand over with their polls. */
  onReport(
    listener: (cells: UsageCell[], crashes: CrashReport[]) => void,
  ): void;
  /** False if keyed work must be refused as `authority_lost`. */
  hasAuthority(): boolean;
  /** Methods for the peer listener: `control.pull`. */
  rpcMethods: RpcMethods;
}

/** Codes of the refusals that callers see. */
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
  /** This entry does not hold the step; its trainer submits it again. */
  | 'step_unknown'
  | 'internal';

/** A refusal or failure of a request. */
export interface Refusal {
  tag: RefusalCode;
  message: string;
  /** True only if no part of the request can have run. */
  notRun: boolean;
  /** When the caller may try again, seconds. */
  retryAfter?: number;
  /** What an agent observed of an answer that was cut, if it could say so. */
  partial?: ResponseSummary;
}

/** One request on its way to some upstream of a pool. */
export interface DispatchRequest {
  requestId: string;
  account: string;
  poolId: string;
  pool: Pool;
  method: string;
  /** Path and query, already free of keys. */
  path: string;
  /** Headers that may go upstream. */
  headers: Record<string, string>;
  body: Buffer;
  repeat: 'idempotent' | 'once';
  /** SHA-256 of account and the caller's idempotency key. */
  idempotencyKey?: string;
  /** Hash of method, path and body, for crash quarantine. */
  fingerprint: string;
  /** 0 to 9, higher runs first. */
  priority: number;
  /** Estimated tokens; 1 for plain services. */
  cost: number;
  /** Prompt prefix hash for cache affinity; '' if none. */
  affinity: string;
  deadline: MonotonicMs;
  signal: AbortSignal;
  /** Upstreams that must not be chosen. */
  avoid?: readonly string[];
}

/** The end of an answer that arrived whole. */
export interface ResponseSummary {
  spans: WeightSpan[];
  usage: {prompt: number; generated: number};
  engineEpoch: string;
}

/** An answer whose body is arriving. */
export interface UpstreamResponse {
  status: number;
  headers: Record<string, string>;
  upstream: string;
  /** Parts of the body; ends early if the answer is cut. */
  body: AsyncIterable<Buffer>;
  /** The same body where all of it has arrived already. */
  bufferedBody?: Buffer;
  /** Says, after the body ended, whether it was whole. */
  finished: Promise<Result<ResponseSummary, Refusal>>;
}

/** Admits requests, chooses upstreams, retries, and forwards. */
export interface Dispatcher extends Component {
  dispatch(
    request: DispatchRequest,
  ): Promise<Result<UpstreamResponse, Refusal>>;
  /** Usage cells counted by this entry. */
  getUsageCells(): readonly UsageCell[];
  /** Answers whose end this entry did not read, in recent windows. */
  getMissedEnds?(): readonly MissedEnd[];
}

/** A handler of the caller listener: the first that matches performs. */
export interface HttpAction {
  name: string;
  matches(method: string, path: string): boolean;
  perform(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
