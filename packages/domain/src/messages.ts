import {z} from 'zod';

import {usageCountsSchema, rolloutStateSchema} from './controlRecords.js';
import {instanceSchema} from './instances.js';
import {poolSchema, upstreamSchema} from './records.js';

/** Load of an upstream as its agent sees it; also the `vc-load` header. */
export const loadSchema = z.object({
  running: z.number(),
  /** Current concurrency limit. */
  limit: z.number(),
  waiting: z.number(),
  /** Engine epoch; '' for plain services. */
  epoch: z.string(),
  /** Live weight version; 0 for plain services. */
  version: z.number(),
  cold: z.boolean(),
  /** Newest weight version that the engine has staged; only in polls. */
  staged: z.number().int().optional(),
  /** Version whose last stage or swap failed; only in polls. */
  failedVersion: z.number().int().optional(),
});

/** Usage of one account over the link between one entry and one agent. */
export const usageCellSchema = usageCountsSchema.extend({
  window: z.number().int(),
  entryEpoch: z.string(),
  agentEpoch: z.string(),
  account: z.string(),
});

/** Requests that were running when an engine died. */
export const crashReportSchema = z.object({
  upstream: z.string(),
  /** Engine epoch that died. */
  epoch: z.string(),
  fingerprints: z.array(z.string()),
});

/** Parameters of `control.pull`, sent by an agent to an entry. */
export const controlPullRequestSchema = z.object({
  instance: instanceSchema,
  epoch: z.string(),
  /** Offset of the view that the agent has; -1 if none. */
  offset: z.number().int(),
  /** Highest offset that the agent has heard of. */
  highest: z.number().int(),
  load: loadSchema,
  cells: z.array(usageCellSchema),
  crashes: z.array(crashReportSchema),
  /** `membersHash` of the last answer that this entry gave to this agent. */
  membersHash: z.string().optional(),
  /** Weight version for which the agent waits to be told a source. */
  wantedVersion: z.number().int().optional(),
});

/** The part of the control state that one agent needs. */
export const agentViewSchema = z.object({
  /** Offset up to which the entry had applied the control stream. */
  offset: z.number().int(),
  /** Current fencing number; -1 if no lease was ever claimed. */
  fencing: z.number().int(),
  pool: poolSchema.nullable(),
  /** Offset at which the pool's first version was accepted, -1 if unknown. */
  poolCreatedAt: z.number().int(),
  upstream: upstreamSchema.nullable(),
  isDomainIn: z.boolean(),
  windowMs: z.number().int(),
  /** Agents of the same pool, for dedup partners; only for plain pools. */
  members: z.array(instanceSchema),
  /** The rollout of the model of an engine pool. */
  rollout: rolloutStateSchema.optional(),
});

/** Where an agent may fetch a weight version from. */
export const weightSourcesSchema = z.object({
  version: z.number().int(),
  /** Data listeners of agents that have staged the version, `ip:port`. */
  addresses: z.array(z.string()),
  /** True if the agent is among those that fetch from the store first. */
  mayUseStore: z.boolean(),
});

/** Answer to `control.pull`; `view` is null if nothing changed. */
export const controlPullResponseSchema = z.object({
  entryEpoch: z.string(),
  highest: z.number().int(),
  view: agentViewSchema.nullable(),
  /** Set while the agent has not staged the version of its rollout. */
  weights: weightSourcesSchema.optional(),
  /** Hash of the members in `view`; sent back with the next poll. */
  membersHash: z.string().optional(),
});

/** What an engine or service is ordered to do. */
export const orderActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.enum(['load', 'stage', 'activate']),
    model: z.string(),
    version: z.number().int(),
    /** Base URL of a peer to fetch from; the store if absent. */
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
  /** Epoch of the agent whose clock `validUntilAgentMs` is read on. */
  agentEpoch: z.string(),
  validUntilAgentMs: z.number(),
  action: orderActionSchema,
});

/** Answer to `order.prepare`: what a controller needs to write an order. */
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

/** Headers between entry and agent. */
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
/** Tokens of one answer that one weight version produced, in order. */
export type WeightSpan = [version: number, tokens: number];
