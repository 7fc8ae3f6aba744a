import type {RpcMethods} from '@vanillacross/common';
import {defineMethod, getSha256} from '@vanillacross/common';
import type {
  EntryTotals,
  Instance,
  MissedEnd,
  OrphanRows,
  UsageCell,
} from '@vanillacross/domain';
import {
  EntryUsage,
  UsageWindows,
  decodeUsageRows,
  entryTotalsSchema,
  getShortHash,
  orphanRowsSchema,
} from '@vanillacross/domain';
import PQueue from 'p-queue';
import type {ZodType} from 'zod';
import {z} from 'zod';

import type {ClientFactory} from './orderSender.js';
import type {Context, ControlFollower, Membership} from './types.js';

const COLLECT_TIMEOUT_MS = 5_000;
const COLLECT_CONCURRENCY = 16;
/** Lists of live epochs that an entry remembers, newest last. */
const MAX_LIVE_LISTS = 4;

/** Hash of what the collector has of a window, by window. */
const knownSchema = z.record(z.string(), z.string());
const collectSchema = z.object({window: z.number().int(), known: knownSchema});
const collectAnswerSchema = z.object({
  entryEpoch: z.string(),
  windows: z.array(entryTotalsSchema),
});
const orphansSchema = z.object({
  window: z.number().int(),
  /** Names the list of live epochs, which seldom changes. */
  liveId: z.string(),
  /** Short hashes of the live epochs; absent if the entry should have them. */
  live: z.array(z.string()).optional(),
  links: z.array(z.string()),
  known: knownSchema,
});
const orphansAnswerSchema = z.object({
  /** False if the entry does not have the list of live epochs. */
  isKnown: z.boolean(),
  windows: z.array(orphanRowsSchema),
});

type Known = z.infer<typeof knownSchema>;
type OrphansRequest = z.infer<typeof orphansSchema>;
type OrphansAnswer = z.infer<typeof orphansAnswerSchema>;

/** Outcome of one collection. */
export interface CollectionResult {
  /** Epochs of the entries that answered, this one included. */
  sources: string[];
  isComplete: boolean;
}

/** Collects the usage of all entries; keeps what it has got. */
export interface UsageCollector {
  windows: UsageWindows;
  collect(window: number): Promise<CollectionResult>;
}

/** Usage that this entry counted or got from its agents. */
export interface UsageCollection {
  /** Takes cells that an agent handed over. */
  addAgentCells(cells: readonly UsageCell[]): void;
  createCollector(): UsageCollector;
  rpcMethods: RpcMethods;
}

/** Where the usage of the own links comes from. */
export interface LocalUsageSource {
  getUsageCells: () => readonly UsageCell[];
  getMissedEnds?: () => readonly MissedEnd[];
}

/** What a collector has from one entry. */
interface EntryProgress {
  totals: Known;
  orphans: Known;
  /** The list of live epochs that the entry has; '' if none. */
  liveId: string;
}

