import {z} from 'zod';

import {usageCountsSchema, rolloutStateSchema} from './controlRecords.js';
import {instanceSchema} from './instances.js';
import {poolSchema, upstreamSchema} from './records.js';

/**
 * Load of an upstream as measured by its agent; also sent in the `vc-load`
 * header.
 */
export const loadSchema = z.object({
  running: z.number(),
  /** Current concurrency limit. */
  limit: z.number(),
  waiting: z.number(),
  /** Engine epoch; empty for plain services. */
  epoch: z.string(),
  /** Live weight version; 0 for plain services. */
  version: z.number(),
  cold: z.boolean(),
  /** Newest weight version staged by the engine; only sent in polls. */
  staged: z.number().int().optional(),
  /**
   * Version that the engine last failed to stage or activate; only sent in
   * polls.
   */
  failedVersion: z.number().int().optional(),
});

/** Usage of one account on the link between one entry and one agent. */
export const usageCellSchema = usageCountsSchema.extend({
  window: z.number().int(),
  entryEpoch: z.string(),
  agentEpoch: z.string(),
  account: z.string(),
});

/** Fingerprints of the requests that were running when an engine crashed. */
export const crashReportSchema = z.object({
  upstream: z.string(),
  /** Epoch of the engine process that crashed. */
  epoch: z.string(),
  fingerprints: z.array(z.string()),
});

/** Parameters of `control.pull`, which an agent sends to an entry. */
export const controlPullRequestSchema = z.object({
  instance: instanceSchema,
  epoch: z.string(),
  /** Offset of the agent's current view; -1 if it has none. */
  offset: z.number().int(),
  /** Highest control log offset known to the agent. */
  highest: z.number().int(),
  load: loadSchema,
  cells: z.array(usageCellSchema),
  crashes: z.array(crashReportSchema),
  /** `membersHash` of the last response of this entry to this agent. */
  membersHash: z.string().optional(),
  /** Weight version that the agent needs a source for. */
  wantedVersion: z.number().int().optional(),
});

/** The part of the control state that one agent needs. */
export const agentViewSchema = z.object({
  /** Offset up to which the entry has applied the control stream. */
  offset: z.number().int(),
  /** Current fencing token; -1 if the lease was never claimed. */
  fencing: z.number().int(),
  pool: poolSchema.nullable(),
  /** Offset of the first revision of the pool; -1 if unknown. */
  poolCreatedAt: z.number().int(),
  upstream: upstreamSchema.nullable(),
  isDomainIn: z.boolean(),
  windowMs: z.number().int(),
  /**
   * Agents of the same pool, from which the holders of idempotency keys are
   * chosen; only set for plain pools.
   */
  members: z.array(instanceSchema),
  /** Rollout of the pool's model; only set for engine pools. */
  rollout: rolloutStateSchema.optional(),
});

/** Sources from which an agent may fetch a weight version. */
export const weightSourcesSchema = z.object({
  version: z.number().int(),
  /** Data listeners of agents that have staged the version, `ip:port`. */
  addresses: z.array(z.string()),
  /**
   * True if the agent is one of those that fetch the version from the weight
   * store first.
   */
  mayUseStore: z.boolean(),
});

/** Response to `control.pull`; `view` is null if nothing changed. */
export const controlPullResponseSchema = z.object({
  entryEpoch: z.string(),
  highest: z.number().int(),
  view: agentViewSchema.nullable(),
  /** Set while the agent has not staged its rollout's version. */
  weights: weightSourcesSchema.optional(),
  /** Hash of the members in `view`; the agent returns it in its next poll. */
  membersHash: z.string().optional(),
});

/** What an order tells an engine or service to do. */
export const orderActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.enum(['load', 'stage', 'activate']),
    model: z.string(),
    version: z.number().int(),
    /**
     * Base URL of a peer to fetch the weights from; the weight store if absent.
     */
    source: z.string().optional(),
  }),
  z.object({type: z.literal('adapter'), adapter: z.string()}),
  z.object({type: z.literal('role'), role: z.string()}),
  z.object({type: z.literal('drain')}),
]);

/** Parameters of `order.execute`. */
export const orderSchema = z.object({
  orderId: z.string(),
  fencing: z.number().int(),
  /**
   * Epoch of the agent's process; `validUntilAgentMs` is a time on its clock.
   */
  agentEpoch: z.string(),
  validUntilAgentMs: z.number(),
  action: orderActionSchema,
});

/** Response to `order.prepare`: what a controller needs to create an order. */
export const orderPreparationSchema = z.object({
  agentEpoch: z.string(),
  monotonicMs: z.number(),
  highestFencing: z.number().int(),
  load: loadSchema,
});

/** Outcome of an order at an agent. */
export const orderOutcomeSchema = z.discriminatedUnion('tag', [
  z.object({tag: z.literal('done')}),
  z.object({
    tag: z.literal('refused'),
    reason: z.enum(['stale_fencing', 'expired', 'not_ready', 'other_epoch']),
    highestFencing: z.number().int(),
  }),
  z.object({tag: z.literal('failed'), detail: z.string()}),
]);

/** Headers that entries and agents exchange. */
export const HEADERS = {
  auth: 'vc-auth',
  request: 'vc-request',
  attempt: 'vc-attempt',
  account: 'vc-account',
  entryEpoch: 'vc-entry-epoch',
  window: 'vc-window',
  deadline: 'vc-deadline-ms',
  repeat: 'vc-repeat',
  idempotencyKey: 'vc-idempotency-key',
  fingerprint: 'vc-fingerprint',
  priority: 'vc-priority',
  offset: 'vc-offset',
  notRun: 'vc-not-run',
  refusal: 'vc-refusal',
  load: 'vc-load',
  outcome: 'vc-outcome',
  spans: 'vc-spans',
  usage: 'vc-usage',
} as const;

export type Load = z.infer<typeof loadSchema>;
export type UsageCell = z.infer<typeof usageCellSchema>;
export type CrashReport = z.infer<typeof crashReportSchema>;
export type ControlPullRequest = z.infer<typeof controlPullRequestSchema>;
export type AgentView = z.infer<typeof agentViewSchema>;
export type ControlPullResponse = z.infer<typeof controlPullResponseSchema>;
export type WeightSources = z.infer<typeof weightSourcesSchema>;
export type OrderAction = z.infer<typeof orderActionSchema>;
export type Order = z.infer<typeof orderSchema>;
export type OrderPreparation = z.infer<typeof orderPreparationSchema>;
export type OrderOutcome = z.infer<typeof orderOutcomeSchema>;
/**
 * A run of consecutive tokens of a response that one weight version generated.
 */
export type WeightSpan = [version: number, tokens: number];
