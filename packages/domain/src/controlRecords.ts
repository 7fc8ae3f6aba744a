import {z} from 'zod';

/** Usage of one client account in one window. */
export const usageCountsSchema = z.object({
  requests: z.number().int().min(0),
  promptTokens: z.number().int().min(0),
  generatedTokens: z.number().int().min(0),
});

export const usageByAccountSchema = z.record(z.string(), usageCountsSchema);

/** A change to one configuration record by an operator. */
export const putSchema = z.object({
  type: z.literal('put'),
  key: z.string(),
  /**
   * Revision that the change is based on; 0 for a record that does not exist.
   */
  baseRevision: z.number().int().min(0),
  schemaVersion: z.number().int().min(1),
  body: z.unknown(),
  operator: z.string(),
});

/** A claim to the controller lease. */
export const leaseClaimSchema = z.object({
  type: z.literal('claim'),
  holder: z.string(),
  /**
   * Offset of the last lease record that the claimant has read; -1 if none. The
   * claim fails if another lease record took effect since.
   */
  expects: z.number().int().min(-1),
});

export const leaseRenewalSchema = z.object({
  type: z.literal('renew'),
  fencing: z.number().int().min(0),
});

export const leaseReleaseSchema = z.object({
  type: z.literal('release'),
  fencing: z.number().int().min(0),
});

/**
 * The final usage of a window. Only the first seal of a window in the log takes
 * effect.
 */
export const sealSchema = z.object({
  type: z.literal('seal'),
  window: z.number().int().min(0),
  fencing: z.number().int().min(0),
  figures: usageByAccountSchema,
  /** Epochs of the entries whose usage cells are included. */
  sources: z.array(z.string()),
  /**
   * Part of `figures` that belongs to earlier windows and was reported late.
   */
  late: z
    .array(
      usageCountsSchema.extend({
        window: z.number().int().min(0),
        account: z.string(),
      }),
    )
    .optional(),
});

/**
 * A copy of a record, written again before log retention removes the original.
 */
export const carriedRecordSchema = z.object({
  key: z.string(),
  revision: z.number().int().min(1),
  offset: z.number().int().min(0),
  schemaVersion: z.number().int().min(1),
  body: z.unknown(),
  operator: z.string(),
});

/** One step of the rollout of a weight version to all engines of a model. */
export const rolloutSchema = z.object({
  type: z.literal('rollout'),
  fencing: z.number().int().min(0),
  model: z.string(),
  version: z.number().int().min(1),
  phase: z.enum(['stage', 'activate']),
  /**
   * Highest wave whose agents activate the version; 0 while staging. Equal to
   * `waves` once the rollout is complete.
   */
  wave: z.number().int().min(0),
  /** Number of waves; the same in all records of a version. */
  waves: z.number().int().min(1),
});

/** The rollout of a model as decided by the log. */
export const rolloutStateSchema = rolloutSchema.omit({type: true}).extend({
  /**
   * Records that advanced this version, in log order. `wave` is -1 for staging.
   */
  steps: z.array(
    z.object({wave: z.number().int(), offset: z.number().int().min(0)}),
  ),
  /** Highest version of the model whose rollout is complete; 0 if none. */
  completed: z.number().int().min(0),
});

/**
 * Live state, written again before log retention removes the original records.
 */
export const checkpointSchema = z.object({
  type: z.literal('checkpoint'),
  fencing: z.number().int().min(0),
  asOf: z.number().int().min(-1),
  entries: z.array(carriedRecordSchema),
  lastSealed: z.number().int().min(-1),
  /**
   * Log offset at which the cycle began; only set in the last checkpoint of a
   * cycle.
   */
  cycleStart: z.number().int().min(0).optional(),
  /** Lease as of `asOf`, for readers of a truncated log. */
  lease: z
    .object({
      holder: z.string(),
      fencing: z.number().int(),
      lastOffset: z.number().int(),
      isReleased: z.boolean(),
    })
    .optional(),
  /** Newest rollout of each model as of `asOf`. */
  rollouts: z.array(rolloutStateSchema).optional(),
  /** Tombstones that are removed from the state when this record is applied. */
  dropped: z
    .array(z.object({key: z.string(), offset: z.number().int().min(0)}))
    .optional(),
});

/** The fingerprint of a request that crashes upstreams. */
export const quarantineSchema = z.object({
  type: z.literal('quarantine'),
  fingerprint: z.string(),
  reason: z.string(),
});

/** Payload of a record in the `control` stream. */
export const controlPayloadSchema = z.discriminatedUnion('type', [
  putSchema,
  leaseClaimSchema,
  leaseRenewalSchema,
  leaseReleaseSchema,
  sealSchema,
  checkpointSchema,
  quarantineSchema,
  rolloutSchema,
]);

export type UsageCounts = z.infer<typeof usageCountsSchema>;
export type UsageByAccount = z.infer<typeof usageByAccountSchema>;
export type Put = z.infer<typeof putSchema>;
export type Seal = z.infer<typeof sealSchema>;
export type Checkpoint = z.infer<typeof checkpointSchema>;
export type CarriedRecord = z.infer<typeof carriedRecordSchema>;
export type RolloutRecord = z.infer<typeof rolloutSchema>;
export type RolloutState = z.infer<typeof rolloutStateSchema>;
export type ControlPayload = z.infer<typeof controlPayloadSchema>;

/** A record as read from a stream of the log. */
export interface LogRecord {
  offset: number;
  appendId: string;
  payload: unknown;
}