export function createUsageCollection(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  createClient: ClientFactory,
  own: LocalUsageSource,
): UsageCollection {
  const {metrics, epoch} = context;
  const logger = context.logger.child('usage');
  const usage = new EntryUsage(epoch);
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});
  const liveLists = new Map<string, ReadonlySet<string>>();

  function countDropped(dropped: number): void {
    if (dropped > 0) metrics.count('vc_usage_cells_dropped', {}, dropped);
  }

  function noteOwn(): void {
    const missed = own.getMissedEnds?.() ?? [];
    countDropped(usage.mergeOwnCells(own.getUsageCells(), missed));
    usage.prune(control.getState().lastSealed);
  }

  /**
   * This entry is the authority for its own links while it is alive, so it
   * answers with sums instead of cells.
   */
  function getTotals(window: number, known: Known): EntryTotals[] {
    noteOwn();
    return usage.getTotals(window, known);
  }

  function getLive(liveId: string, live?: readonly string[]) {
    const kept = live ? new Set(live) : liveLists.get(liveId);
    if (!kept) return null;
    liveLists.delete(liveId);
    liveLists.set(liveId, kept);
    for (const oldest of liveLists.keys()) {
      if (liveLists.size <= MAX_LIVE_LISTS) break;
      liveLists.delete(oldest);
    }
    return kept;
  }

  function getOrphans(request: OrphansRequest): OrphansAnswer {
    const {window, liveId, links, known} = request;
    const live = getLive(liveId, request.live);
    if (!live) return {isKnown: false, windows: []};
    const windows = usage.getOrphans(window, live, new Set(links), known);
    return {isKnown: true, windows};
  }

  async function call<Answer>(
    peer: Instance,
    method: string,
    params: unknown,
    schema: ZodType<Answer>,
  ): Promise<Answer | null> {
    const answer = await queue.add(() =>
      createClient(peer.peerAddress).call(method, params, COLLECT_TIMEOUT_MS),
    );
    const parsed = schema.safeParse(answer?.ok ? answer.value : null);
    if (parsed.success) return parsed.data;
    logger.warn('entry did not answer', {entry: peer.id, method});
    return null;
  }

  function createCollector(): UsageCollector {
    const windows = new UsageWindows();
    const progresses = new Map<string, EntryProgress>();

    function getProgress(peer: Instance): EntryProgress {
      const known = progresses.get(peer.peerAddress);
      if (known) return known;
      const fresh = {totals: {}, orphans: {}, liveId: ''};
      progresses.set(peer.peerAddress, fresh);
      return fresh;
    }

    /** Forgets entries that are gone and windows that are not kept. */
    function prune(peers: readonly Instance[]): void {
      const addresses = new Set(peers.map(peer => peer.peerAddress));
      const oldest = windows.getWindows()[0] ?? 0;
      for (const [address, progress] of progresses) {
        if (!addresses.has(address)) progresses.delete(address);
        for (const known of [progress.totals, progress.orphans]) {
          for (const window of Object.keys(known)) {
            if (Number(window) < oldest) delete known[window];
          }
        }
      }
    }

    function noteTotals(
      entryEpoch: string,
      items: readonly EntryTotals[],
      known: Known,
    ): void {
      for (const item of items) {
        const dropped = windows.setEntryTotals(entryEpoch, item);
        countDropped(dropped);
        // What was dropped is asked for again.
        if (dropped === 0) known[item.window] = item.hash;
      }
    }

    function noteOrphans(items: readonly OrphanRows[], known: Known): void {
      for (const {window, hash, cells} of items) {
        const dropped = windows.merge(decodeUsageRows(window, cells));
        countDropped(dropped);
        if (dropped === 0) known[window] = hash;
      }
    }

    async function collectTotals(peer: Instance, window: number) {
      const progress = getProgress(peer);
      const answer = await call(
        peer,
        'usage.collect',
        {window, known: progress.totals},
        collectAnswerSchema,
      );
      if (!answer) return null;
      noteTotals(answer.entryEpoch, answer.windows, progress.totals);
      return {peer, entryEpoch: answer.entryEpoch};
    }

    async function collectOrphans(
      peer: Instance,
      request: Omit<OrphansRequest, 'known'>,
    ): Promise<boolean> {
      const progress = getProgress(peer);
      const {live, ...short} = {...request, known: progress.orphans};
      const ask = (params: unknown) =>
        call(peer, 'usage.orphans', params, orphansAnswerSchema);
      const hasList = progress.liveId === request.liveId;
      let answer = await ask(hasList ? short : {...short, live});
      if (answer && !answer.isKnown) answer = await ask({...short, live});
      if (!answer?.isKnown) return false;
      progress.liveId = request.liveId;
      noteOrphans(answer.windows, progress.orphans);
      return true;
    }

    async function collect(window: number): Promise<CollectionResult> {
      const peers = membership.getPeers();
      prune(peers);
      noteTotals(epoch, getTotals(window, {}), {});
      const asked = await Promise.all(
        peers.map(peer => collectTotals(peer, window)),
      );
      const answered = asked.filter(answer => answer !== null);
      const sources = [epoch, ...answered.map(answer => answer.entryEpoch)];
      const live = sources.map(getShortHash).sort();
      const request = {
        window,
        liveId: getSha256(live.join()),
        live,
        links: windows.getOpenLinks(),
      };
      noteOrphans(getOrphans({...request, known: {}}).windows, {});
      const got = await Promise.all(
        answered.map(({peer}) => collectOrphans(peer, request)),
      );
      const isComplete = answered.length === peers.length && got.every(Boolean);
      return {sources: sources.sort(), isComplete};
    }

    return {windows, collect};
  }

  return {
    addAgentCells: cells => {
      usage.prune(control.getState().lastSealed);
      countDropped(usage.mergeAgentCells(cells));
    },
    createCollector,
    rpcMethods: {
      'usage.collect': defineMethod(collectSchema, ({window, known}) => ({
        entryEpoch: epoch,
        windows: getTotals(window, known),
      })),
      'usage.orphans': defineMethod(orphansSchema, getOrphans),
    },
  };
}
