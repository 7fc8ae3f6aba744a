import type {RpcMethods} from '@vanillacross/common';
import {defineMethod} from '@vanillacross/common';
import type {UsageCell} from '@vanillacross/domain';
import {UsageWindows, usageCellSchema} from '@vanillacross/domain';
import PQueue from 'p-queue';
import {z} from 'zod';

import type {ClientFactory} from './orderTask.js';
import type {Context, ControlFollower, Membership} from './types.js';

const COLLECT_TIMEOUT_MS = 5_000;
const COLLECT_CONCURRENCY = 16;

const collectSchema = z.object({window: z.number().int()});
const collectAnswerSchema = z.object({
  entryEpoch: z.string(),
  cells: z.array(usageCellSchema),
});

/** Cells of all live entries up to a window. */
export interface Collection {
  cells: UsageCell[];
  /** Epochs of the entries that answered, this one included. */
  sources: string[];
  isComplete: boolean;
}

/** Usage cells that this entry counted or got from its agents. */
export interface UsageCollection {
  note(cells: readonly UsageCell[]): void;
  collect(window: number): Promise<Collection>;
  rpcMethods: RpcMethods;
}

export function createUsageCollection(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  createClient: ClientFactory,
  getCells: () => readonly UsageCell[],
): UsageCollection {
  const {metrics} = context;
  const logger = context.logger.part('usage');
  const own = new UsageWindows();
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});

  function note(cells: readonly UsageCell[]): void {
    own.prune(control.getState().lastSealed);
    const dropped = own.merge(cells);
    if (dropped > 0) metrics.count('vc_usage_cells_dropped', {}, dropped);
  }

  function getOwn(window: number): UsageCell[] {
    note(getCells());
    return own.getCells(window);
  }

  async function collectFrom(address: string, window: number) {
    const answer = await createClient(address).call(
      'usage.collect',
      {window},
      COLLECT_TIMEOUT_MS,
    );
    if (!answer.ok) return null;
    const parsed = collectAnswerSchema.safeParse(answer.value);
    return parsed.success ? parsed.data : null;
  }

  return {
    note,
    collect: async window => {
      const cells = getOwn(window);
      const sources: string[] = [context.epoch];
      const peers = membership.getPeers();
      await Promise.all(
        peers.map(peer =>
          queue.add(async () => {
            const answer = await collectFrom(peer.peerAddress, window);
            if (!answer) {
              logger.warn('entry did not answer', {entry: peer.id, window});
              return;
            }
            sources.push(answer.entryEpoch);
            for (const cell of answer.cells) cells.push(cell);
          }),
        ),
      );
      const isComplete = sources.length === peers.length + 1;
      return {cells, sources: sources.sort(), isComplete};
    },
    rpcMethods: {
      'usage.collect': defineMethod(collectSchema, ({window}) => ({
        entryEpoch: context.epoch,
        cells: getOwn(window),
      })),
    },
  };
}
