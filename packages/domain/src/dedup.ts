import {getRendezvousOrder} from '@vanillacross/common';
import {z} from 'zod';

/**
 * Agents that decide about one idempotency key: home, backup and a spare that
 * replaces one of them while it is unreachable. Two of three must agree, so
 * two runners always share an agent that knows of both.
 */
export const HOLDERS_PER_KEY = 3;

/** An answer that is kept for repeats of an idempotency key. */
export const storedResponseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Body in base64. */
  body: z.string(),
});

/** State of an idempotency key at one agent. */
export const idempotencyStateSchema = z.discriminatedUnion('tag', [
  /** This agent asks its partners; nothing has been sent upstream. */
  z.object({tag: z.literal('claiming')}),
  /** An agent has permission to run the request. */
  z.object({
    tag: z.literal('running'),
    runner: z.string(),
    runnerEpoch: z.string(),
    /** Counts the claims of the runner's process. */
    claimNumber: z.number().int(),
  }),
  /** The answer is complete; null if it was too large to keep. */
  z.object({tag: z.literal('done'), answer: storedResponseSchema.nullable()}),
  /** The request may have run and its answer is lost. */
  z.object({tag: z.literal('unknown')}),
]);

/** What an agent remembers of one idempotency key. */
export const idempotencyEntrySchema = z.object({
  /** Hash of method, path and body; '' if the entry sent none. */
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
  /** True to ask for the state only, without claiming. */
  isQuestion: z.boolean(),
});

/** Answer to `dedup.claim`. */
export const idempotencyClaimResponseSchema = z.object({
  epoch: z.string(),
  /** Says whether the agent knows all keys of the dedup window. */
  isInformed: z.boolean(),
  /** Number of holders of the key as the agent sees it. */
  holders: z.number().int(),
  answer: z.discriminatedUnion('tag', [
    z.object({tag: z.literal('granted')}),
    z.object({tag: z.literal('absent')}),
    /** The agent has no memory left, or holds no keys like this one. */
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
    /** The claimant has proof that nothing ran. */
    z.object({tag: z.literal('released'), claimNumber: z.number().int()}),
  ]),
});

/** Parameters of `dedup.sync`: an agent asks for the keys that it holds. */
export const idempotencySyncSchema = z.object({
  from: z.string(),
  members: z.array(z.string()).max(4_096),
  /** Position after which entries are wanted. */
  after: z.number().int().min(0),
});

/** Answer to `dedup.sync`, one page. */
export const idempotencySyncResponseSchema = z.object({
  isInformed: z.boolean(),
  /** Members that left within the dedup window. */
  removed: z.array(z.object({id: z.string(), leftMs: z.number()})),
  entries: z.array(
    z.object({
      key: z.string(),
      /** Time until the key is forgotten, ms. */
      leftMs: z.number(),
      entry: idempotencyEntrySchema,
    }),
  ),
  /** Position of the next page; null after the last. */
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

/** A value that is kept until a deadline. */
interface Kept<Value> {
  value: Value;
  deadline: number;
  /** Position of the last change, increasing. */
  sequence: number;
}

/**
 * A table of limited size whose entries are never dropped before their
 * deadline, because a forgotten entry could let a request run twice.
 */
export class ExpiringMap<Value> {
  private readonly kept = new Map<string, Kept<Value>>();
  private sequence = 0;
  /** No entry passes its deadline before, ms; avoids useless searches. */
  private nextDeadline = 0;

  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.kept.size;
  }

  /** The value of a key; null if absent or past its deadline. */
  get(key: string, nowMs: number): Value | null {
    const kept = this.kept.get(key);
    return kept && kept.deadline > nowMs ? kept.value : null;
  }

  /** Stores a value; false if the table is full of live entries. */
  set(key: string, value: Value, deadline: number, nowMs: number): boolean {
    const previous = this.kept.get(key);
    const isFull = !previous && this.kept.size >= this.capacity;
    if (isFull && nowMs >= this.nextDeadline) this.prune(nowMs);
    if (!previous && this.kept.size >= this.capacity) return false;
    this.kept.delete(key);
    this.nextDeadline = Math.min(this.nextDeadline, deadline);
    this.sequence += 1;
    this.kept.set(key, {value, deadline, sequence: this.sequence});
    return true;
  }

  delete(key: string): void {
    this.kept.delete(key);
  }

  /** Live entries changed after a position, in order of change. */
  *getEntries(
    after: number,
    nowMs: number,
  ): Generator<[key: string, kept: Readonly<Kept<Value>>]> {
    for (const [key, kept] of this.kept) {
      if (kept.sequence > after && kept.deadline > nowMs) yield [key, kept];
    }
  }

  /** Drops entries that are past their deadline. */
  prune(nowMs: number): void {
    this.nextDeadline = Infinity;
    for (const [key, kept] of this.kept) {
      if (kept.deadline <= nowMs) this.kept.delete(key);
      else this.nextDeadline = Math.min(this.nextDeadline, kept.deadline);
    }
  }
}

/** What an agent does with a request that carries an idempotency key. */
export type DedupDecision =
  | {tag: 'claim'}
  | {tag: 'reused'}
  | {tag: 'replay'; answer: StoredResponse}
  | {tag: 'unknown'}
  /** This agent runs it or is about to. */
  | {tag: 'wait'}
  /** Another agent has permission to run it. */
  | {tag: 'ask'; runner: string; runnerEpoch: string};

/** Says whether a key was used before for another request. */
export function isKeyReused(
  entry: IdempotencyEntry,
  fingerprint: string,
): boolean {
  if (entry.fingerprint === '' || fingerprint === '') return false;
  return entry.fingerprint !== fingerprint;
}

/** Decides on a request from what this agent knows of its key. */
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
      // An earlier process of this agent had the permission.
      return state.runnerEpoch === selfEpoch ? {tag: 'wait'} : {tag: 'unknown'};
    case 'done':
      if (state.answer === null) return {tag: 'unknown'};
      return {tag: 'replay', answer: state.answer};
    case 'unknown':
      return {tag: 'unknown'};
  }
}

