import {getRendezvousOrder} from '@vanillacross/common';
import {z} from 'zod';

/**
 * Number of agents that store the state of one idempotency key: a primary, a
 * backup, and a spare that takes over while one of the others is unreachable.
 * Two of the three must agree, so any two runs share an agent that knows of
 * both.
 */
export const HOLDERS_PER_KEY = 3;

/**
 * A response that is kept for repeated requests with the same idempotency key.
 */
export const storedResponseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Body in base64. */
  body: z.string(),
});

/** Progress of a request with an idempotency key, as known to one agent. */
export const idempotencyStateSchema = z.discriminatedUnion('tag', [
  /**
   * This agent is claiming the key at its other holders; nothing has been sent
   * upstream.
   */
  z.object({tag: z.literal('claiming')}),
  /** An agent has been granted permission to run the request. */
  z.object({
    tag: z.literal('running'),
    runner: z.string(),
    runnerEpoch: z.string(),
    /** Sequence number among the claims of the runner's process. */
    claimNumber: z.number().int(),
  }),
  /** The response is complete; null if it was too large to keep. */
  z.object({tag: z.literal('done'), answer: storedResponseSchema.nullable()}),
  /** The request may have run, but its response is lost. */
  z.object({tag: z.literal('unknown')}),
]);

/** What an agent stores for one idempotency key. */
export const idempotencyEntrySchema = z.object({
  /** Hash of method, path and body; empty if the entry sent none. */
  fingerprint: z.string(),
  state: idempotencyStateSchema,
});

/** Parameters of `dedup.claim`. */
export const idempotencyClaimSchema = z.object({
  key: z.string().min(1).max(128),
  fingerprint: z.string().max(128),
  from: z.string(),
  fromEpoch: z.string(),
  claimNumber: z.number().int(),
  /** True to read the state without claiming the key. */
  isQuestion: z.boolean(),
});

/** Response to `dedup.claim`. */
export const idempotencyClaimResponseSchema = z.object({
  epoch: z.string(),
  /** True if the agent knows all keys used within the dedup window. */
  isInformed: z.boolean(),
  /** Number of holders of the key according to the agent. */
  holders: z.number().int(),
  answer: z.discriminatedUnion('tag', [
    z.object({tag: z.literal('granted')}),
    z.object({tag: z.literal('absent')}),
    /**
     * The agent's key table is full, or the agent or the claimant is not a
     * holder of the key.
     */
    z.object({tag: z.literal('declined')}),
    z.object({tag: z.literal('known'), entry: idempotencyEntrySchema}),
  ]),
});

/** Parameters of `dedup.complete`. */
export const idempotencyCompletionSchema = z.object({
  key: z.string().min(1).max(128),
  from: z.string(),
  fromEpoch: z.string(),
  fingerprint: z.string().max(128),
  outcome: z.discriminatedUnion('tag', [
    z.object({tag: z.literal('done'), answer: storedResponseSchema.nullable()}),
    z.object({tag: z.literal('unknown')}),
    /** The claimant knows that nothing was run. */
    z.object({tag: z.literal('released'), claimNumber: z.number().int()}),
  ]),
});

/**
 * Parameters of `dedup.sync`, with which an agent fetches the keys that it has
 * to hold.
 */
export const idempotencySyncSchema = z.object({
  from: z.string(),
  members: z.array(z.string()).max(4_096),
  /** Only entries after this position are returned. */
  after: z.number().int().min(0),
});

/** Response to `dedup.sync`: one page of entries. */
export const idempotencySyncResponseSchema = z.object({
  isInformed: z.boolean(),
  /**
   * Members that left within the dedup window, and members that the request
   * does not list.
   */
  removed: z.array(
    z.object({
      id: z.string(),
      /** Time for which the member still counts when holders are chosen, ms. */
      leftMs: z.number(),
    }),
  ),
  entries: z.array(
    z.object({
      key: z.string(),
      /** Time until the entry expires, ms. */
      leftMs: z.number(),
      entry: idempotencyEntrySchema,
    }),
  ),
  /** Position of the next page; null on the last page. */
  next: z.number().int().nullable(),
});

