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
import type {ClientFactory} from './orderSender.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Age after which a load report is ignored, ms. */
export const LOAD_MAX_AGE_MS = 30_000;
/** Minimum interval between collections from the other entries, ms. */
const COLLECT_INTERVAL_MS = 5_000;
/**
 * Collection interval per entry, ms. Limits the lease holder to 20 calls per
 * second; a call takes about 900 bytes, including headers.
 */
const COLLECT_INTERVAL_PER_ENTRY_MS = 50;
/**
 * Number of collection intervals after which the last answer of an entry
 * expires.
 */
const EXPIRY_INTERVALS = 2.5;
const COLLECT_TIMEOUT_MS = 2_000;
const COLLECT_CONCURRENCY = 16;
const HASH_LENGTH = 12;

/**
 * Age of an agent's last report after which the entry omits the agent from its
 * answers, ms.
 */
const LISTED_MAX_AGE_MS = 15_000;
const FLAG_COLD = 1;
const FLAG_LEAVING = 2;

/**
 * `[upstream, version, epoch, limit, flags]`. These values change rarely, so
 * unchanged rows are not sent again.
 */
const rowSchema = z.tuple([
  z.string(),
  z.number(),
  z.string(),
  z.number(),
  z.number().int().min(0),
]);

const collectRequestSchema = z.object({
  /** Hash of the rows that the holder already has; '' if none. */
  known: z.string().default(''),
  /**
   * Ids of entries that did not answer; the next entry in order lists their
   * agents.
   */
  without: z.array(z.string()).default([]),
});

const collectAnswerSchema = z.object({
  hash: z.string(),
  /**
   * Number of running and waiting requests per row, in the order of the rows.
   */
  busy: z.array(z.number()),
  /** Absent if the holder already has the rows. */
  rows: z.array(rowSchema).optional(),
});

type Row = z.infer<typeof rowSchema>;
type CollectAnswer = z.infer<typeof collectAnswerSchema>;

/** Last answer of one entry. */
interface EntryLoads {
  hash: string;
  busy: number[];
  rows: Row[];
  receivedAt: MonotonicMs;
}

/** The newest known load of an agent. */
export interface AgentLoad {
  load: Load;
  isLeaving: boolean;
  lastSeenAt: MonotonicMs;
}

/** Loads of all agents, including those that report only to other entries. */
export interface AgentLoads extends Loop {
  /** Returns null if no entry received a recent report from the agent. */
  getLoad(upstream: string): AgentLoad | null;
  rpcMethods: RpcMethods;
}

/**
 * Creates the load collection. Only the lease holder collects from other
 * entries.
 */
export function createAgentLoads(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  createClient: ClientFactory,
): AgentLoads {
  const {clock} = context;
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});
  /** Keyed by the instance id of the entry. */
  let answersByEntry = new Map<string, EntryLoads>();
  let collectedLoads = new Map<string, AgentLoad>();
  let unresponsiveIds: string[] = [];
  const designatedEntries = createDesignatedEntries(
    context,
    membership.getPeers,
  );

  function getOwnLoad(upstream: string): AgentLoad | null {
    const agent = membership.getAgent(upstream);
    if (!agent?.load || agent.lastSeenAt === null) return null;
    const {load, isLeaving, lastSeenAt} = agent;
    return {load, isLeaving, lastSeenAt};
  }

  function getAnswer(
    state: ControlState,
    request: z.infer<typeof collectRequestSchema>,
  ): CollectAnswer {
    const isListed = designatedEntries.createDesignationCheck(request.without);
    const busy: number[] = [];
    const rows: Row[] = [];
    for (const {id: pool} of listRecords(state, 'pool')) {
      for (const member of membership.getPoolMembers(pool)) {
        const {instance, load, isLeaving, lastSeenAt} = member;
        if (!load || lastSeenAt === null || !isListed(instance.id)) continue;
        if (clock.now() - lastSeenAt > LISTED_MAX_AGE_MS) continue;
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
    const previous = answersByEntry.get(peer.id);
    const answer = await createClient(peer.peerAddress).call(
      'load.collect',
      {known: previous?.hash ?? '', without: unresponsiveIds},
      COLLECT_TIMEOUT_MS,
    );
    const parsed = collectAnswerSchema.safeParse(
      answer.ok ? answer.value : null,
    );
    if (!parsed.success) return false;
    const {hash, busy, rows} = parsed.data;
    answersByEntry.set(peer.id, {
      hash,
      busy,
      rows: rows ?? previous?.rows ?? [],
      receivedAt: clock.now(),
    });
    return true;
  }

  function applyRows(entry: EntryLoads): void {
    entry.rows.forEach(([upstream, version, epoch, limit, flags], position) => {
      // Running and waiting requests; both are reported as running.
      const busy = entry.busy[position];
      if (busy === undefined) return;
      const cold = (flags & FLAG_COLD) !== 0;
      collectedLoads.set(upstream, {
        load: {running: busy, limit, waiting: 0, epoch, version, cold},
        isLeaving: (flags & FLAG_LEAVING) !== 0,
        lastSeenAt: entry.receivedAt,
      });
    });
  }

  async function step(): Promise<MonotonicMs> {
    const peers = membership.getPeers();
    const intervalMs = Math.max(
      COLLECT_INTERVAL_MS,
      peers.length * COLLECT_INTERVAL_PER_ENTRY_MS,
    );
    const expiryMs = EXPIRY_INTERVALS * intervalMs;
    const next = getDeadline(clock.now(), intervalMs);
    // With so few entries every agent polls this one, so there is nothing to
    // collect.
    const hasAllReports = peers.length < ENTRIES_PER_AGENT;
    if (hasAllReports || !lease.getTenure()) {
      answersByEntry = new Map();
      collectedLoads = new Map();
      unresponsiveIds = [];
      return getDeadline(clock.now(), COLLECT_INTERVAL_MS);
    }
    const answered = await Promise.all(
      peers.map(peer => queue.add(() => collectFrom(peer))),
    );
    unresponsiveIds = peers.filter((_, i) => !answered[i]).map(peer => peer.id);
    const ids = new Set(peers.map(peer => peer.id));
    for (const [id, {receivedAt}] of answersByEntry) {
      const isOld = clock.now() - receivedAt > expiryMs;
      if (isOld || !ids.has(id)) answersByEntry.delete(id);
    }
    const sorted = [...answersByEntry.values()].sort(
      (a, b) => a.receivedAt - b.receivedAt,
    );
    // Rows are applied over the previous ones, so that an agent that moves from
    // one entry's list to another's is kept until its last rows expire.
    for (const entry of sorted) applyRows(entry);
    for (const [upstream, {lastSeenAt}] of collectedLoads) {
      if (clock.now() - lastSeenAt > expiryMs) collectedLoads.delete(upstream);
    }
    return next;
  }

  return {
    ...createLoop(context, 'agent-loads', step),
    getLoad: upstream => {
      const own = getOwnLoad(upstream);
      const isOwnRecent =
        own !== null && clock.now() - own.lastSeenAt <= LOAD_MAX_AGE_MS;
      const other = collectedLoads.get(upstream);
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
      'load.collect': defineMethod(collectRequestSchema, request =>
        getAnswer(control.getState(), request),
      ),
    },
  };
}