/** What an agent does with a claim of another agent. */
export type IdempotencyClaimDecision =
  | {tag: 'grant'}
  | {tag: 'absent'}
  | {tag: 'known'; entry: IdempotencyEntry}
  /** The claimant lost its state while it had the permission. */
  | {tag: 'lost'};

/** Decides on a claim; `order` are the holders of the key, best first. */
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
    // Both ask each other at the same time: the better placed one runs.
    const isBetter = order.indexOf(claim.from) < order.indexOf(self);
    return isBetter ? {tag: 'grant'} : {tag: 'known', entry};
  }
  if (state.tag === 'running' && state.runner === claim.from) {
    const isSame = state.runnerEpoch === claim.fromEpoch;
    if (!isSame) return {tag: 'lost'};
    // A late claim must not take the place of a newer one.
    const isNewer = claim.claimNumber >= state.claimNumber;
    return isNewer ? {tag: 'grant'} : {tag: 'known', entry};
  }
  return {tag: 'known', entry};
}

/** Holders of a key, best first; `members` includes ones removed recently. */
export function getKeyHolders(
  key: string,
  members: readonly string[],
): string[] {
  return getRendezvousOrder(key, members).slice(0, HOLDERS_PER_KEY);
}

/**
 * Says whether a claim has enough grants. `agreeing` tells for the claimant
 * and each holder that granted whether it is informed. Every earlier run had
 * the agreement of two of three holders, so two informed ones include one
 * that knows of it; of two holders both agreed, so one informed is enough.
 */
export function checkQuorum(
  holders: number,
  agreeing: readonly boolean[],
): 'yes' | 'too_few' | 'uninformed' {
  const wanted = Math.min(2, holders);
  if (agreeing.length < wanted) return 'too_few';
  const informed = agreeing.filter(isInformed => isInformed).length;
  const wantedInformed = holders >= HOLDERS_PER_KEY ? 2 : 1;
  return informed >= wantedInformed ? 'yes' : 'uninformed';
}

/** Ranks states by how much they say about the outcome. */
const STATE_RANK: Record<IdempotencyState['tag'], number> = {
  claiming: 0,
  running: 1,
  unknown: 2,
  done: 3,
};

/** Merges what a partner knows into what this agent knows. */
export function mergeIdempotencyEntry(
  local: IdempotencyEntry | null,
  remote: IdempotencyEntry,
): IdempotencyEntry | null {
  if (remote.state.tag === 'claiming') return local;
  if (!local) return remote;
  const isMore = STATE_RANK[remote.state.tag] > STATE_RANK[local.state.tag];
  return isMore ? remote : local;
}
