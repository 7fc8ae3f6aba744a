import {getSha256} from '@vanillacross/common';
import {z} from 'zod';

import type {UsageCell} from './messages.js';

/**
 * Length of a short hash, in hex digits. At 48 bits, a collision among
 * thousands of epochs is unlikely.
 */
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
 * Usage cells of one window with each name stored once. A row is `[entry,
 * agent, account, requests, promptTokens, generatedTokens]`; the first three
 * are indexes into `entries`, `agents` and `accounts`.
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
  /**
   * Hash of the content; the collector sends it back to receive only changes.
   */
  hash: z.string(),
  /** Requests, prompt tokens and generated tokens by account. */
  totals: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  /**
   * Cells of the entry's own links that the totals omit, because the entry
   * missed the end of a response and the agent may have counted more.
   */
  open: usageRowsSchema,
  /**
   * Short hashes of the links of the cells in `open`; the agents' counts for
   * them are needed as well.
   */
  links: z.array(z.string()),
});

export type EntryTotals = z.infer<typeof entryTotalsSchema>;

/**
 * Cells of one window that an entry received from agents, for links whose own
 * entry does not report or omits them from its totals.
 */
export const orphanRowsSchema = z.object({
  window: z.number().int(),
  hash: z.string(),
  cells: usageRowsSchema,
});

export type OrphanRows = z.infer<typeof orphanRowsSchema>;

/** Returns the short hash of an epoch or link. */
export function getShortHash(text: string): string {
  return getSha256(text).slice(0, SHORT_HASH_LENGTH);
}

/**
 * Returns the short hash of the link between an entry and an agent; with
 * `ANY_AGENT`, the hash that stands for all links of the entry.
 */
export function getLinkHash(entryEpoch: string, agentEpoch: string): string {
  return getShortHash(`${entryEpoch}\u0000${agentEpoch}`);
}

/** Assigns consecutive indexes to names. */
function createNameIndex() {
  const indexes = new Map<string, number>();
  return {
    getIndex: (name: string): number => {
      const known = indexes.get(name);
      if (known !== undefined) return known;
      indexes.set(name, indexes.size);
      return indexes.size - 1;
    },
    getNames: () => [...indexes.keys()],
  };
}

export function encodeUsageRows(cells: Iterable<UsageCell>): UsageRows {
  const entries = createNameIndex();
  const agents = createNameIndex();
  const accounts = createNameIndex();
  const rows = [...cells].map((cell): UsageRows['rows'][number] => [
    entries.getIndex(cell.entryEpoch),
    agents.getIndex(cell.agentEpoch),
    accounts.getIndex(cell.account),
    cell.requests,
    cell.promptTokens,
    cell.generatedTokens,
  ]);
  return {
    entries: entries.getNames(),
    agents: agents.getNames(),
    accounts: accounts.getNames(),
    rows,
  };
}

/** Restores the cells of a window; skips rows with invalid indexes. */
export function decodeUsageRows(window: number, rows: UsageRows): UsageCell[] {
  return rows.rows.flatMap(([entry, agent, account, ...figures]) => {
    const [requests, promptTokens, generatedTokens] = figures;
    const entryEpoch = rows.entries[entry];
    const agentEpoch = rows.agents[agent];
    const accountName = rows.accounts[account];
    if (entryEpoch === undefined || agentEpoch === undefined) return [];
    if (accountName === undefined) return [];
    return [
      {
        window,
        entryEpoch,
        agentEpoch,
        account: accountName,
        requests,
        promptTokens,
        generatedTokens,
      },
    ];
  });
}
