import type {
  AccountId,
  DomainId,
  InstanceId,
  MonotonicMs,
  PoolId,
  RequestId,
  SampleId,
  SoftwareVersion,
  UpstreamId,
} from '@vanillacross/common';
import type {PromptPart} from '@vanillacross/domain';

/** Decides how a route's requests may be retried after a missing response. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'stream' | 'rollout';

/**
 * A pool that a route sends a share of its requests to; the share is proportional
 * to the weight.
 */
export interface RouteTarget {
  pool: PoolId;
  weight: number;
}

/** Maps requests by host and path prefix to pools. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  targets: readonly RouteTarget[];
  /** Longest time that a caller waits for a response, ms. */
  timeoutMs: number;
  /** Target latency, ms; a later response is worth less to the caller. */
  targetLatencyMs: number;
  /** Maximum number of times that one request may be executed. */
  maxAttempts: number;
  /** 0 is the highest priority. */
  priority: number;
  isPublic: boolean;
  isResumable: boolean;
  /** All tokens of a sample must come from one version of the weights. */
  isSingleVersion: boolean;
  /** Time from submission of a step until its results are due, ms. */
  stepBudgetMs: number;
  /** Time from submission of a step until its samples may be abandoned, ms. */
  sampleRetentionMs: number;
}

/** A group of upstreams that serve the same requests. */
export interface Pool {
  id: PoolId;
  healthPath: string;
  /** Connections that one upstream accepts in total. */
  maxConnections: number;
  /** Time after its start for which an upstream is cold (warming up), ms. */
  coldMs: number;
  /** Maximum requests per second to a cold upstream; 0 means no limit. */
  coldPerSecond: number;
  /** Names of the models that the engines of the pool serve. */
  models: readonly string[];
  /**
   * Memory of one engine for running requests and cached prompts, tokens; null if
   * not stated.
   */
  cacheTokens: number | null;
  scaling: ScalingLimits | null;
}

/** Minimum and maximum number of upstreams per failure domain. */
export interface ScalingLimits {
  min: number;
  max: number;
}

/** A client account with its API keys. */
export interface Account {
  id: AccountId;
  keys: readonly string[];
  /** Overrides the route's priority if not null; 0 is the highest priority. */
  priority: number | null;
}

/** Limits on size and duration of callers' requests. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the operator's complete configuration. */
export interface Configuration {
  version: number;
  routes: readonly Route[];
  pools: ReadonlyMap<PoolId, Pool>;
  accounts: readonly Account[];
  limits: CallerLimits;
}

/** An upstream's entry in the instance list. */
export interface UpstreamEntry {
  id: UpstreamId;
  pool: PoolId;
  /** `ip:port`. */
  address: string;
  domain: DomainId;
  software: SoftwareVersion;
  slots: number;
  isDraining: boolean;
  /** Time for which it will still be cold, ms. */
  coldLeftMs: number;
  /** Wall-clock time at which it started, ms; it changes with each restart. */
  bornAt: number;
  /** Version of the weights that it serves, by model. */
  versions: ReadonlyMap<string, number>;
}

/** A request that scores the finished text of a sample. */
export interface ScoringCall {
  id: RequestId;
  host: string;
  path: string;
  /** Base64. */
  body: string;
}

/** The prompt of a sample, as far as engines cache it. */
export interface Prompt {
  /** Null if not stated; then it is the model of the step. */
  model: string | null;
  /** The whole prompt in order; the last part is the sample's own. */
  parts: readonly PromptPart[];
  /** Maximum number of output tokens; null if not stated. */
  outputTokens: number | null;
}

/** One sample to generate for a step. */
export interface Sample {
  id: SampleId;
  path: string;
  headers: Readonly<Record<string, string>>;
  /** Base64. */
  body: string;
  /** Prompt tokens plus the maximum number of output tokens. */
  tokens: number;
  /**
   * The trainer's estimate of the number of output tokens; null if it gave
   * none.
   */
  expectedTokens: number | null;
  /** Null if its parts are not stated. */
  prompt: Prompt | null;
  group: string;
  scoring: ScoringCall | null;
}

/** A batch of samples that a trainer submitted. */
export interface Step {
  id: RequestId;
  account: AccountId | null;
  route: string;
  host: string;
  model: string | null;
  /** Minimum version of the weights that may generate tokens. */
  minVersion: number;
  /** Number of complete groups that the trainer waits for. */
  targetGroups: number;
  /** Wall-clock time at which the step was accepted, ms. */
  acceptedAt: number;
  samples: readonly Sample[];
}

export type SampleState = 'completed' | 'dead';

/** The final outcome of a sample, as reported to the trainer. */
export interface SampleResult {
  sample: SampleId;
  state: SampleState;
  versions: readonly number[];
  score: string | null;
  /** Location of its text; null if it has none. */
  text: TextLocation | null;
}

/** Location of a text in the shared log. */
export interface TextLocation {
  partition: number;
  offset: number;
  bytes: number;
}

/** A result together with the text of its sample. */
export interface ResultWithOutput extends SampleResult {
  output: Buffer;
}

/** Identity and failure domain of this process. */
export interface ProcessIdentity {
  id: InstanceId;
  /** Unique for each start of the process. */
  incarnation: string;
  domain: DomainId;
}

/** Limits that the deployment configures; times are in ms. */
export interface DeploymentLimits {
  /** Time after its last renewal at which a lease expires. */
  leaseMs: number;
  /**
   * Maximum age of the configuration. While it is older, no API key is accepted,
   * because the key may have been revoked meanwhile.
   */
  revocationMs: number;
  /** Duration of a window of the usage reports. */
  reportWindowMs: number;
  /** Time after a window's end at which a report is no longer useful. */
  reportLateMs: number;
  /** Configured duration of draining; this package does not use it. */
  drainMs: number;
  /** Time from the start of a shutdown until the process has to exit. */
  graceMs: number;
  /**
   * Factor by which `coldPerSecond` is multiplied to get the maximum total rate of
   * all processes to a cold upstream.
   */
  coldOverage: number;
  /** Requests per second added to the product with `coldOverage`. */
  coldSlack: number;
  /** Configured settling time; this package does not use it. */
  settleMs: number;
  /** Time from the acceptance of a step for which its status is available. */
  stepStatusMs: number;
}

/** Monotonic time until which an operation may continue. */
export type Deadline = MonotonicMs;