export type StoredResponse = z.infer<typeof storedResponseSchema>;
export type IdempotencyState = z.infer<typeof idempotencyStateSchema>;
export type IdempotencyEntry = z.infer<typeof idempotencyEntrySchema>;
export type IdempotencyClaim = z.infer<typeof idempotencyClaimSchema>;
export type IdempotencyClaimResponse = z.infer<
  typeof idempotencyClaimResponseSchema
>;
export type IdempotencyCompletion = z.infer<typeof idempotencyCompletionSchema>;
export type IdempotencyOutcome = IdempotencyCompletion['outcome'];
export type IdempotencySync = z.infer<typeof idempotencySyncSchema>;
export type IdempotencySyncResponse = z.infer<
  typeof idempotencySyncResponseSchema
>;

/** A value with its expiry. */
interface ExpiringEntry<Value> {
  value: Value;
  deadline: number;
  /** Sequence number of the last change; increasing. */
  sequence: number;
}

/**
 * A map of limited size that never evicts an entry before its deadline:
 * evicting an idempotency key too early could let a request run twice.
 */
export class ExpiringMap<Value> {
  private readonly entries = new Map<string, ExpiringEntry<Value>>();
  private sequence = 0;
  /**
   * Lower bound for the next expiry, ms. Avoids scans that would find no
   * expired entry.
   */
  private nextDeadline = 0;

  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** Returns the value of a key; null if it is absent or expired. */
  get(key: string, nowMs: number): Value | null {
    const entry = this.entries.get(key);
    return entry && entry.deadline > nowMs ? entry.value : null;
  }

  /** Stores a value; returns false if the map is full of live entries. */
  set(key: string, value: Value, deadline: number, nowMs: number): boolean {
    const previous = this.entries.get(key);
    const isFull = !previous && this.entries.size >= this.capacity;
    if (isFull && nowMs >= this.nextDeadline) this.prune(nowMs);
    if (!previous && this.entries.size >= this.capacity) return false;
    this.entries.delete(key);
    this.nextDeadline = Math.min(this.nextDeadline, deadline);
    this.sequence += 1;
    this.entries.set(key, {value, deadline, sequence: this.sequence});
    return true;
  }

  delete(key: string): void {
    this.entries.delete(key);
  }

  /**
   * Iterates over the live entries changed after a sequence number, in order of
   * change.
   */
  *getEntries(
    after: number,
    nowMs: number,
  ): Generator<[key: string, entry: Readonly<ExpiringEntry<Value>>]> {
    for (const [key, entry] of this.entries) {
      if (entry.sequence > after && entry.deadline > nowMs) yield [key, entry];
    }
  }

  prune(nowMs: number): void {
    this.nextDeadline = Infinity;
    for (const [key, entry] of this.entries) {
      if (entry.deadline <= nowMs) this.entries.delete(key);
      else this.nextDeadline = Math.min(this.nextDeadline, entry.deadline);
    }
  }
}

/** How an agent handles a request that carries an idempotency key. */
export type DedupDecision =
  | {tag: 'claim'}
  | {tag: 'reused'}
  | {tag: 'replay'; answer: StoredResponse}
  | {tag: 'unknown'}
  /** This agent runs the request or is claiming its key. */
  | {tag: 'wait'}
  /** Another agent has permission to run the request. */
  | {tag: 'ask'; runner: string; runnerEpoch: string};

/**
 * Returns whether the key was used before for a different request. An unknown
 * fingerprint matches any request.
 */
export function isKeyReused(
  entry: IdempotencyEntry,
  fingerprint: string,
): boolean {
  if (entry.fingerprint === '' || fingerprint === '') return false;
  return entry.fingerprint !== fingerprint;
}

/**
 * Decides how to handle a request with an idempotency key, based on the local
 * state of the key.
 */
