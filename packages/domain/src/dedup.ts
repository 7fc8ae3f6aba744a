import {getRendezvousOrder} from '@vanillacross/common';
import {z} from 'zod';

/**
 * Agents that decide about one idempotency key: home, backup and a spare that
 * replaces one of them while it is unreachable. Two of three must agree, so
 * two runners always share an agent that knows of both.
 */
export const KEY_HOLDERS = 3;

/** An answer that is kept for repeats of an idempotency key. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Body in base64. */
  body: z.string(),
});

/** State of an idempotency key at one agent. */
export const keyStateSchema = z.discriminatedUnion('tag', [
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
  z.object({tag: z.literal('done'), answer: storedAnswerSchema.nullable()}),
  /** The request may have run and its answer is lost. */
  z.object({tag: z.literal('unknown')}),
]);

/** What an agent remembers of one idempotency key. */
export const keyEntrySchema = z.object({
  /** Hash of method, path and body; '' if the entry sent none. */
  fingerprint: z.string(),
  state: keyStateSchema,
});

/** Parameters of `dedup.claim`. */
export const claimKeySchema = z.object({
  key: z.string().min(1).max(128),
  fingerprint: z.string().max(128),
  from: z.string(),
  fromEpoch: z.string(),
  claimNumber: z.number().int(),
  /** True to ask for the state only, without claiming. */
  isQuestion: z.boolean(),
});

/** Answer to `dedup.claim`. */
export const claimAnswerSchema = z.object({
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
    z.object({tag: z.literal('known'), entry: keyEntrySchema}),
  ]),
});

/** Parameters of `dedup.complete`. */
export const completeKeySchema = z.object({
  key: z.string().min(1).max(128),
  from: z.string(),
  fromEpoch: z.string(),
  fingerprint: z.string().max(128),
  outcome: z.discriminatedUnion('tag', [
    z.object({tag: z.literal('done'), answer: storedAnswerSchema.nullable()}),
    z.object({tag: z.literal('unknown')}),
    /** The claimant has proof that nothing ran. */
    z.object({tag: z.literal('released'), claimNumber: z.number().int()}),
  ]),
});

/** Parameters of `dedup.sync`: an agent asks for the keys that it holds. */
export const syncKeysSchema = z.object({
  from: z.string(),
  members: z.array(z.string()).max(4_096),
  /** Position after which entries are wanted. */
  after: z.number().int().min(0),
});

/** Answer to `dedup.sync`, one page. */
export const syncAnswerSchema = z.object({
  isInformed: z.boolean(),
  /** Members that left within the dedup window. */
  removed: z.array(z.object({id: z.string(), leftMs: z.number()})),
  entries: z.array(
    z.object({
      key: z.string(),
      /** Time until the key is forgotten, ms. */
      leftMs: z.number(),
      entry: keyEntrySchema,
    }),
  ),
  /** Position of the next page; null after the last. */
  next: z.number().int().nullable(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
export type KeyState = z.infer<typeof keyStateSchema>;
export type KeyEntry = z.infer<typeof keyEntrySchema>;
export type KeyClaim = z.infer<typeof claimKeySchema>;
export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type KeyCompletion = z.infer<typeof completeKeySchema>;
export type KeyOutcome = KeyCompletion['outcome'];
export type KeySync = z.infer<typeof syncKeysSchema>;
export type KeySyncAnswer = z.infer<typeof syncAnswerSchema>;

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
export class DeadlineTable<Value> {
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
export type RepeatDecision =
  | {tag: 'claim'}
  | {tag: 'reused'}
  | {tag: 'replay'; answer: StoredAnswer}
  | {tag: 'unknown'}
  /** This agent runs it or is about to. */
  | {tag: 'wait'}
  /** Another agent has permission to run it. */
  | {tag: 'ask'; runner: string; runnerEpoch: string};

/** Says whether a key was used before for another request. */
export function isReused(entry: KeyEntry, fingerprint: string): boolean {
  if (entry.fingerprint === '' || fingerprint === '') return false;
  return entry.fingerprint !== fingerprint;
}

/** Decides on a request from what this agent knows of its key. */
export function decideRepeat(
  entry: KeyEntry | null,
  fingerprint: string,
  self: string,
  selfEpoch: string,
): RepeatDecision {
  if (!entry) return {tag: 'claim'};
  if (isReused(entry, fingerprint)) return {tag: 'reused'};
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
export type ClaimDecision =
  | {tag: 'grant'}
  | {tag: 'absent'}
  | {tag: 'known'; entry: KeyEntry}
  /** The claimant lost its state while it had the permission. */
  | {tag: 'lost'};

/** Decides on a claim; `order` are the holders of the key, best first. */
export function decideClaim(
  entry: KeyEntry | null,
  claim: KeyClaim,
  self: string,
  order: readonly string[],
): ClaimDecision {
  if (!entry) return claim.isQuestion ? {tag: 'absent'} : {tag: 'grant'};
  const {state} = entry;
  if (claim.isQuestion || isReused(entry, claim.fingerprint)) {
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
  return getRendezvousOrder(key, members).slice(0, KEY_HOLDERS);
}

/**
 * Says whether a claim has enough grants. `agreeing` tells for the claimant
 * and each holder that granted whether it is informed. Every earlier run had
 * the agreement of two of three holders, so two informed ones include one
 * that knows of it; of two holders both agreed, so one informed is enough.
 */
export function hasAgreement(
  holders: number,
  agreeing: readonly boolean[],
): 'yes' | 'too_few' | 'uninformed' {
  const wanted = Math.min(2, holders);
  if (agreeing.length < wanted) return 'too_few';
  const informed = agreeing.filter(isInformed => isInformed).length;
  const wantedInformed = holders >= KEY_HOLDERS ? 2 : 1;
  return informed >= wantedInformed ? 'yes' : 'uninformed';
}

/** Ranks states by how much they say about the outcome. */
const STATE_RANK: Record<KeyState['tag'], number> = {
  claiming: 0,
  running: 1,
  unknown: 2,
  done: 3,
};

/** Merges what a partner knows into what this agent knows. */
export function mergeEntry(
  local: KeyEntry | null,
  remote: KeyEntry,
): KeyEntry | null {
  if (remote.state.tag === 'claiming') return local;
  if (!local) return remote;
  const isMore = STATE_RANK[remote.state.tag] > STATE_RANK[local.state.tag];
  return isMore ? remote : local;
}
