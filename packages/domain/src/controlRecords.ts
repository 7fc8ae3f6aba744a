import {z} from 'zod';

/** Usage of one client account in a window. */
export const usageCountsSchema = z.object({
  requests: z.number().int().min(0),
  promptTokens: z.number().int().min(0),
  generatedTokens: z.number().int().min(0),
});

/** Figures by client account. */
export const usageByAccountSchema = z.record(z.string(), usageCountsSchema);

/** A change of one configuration record by an operator. */
export const putSchema = z.object({
  type: z.literal('put'),
  key: z.string(),
  /** Revision that the operator saw; 0 if there was no record. */
  baseRevision: z.number().int().min(0),
  schemaVersion: z.number().int().min(1),
  body: z.unknown(),
  operator: z.string(),
});

/** A claim of the controller lease. */
export const leaseClaimSchema = z.object({
  type: z.literal('claim'),
  holder: z.string(),
  /** Offset of the last lease record that the claimant saw, -1 if none. */
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

/** The final figures of a usage window; the first seal in the log counts. */
export const sealSchema = z.object({
  type: z.literal('seal'),
  window: z.number().int().min(0),
  fencing: z.number().int().min(0),
  figures: usageByAccountSchema,
  /** Entries whose cells are in the figures, as epochs. */
  sources: z.array(z.string()),
  /** Parts of `figures` that belong to earlier windows and arrived late. */
  late: z
    .array(
      usageCountsSchema.extend({
        window: z.number().int().min(0),
        account: z.string(),
      }),
    )
    .optional(),
});

/** One record carried forward so that retention does not remove it. */
export const carriedRecordSchema = z.object({
  key: z.string(),
  revision: z.number().int().min(1),
  offset: z.number().int().min(0),
  schemaVersion: z.number().int().min(1),
  body: z.unknown(),
  operator: z.string(),
});

/** One step of bringing a weight version to all engines of a model. */
export const rolloutSchema = z.object({
  type: z.literal('rollout'),
  fencing: z.number().int().min(0),
  model: z.string(),
  version: z.number().int().min(1),
  phase: z.enum(['stage', 'activate']),
  /**
   * Agents up to this wave activate; 0 while staging. A value of `waves` says
   * that the rollout is complete.
   */
  wave: z.number().int().min(0),
  /** Number of waves, the same in all records of a version. */
  waves: z.number().int().min(1),
});

/** The rollout of a model as the log decided it. */
export const rolloutStateSchema = rolloutSchema.omit({type: true}).extend({
  /** Offsets of the records that advanced this version, in order. */
  steps: z.array(
    z.object({wave: z.number().int(), offset: z.number().int().min(0)}),
  ),
  /** Highest version of the model whose rollout is complete, 0 if none. */
  completed: z.number().int().min(0),
});

/** Live state written again before retention removes it. */
export const checkpointSchema = z.object({
  type: z.literal('checkpoint'),
  fencing: z.number().int().min(0),
  asOf: z.number().int().min(-1),
  entries: z.array(carriedRecordSchema),
  lastSealed: z.number().int().min(-1),
  /** Set on the last record of a cycle: where the cycle began. */
  cycleStart: z.number().int().min(0).optional(),
  /** The lease as of `asOf`, for readers of a truncated log. */
  lease: z
    .object({
      holder: z.string(),
      fencing: z.number().int(),
      lastOffset: z.number().int(),
      isReleased: z.boolean(),
    })
    .optional(),
  /** The newest rollout of each model as of `asOf`. */
  rollouts: z.array(rolloutStateSchema).optional(),
  /** Tombstones that every process forgets at this record. */
  dropped: z
    .array(z.object({key: z.string(), offset: z.number().int().min(0)}))
    .optional(),
});

/** A request fingerprint that crashes upstreams. */
export const quarantineSchema = z.object({
  type: z.literal('quarantine'),
  fingerprint: z.string(),
  reason: z.string(),
});

/** Payloads of the `control` stream. */
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

/** One record as read from a stream of the log. */
export interface LogRecord {
  offset: number;
  appendId: string;
  payload: unknown;
}