export function decideKeyedRequest(
  entry: IdempotencyEntry | null,
  fingerprint: string,
  self: string,
  selfEpoch: string,
): DedupDecision {
  if (!entry) return {tag: 'claim'};
  if (isKeyReused(entry, fingerprint)) return {tag: 'reused'};
  const {state} = entry;
  switch (state.tag) {
    case 'claiming':
      return {tag: 'wait'};
    case 'running':
      if (state.runner !== self) return {...state, tag: 'ask'};
      // An earlier process of this agent had the permission, and the outcome of
      // its run is lost.
      return state.runnerEpoch === selfEpoch ? {tag: 'wait'} : {tag: 'unknown'};
    case 'done':
      if (state.answer === null) return {tag: 'unknown'};
      return {tag: 'replay', answer: state.answer};
    case 'unknown':
      return {tag: 'unknown'};
  }
}

/** How an agent responds to a claim of another agent. */
export type IdempotencyClaimDecision =
  | {tag: 'grant'}
  | {tag: 'absent'}
  | {tag: 'known'; entry: IdempotencyEntry}
  /** The claimant was restarted while it had permission and lost its state. */
  | {tag: 'lost'};

/**
 * Decides on a claim of another agent.
 * @param order Holders of the key in order of precedence.
 */
export function decideIdempotencyClaim(
  entry: IdempotencyEntry | null,
  claim: IdempotencyClaim,
  self: string,
  order: readonly string[],
): IdempotencyClaimDecision {
  if (!entry) return claim.isQuestion ? {tag: 'absent'} : {tag: 'grant'};
  const {state} = entry;
  if (claim.isQuestion || isKeyReused(entry, claim.fingerprint)) {
    return {tag: 'known', entry};
  }
  if (state.tag === 'claiming') {
    // Both agents claim the key at the same time; the one with precedence runs
    // the request.
    const hasPrecedence = order.indexOf(claim.from) < order.indexOf(self);
    return hasPrecedence ? {tag: 'grant'} : {tag: 'known', entry};
  }
  if (state.tag === 'running' && state.runner === claim.from) {
    const isSameProcess = state.runnerEpoch === claim.fromEpoch;
    if (!isSameProcess) return {tag: 'lost'};
    // A delayed claim must not replace a newer one.
    const isNewer = claim.claimNumber >= state.claimNumber;
    return isNewer ? {tag: 'grant'} : {tag: 'known', entry};
  }
  return {tag: 'known', entry};
}

/**
 * Returns the holders of a key in order of precedence. `members` includes
 * recently removed ones.
 */
export function getKeyHolders(
  key: string,
  members: readonly string[],
): string[] {
  return getRendezvousOrder(key, members).slice(0, HOLDERS_PER_KEY);
}

/**
 * Checks whether a claim has enough grants to run the request. `informedFlags`
 * has one element for the claimant and one for each holder that granted the
 * claim; an element is true if that agent is informed, that is, knows all keys
 * used within the dedup window. With three holders, two had to agree to every
 * earlier run, so any two informed holders include one that knows of that run.
 * With two holders, both had to agree, so one informed holder is enough.
 */
export function checkQuorum(
  holders: number,
  informedFlags: readonly boolean[],
): 'yes' | 'too_few' | 'uninformed' {
  const requiredGrants = Math.min(2, holders);
  if (informedFlags.length < requiredGrants) return 'too_few';
  const informed = informedFlags.filter(isInformed => isInformed).length;
  const requiredInformed = holders >= HOLDERS_PER_KEY ? 2 : 1;
  return informed >= requiredInformed ? 'yes' : 'uninformed';
}

/**
 * Rank of each state; one with a higher rank is more definite about the outcome
 * of the request.
 */
const STATE_RANK: Record<IdempotencyState['tag'], number> = {
  claiming: 0,
  running: 1,
  unknown: 2,
  done: 3,
};

/** Merges the state known to another holder into the local state. */
export function mergeIdempotencyEntry(
  local: IdempotencyEntry | null,
  remote: IdempotencyEntry,
): IdempotencyEntry | null {
  if (remote.state.tag === 'claiming') return local;
  if (!local) return remote;
  const isMoreDefinite =
    STATE_RANK[remote.state.tag] > STATE_RANK[local.state.tag];
  return isMoreDefinite ? remote : local;
}
