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
/**
 * Maximum number of cached lists of live epochs; the least recently used is
 * evicted first.
 */
const MAX_LIVE_LISTS = 4;

/** Hash of the usage that the collector already has, by window. */
const knownSchema = z.record(z.string(), z.string());
const collectSchema = z.object({window: z.number().int(), known: knownSchema});
const collectResponseSchema = z.object({
  entryEpoch: z.string(),
  windows: z.array(entryTotalsSchema),
});
/**
 * Parameters of `usage.orphans`, which returns the cells that agents reported
 * for entries that are no longer live, and the cells of the epoch pairs in
 * `links`.
 */
const orphansSchema = z.object({
  window: z.number().int(),
  /** Hash of the list of live epochs, which rarely changes. */
  liveId: z.string(),
  /** Short hashes of the live epochs; omitted if the entry has them cached. */
  live: z.array(z.string()).optional(),
  /**
   * Hashes of pairs of entry and agent epochs whose usage the totals of the
   * entry do not contain.
   */
  links: z.array(z.string()),
  known: knownSchema,
});
const orphansResponseSchema = z.object({
  /** False if the entry has not cached the list of live epochs. */
  isKnown: z.boolean(),
  windows: z.array(orphanRowsSchema),
});

type KnownHashes = z.infer<typeof knownSchema>;
type OrphansRequest = z.infer<typeof orphansSchema>;
type OrphansResponse = z.infer<typeof orphansResponseSchema>;

export interface CollectionResult {
  /** Epochs of the entries that answered, including this one. */
  sources: string[];
  isComplete: boolean;
}

/** Collects the usage of all entries; transfers only what has changed. */
export interface UsageCollector {
  windows: UsageWindows;
  collect(window: number): Promise<CollectionResult>;
}

/** Usage that this entry recorded or received from agents. */
export interface UsageCollection {
  /** Adds cells that an agent reported. */
  addAgentCells(cells: readonly UsageCell[]): void;
  createCollector(): UsageCollector;
  rpcMethods: RpcMethods;
}

/** Source of the usage that this entry records itself. */
export interface LocalUsageSource {
  getUsageCells: () => readonly UsageCell[];
  getMissedEnds?: () => readonly MissedEnd[];
}

/** Hashes and epoch list that a collector has exchanged with one entry. */
interface EntryCollectionState {
  totals: KnownHashes;
  orphans: KnownHashes;
  /** Hash of the list of live epochs that the entry has; '' if none. */
  liveId: string;
}

