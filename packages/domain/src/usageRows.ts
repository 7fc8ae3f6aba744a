import {getSha256} from '@vanillacross/common';
import {z} from 'zod';

import type {UsageCell} from './messages.js';

/** Digits of a short epoch hash: 48 bits, enough for thousands of epochs. */
const SHORT_HASH_LENGTH = 12;
/** Stands for an agent whose epoch the entry does not know. */
export const ANY_AGENT = '*';

const rowSchema = z.tuple([
  z.number().int().min(0),
  z.number().int().min(0),
  z.number().int().min(0),
  z.number(),
  z.number(),
  z.number(),
]);

/**
 * Usage cells of one window without repeated names. A row is
 * `[entry, agent, account, requests, promptTokens, generatedTokens]`; the
 * first three are positions in `entries`, `agents` and `accounts`.
 */
export const usageRowsSchema = z.object({
  entries: z.array(z.string()),
  agents: z.array(z.string()),
  accounts: z.array(z.string()),
  rows: z.array(rowSchema),
});

export type UsageRows = z.infer<typeof usageRowsSchema>;

/** Totals of an entry for one window. */
export const entryTotalsSchema = z.object({
  window: z.number().int(),
  /** Hash of the content; the collector names it to get only changes. */
  hash: z.string(),
  /** By account: requests, prompt tokens, generated tokens. */
  totals: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /**
   * Own cells of links that are not in the totals, because the entry missed
   * the end of an answer and the agent may have counted more.
   */
  open: usageRowsSchema,
  /** Short hashes of these links; the agents' counts are needed as well. */
  links: z.array(z.string()),
});

export type EntryTotals = z.infer<typeof entryTotalsSchema>;

/** Cells that agents handed to an entry, of one window. */
export const orphanRowsSchema = z.object({
  window: z.number().int(),
  hash: z.string(),
  cells: usageRowsSchema,
});

export type OrphanRows = z.infer<typeof orphanRowsSchema>;

/** Short hash of an epoch or a link. */
export function getShortHash(text: string): string {
  return getSha256(text).slice(0, SHORT_HASH_LENGTH);
}

/** Short hash of the link of an entry and an agent, or of all its links. */
export function getLinkHash(entryEpoch: string, agentEpoch: string): string {
  return getShortHash(`${entryEpoch}\u0000${agentEpoch}`);
}

/** Assigns positions to names. */
function createNames() {
  const positions = new Map<string, number>();
  return {
    getPosition: (name: string): number => {
      const known = positions.get(name);
      if (known !== undefined) return known;
      positions.set(name, positions.size);
      return positions.size - 1;
    },
    getAll: () => [...positions.keys()],
  };
}

export function encodeUsageRows(cells: Iterable<UsageCell>): UsageRows {
  const entries = createNames();
  const agents = createNames();
  const accounts = createNames();
  const rows = [...cells].map((cell): UsageRows['rows'][number] => [
    entries.getPosition(cell.entryEpoch),
    agents.getPosition(cell.agentEpoch),
    accounts.getPosition(cell.account),
    cell.requests,
    cell.promptTokens,
    cell.generatedTokens,
  ]);
  return {
    entries: entries.getAll(),
    agents: agents.getAll(),
    accounts: accounts.getAll(),
    rows,
  };
}

/** Restores the cells of a window; rows with unknown names are left out. */
export function decodeUsageRows(window: number, rows: UsageRows): UsageCell[] {
  return rows.rows.flatMap(([entry, agent, account, ...figures]) => {
    const [requests, promptTokens, generatedTokens] = figures;
    const entryEpoch = rows.entries[entry];
    const agentEpoch = rows.agents[agent];
    const name = rows.accounts[account];
    if (entryEpoch === undefined || agentEpoch === undefined) return [];
    if (name === undefined) return [];
    return [
      {
        window,
        entryEpoch,
        agentEpoch,
        account: name,
        requests,
        promptTokens,
        generatedTokens,
      },
    ];
  });
}
