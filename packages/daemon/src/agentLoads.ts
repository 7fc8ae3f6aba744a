import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline, getSha256} from '@vanillacross/common';
import type {ControlState, Instance, Load} from '@vanillacross/domain';
import {ENTRIES_PER_AGENT, listRecords} from '@vanillacross/domain';
import PQueue from 'p-queue';
import {z} from 'zod';

import {createDesignatedEntries} from './designatedEntries.js';
import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {ClientFactory} from './orderTask.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Age after which a load report no longer counts, ms. */
export const LOAD_MAX_AGE_MS = 30_000;
/** Shortest interval of collection from the other entries, ms. */
const COLLECT_INTERVAL_MS = 5_000;
/**
 * Collection interval per entry: a call takes about 900 bytes with all
 * headers, and 20 calls a second fit the budget of a node, ms.
 */
const INTERVAL_PER_ENTRY_MS = 50;
/** Collections after which what an entry listed last is dropped. */
const KEPT_INTERVALS = 2.5;
const COLLECT_TIMEOUT_MS = 2_000;
const COLLECT_CONCURRENCY = 16;
const HASH_LENGTH = 12;

/** Age after which an entry no longer lists an agent, ms. */
const LISTED_MAX_AGE_MS = 15_000;
const FLAG_COLD = 1;
const FLAG_LEAVING = 2;

/** `[upstream, version, epoch, limit, flags]`; seldom changes. */
const rowSchema = z.tuple([
  z.string(),
  z.number(),
  z.string(),
  z.number(),
  z.number().int().min(0),
]);

const collectSchema = z.object({
  /** Hash of the rows that the holder has; '' if none. */
  known: z.string().default(''),
  /** Entries that did not answer; the next in order list their agents. */
  without: z.array(z.string()).default([]),
});

const answerSchema = z.object({
  hash: z.string(),
  /** Requests that run or wait, in the order of the rows. */
  busy: z.array(z.number()),
  /** Absent if the holder has them. */
  rows: z.array(rowSchema).optional(),
});

type Row = z.infer<typeof rowSchema>;
type Answer = z.infer<typeof answerSchema>;

/** What one entry listed last. */
interface EntryLoads {
  hash: string;
  busy: number[];
  rows: Row[];
  heardAt: MonotonicMs;
}

/** The newest known load of an agent. */
export interface AgentLoad {
  load: Load;
  isLeaving: boolean;
  lastSeenAt: MonotonicMs;
}

/** Loads of all agents, also those that only other entries hear. */
export interface AgentLoads extends Loop {
  /** Null if no entry heard the agent recently. */
  getLoad(upstream: string): AgentLoad | null;
  rpcMethods: RpcMethods;
}

/** Creates the collection; only the lease holder collects. */
export function createAgentLoads(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  createClient: ClientFactory,
): AgentLoads {
  const {clock} = context;
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});
  /** By the entry's instance id. */
  let collected = new Map<string, EntryLoads>();
  let newest = new Map<string, AgentLoad>();
  let silent: string[] = [];
  const firsts = createDesignatedEntries(context, membership.getPeers);

  function getOwn(upstream: string): AgentLoad | null {
    const agent = membership.getAgent(upstream);
    if (!agent?.load || agent.lastSeenAt === null) return null;
    const {load, isLeaving, lastSeenAt: heardAt} = agent;
    return {load, isLeaving, lastSeenAt: heardAt};
  }

  function getAnswer(
    state: ControlState,
    request: z.infer<typeof collectSchema>,
  ): Answer {
    const isFirst = firsts.createDesignationCheck(request.without);
    const busy: number[] = [];
    const rows: Row[] = [];
    for (const {id: pool} of listRecords(state, 'pool')) {
      for (const member of membership.getPoolMembers(pool)) {
        const {instance, load, isLeaving, lastSeenAt: heardAt} = member;
        if (!load || heardAt === null || !isFirst(instance.id)) continue;
        if (clock.now() - heardAt > LISTED_MAX_AGE_MS) continue;
        busy.push(load.running + load.waiting);
        rows.push([
          instance.upstream.id,
          load.version,
          load.epoch,
          load.limit,
          (load.cold ? FLAG_COLD : 0) + (isLeaving ? FLAG_LEAVING : 0),
        ]);
      }
    }
    const hash = getSha256(JSON.stringify(rows)).slice(0, HASH_LENGTH);
    return {hash, busy, ...(hash === request.known ? {} : {rows})};
  }

  async function collectFrom(peer: Instance): Promise<boolean> {
    const known = collected.get(peer.id);
    const answer = await createClient(peer.peerAddress).call(
      'load.collect',
      {known: known?.hash ?? '', without: silent},
      COLLECT_TIMEOUT_MS,
    );
    const parsed = answerSchema.safeParse(answer.ok ? answer.value : null);
    if (!parsed.success) return false;
    const {hash, busy, rows} = parsed.data;
    collected.set(peer.id, {
      hash,
      busy,
      rows: rows ?? known?.rows ?? [],
      heardAt: clock.now(),
    });
    return true;
  }

  function noteRows(entry: EntryLoads): void {
    entry.rows.forEach(([upstream, version, epoch, limit, flags], position) => {
      const running = entry.busy[position];
      if (running === undefined) return;
      const cold = (flags & FLAG_COLD) !== 0;
      newest.set(upstream, {
        load: {running, limit, waiting: 0, epoch, version, cold},
        isLeaving: (flags & FLAG_LEAVING) !== 0,
        lastSeenAt: entry.heardAt,
      });
    });
  }

  async function step(): Promise<MonotonicMs> {
    const peers = membership.getPeers();
    const intervalMs = Math.max(
      COLLECT_INTERVAL_MS,
      peers.length * INTERVAL_PER_ENTRY_MS,
    );
    const keptMs = KEPT_INTERVALS * intervalMs;
    const next = getDeadline(clock.now(), intervalMs);
    // With so few entries every agent polls this one.
    const isComplete = peers.length < ENTRIES_PER_AGENT;
    if (isComplete || !lease.getTenure()) {
      collected = new Map();
      newest = new Map();
      silent = [];
      return getDeadline(clock.now(), COLLECT_INTERVAL_MS);
    }
    const answered = await Promise.all(
      peers.map(peer => queue.add(() => collectFrom(peer))),
    );
    silent = peers.filter((_, i) => !answered[i]).map(peer => peer.id);
    const ids = new Set(peers.map(peer => peer.id));
    for (const [id, {heardAt}] of collected) {
      const isOld = clock.now() - heardAt > keptMs;
      if (isOld || !ids.has(id)) collected.delete(id);
    }
    const sorted = [...collected.values()].sort(
      (a, b) => a.heardAt - b.heardAt,
    );
    // Agents that move from one entry's list to another's stay for a while.
    for (const entry of sorted) noteRows(entry);
    for (const [upstream, {lastSeenAt: heardAt}] of newest) {
      if (clock.now() - heardAt > keptMs) newest.delete(upstream);
    }
    return next;
  }

  return {
    ...createLoop(context, 'agent-loads', step),
    getLoad: upstream => {
      const own = getOwn(upstream);
      const isOwnRecent =
        own !== null && clock.now() - own.lastSeenAt <= LOAD_MAX_AGE_MS;
      const other = newest.get(upstream);
      if (
        own &&
        isOwnRecent &&
        (!other || own.lastSeenAt >= other.lastSeenAt)
      ) {
        return own;
      }
      return other ?? (isOwnRecent ? own : null);
    },
    rpcMethods: {
      'load.collect': defineMethod(collectSchema, request =>
        getAnswer(control.getState(), request),
      ),
    },
  };
}