export function createUsageCollection(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  createClient: ClientFactory,
  localUsage: LocalUsageSource,
): UsageCollection {
  const {metrics, epoch} = context;
  const logger = context.logger.child('usage');
  const usage = new EntryUsage(epoch);
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});
  const liveLists = new Map<string, ReadonlySet<string>>();

  function countDropped(dropped: number): void {
    if (dropped > 0) metrics.count('vc_usage_cells_dropped', {}, dropped);
  }

  function mergeLocalUsage(): void {
    const missed = localUsage.getMissedEnds?.() ?? [];
    countDropped(usage.mergeOwnCells(localUsage.getUsageCells(), missed));
    usage.prune(control.getState().lastSealed);
  }

  /**
   * While this entry is alive, its own counts are authoritative for the requests
   * that it forwarded, so it answers with totals instead of cells.
   */
  function getTotals(window: number, known: KnownHashes): EntryTotals[] {
    mergeLocalUsage();
    return usage.getTotals(window, known);
  }

  function getLiveEpochs(liveId: string, live?: readonly string[]) {
    const liveEpochs = live ? new Set(live) : liveLists.get(liveId);
    if (!liveEpochs) return null;
    liveLists.delete(liveId);
    liveLists.set(liveId, liveEpochs);
    for (const oldest of liveLists.keys()) {
      if (liveLists.size <= MAX_LIVE_LISTS) break;
      liveLists.delete(oldest);
    }
    return liveEpochs;
  }

  function getOrphans(request: OrphansRequest): OrphansResponse {
    const {window, liveId, links, known} = request;
    const live = getLiveEpochs(liveId, request.live);
    if (!live) return {isKnown: false, windows: []};
    const windows = usage.getOrphans(window, live, new Set(links), known);
    return {isKnown: true, windows};
  }

  async function call<Value>(
    peer: Instance,
    method: string,
    params: unknown,
    schema: ZodType<Value>,
  ): Promise<Value | null> {
    const response = await queue.add(() =>
      createClient(peer.peerAddress).call(method, params, COLLECT_TIMEOUT_MS),
    );
    const parsed = schema.safeParse(response?.ok ? response.value : null);
    if (parsed.success) return parsed.data;
    logger.warn('usage request to entry failed', {entry: peer.id, method});
    return null;
  }

  function createCollector(): UsageCollector {
    const windows = new UsageWindows();
    const entryStates = new Map<string, EntryCollectionState>();

    function getEntryState(peer: Instance): EntryCollectionState {
      const known = entryStates.get(peer.peerAddress);
      if (known) return known;
      const fresh = {totals: {}, orphans: {}, liveId: ''};
      entryStates.set(peer.peerAddress, fresh);
      return fresh;
    }

    /** Removes the state of departed entries and of pruned windows. */
    function prune(peers: readonly Instance[]): void {
      const addresses = new Set(peers.map(peer => peer.peerAddress));
      const oldest = windows.getWindows()[0] ?? 0;
      for (const [address, entryState] of entryStates) {
        if (!addresses.has(address)) entryStates.delete(address);
        for (const known of [entryState.totals, entryState.orphans]) {
          for (const window of Object.keys(known)) {
            if (Number(window) < oldest) delete known[window];
          }
        }
      }
    }

    function applyTotals(
      entryEpoch: string,
      items: readonly EntryTotals[],
      known: KnownHashes,
    ): void {
      for (const item of items) {
        const dropped = windows.setEntryTotals(entryEpoch, item);
        countDropped(dropped);
        // The hash is kept only if nothing was dropped, so that dropped usage
        // is requested again.
        if (dropped === 0) known[item.window] = item.hash;
      }
    }

    function applyOrphans(
      items: readonly OrphanRows[],
      known: KnownHashes,
    ): void {
      for (const {window, hash, cells} of items) {
        const dropped = windows.merge(decodeUsageRows(window, cells));
        countDropped(dropped);
        if (dropped === 0) known[window] = hash;
      }
    }

    async function collectTotals(peer: Instance, window: number) {
      const entryState = getEntryState(peer);
      const response = await call(
        peer,
        'usage.collect',
        {window, known: entryState.totals},
        collectResponseSchema,
      );
      if (!response) return null;
      applyTotals(response.entryEpoch, response.windows, entryState.totals);
      return {peer, entryEpoch: response.entryEpoch};
    }

    async function collectOrphans(
      peer: Instance,
      request: Omit<OrphansRequest, 'known'>,
    ): Promise<boolean> {
      const entryState = getEntryState(peer);
      const {live, ...base} = {...request, known: entryState.orphans};
      const send = (params: unknown) =>
        call(peer, 'usage.orphans', params, orphansResponseSchema);
      const hasList = entryState.liveId === request.liveId;
      let response = await send(hasList ? base : {...base, live});
      if (response && !response.isKnown) response = await send({...base, live});
      if (!response?.isKnown) return false;
      entryState.liveId = request.liveId;
      applyOrphans(response.windows, entryState.orphans);
      return true;
    }

    async function collect(window: number): Promise<CollectionResult> {
      const peers = membership.getPeers();
      prune(peers);
      applyTotals(epoch, getTotals(window, {}), {});
      const totalsResponses = await Promise.all(
        peers.map(peer => collectTotals(peer, window)),
      );
      const responses = totalsResponses.filter(response => response !== null);
      const sources = [
        epoch,
        ...responses.map(response => response.entryEpoch),
      ];
      const live = sources.map(getShortHash).sort();
      const request = {
        window,
        liveId: getSha256(live.join()),
        live,
        links: windows.getOpenLinks(),
      };
      applyOrphans(getOrphans({...request, known: {}}).windows, {});
      const results = await Promise.all(
        responses.map(({peer}) => collectOrphans(peer, request)),
      );
      const isComplete =
        responses.length === peers.length && results.every(Boolean);
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
