import {getHash32, getSha256} from '@vanillacross/common';

import {CACHE_BLOCK_CHARS, CHARS_PER_TOKEN} from './constants.js';

export interface PrefixCacheOptions {
  /** Blocks that the cache can hold. */
  cacheBlocks?: number;
  /** Delay of cache events, ms. */
  cacheEventLagMs?: number;
  /** Part of the cache events that is lost, 0 to 1. */
  cacheEventLoss?: number;
}

/** A published change of the cache; lost events leave gaps in `sequence`. */
export interface CacheEvent {
  sequence: number;
  type: 'stored' | 'evicted';
  block: string;
}

/** Cached prompt prefixes in limited memory, least recently used out first. */
export interface PrefixCache {
  /** Number of prompt tokens found; stores the rest of the prompt. */
  lookUpAndStore(prompt: string): number;
  getEvents(since: number): {events: CacheEvent[]; next: number};
  getCounts(): {hits: number; misses: number; blocks: number};
  clear(): void;
}

const MAX_EVENTS = 10_000;

/** A block is named by the hash of the prompt up to its end. */
function getBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / CACHE_BLOCK_CHARS);
  return Array.from({length: count}, (_, index) =>
    getSha256(prompt.slice(0, (index + 1) * CACHE_BLOCK_CHARS)).slice(0, 16),
  );
}

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const capacity = options.cacheBlocks ?? 4_096;
  const lagMs = options.cacheEventLagMs ?? 200;
  const loss = options.cacheEventLoss ?? 0.1;
  const blocks = new Set<string>();
  const events: Array<CacheEvent & {visibleAtMs: number}> = [];
  let sequence = 0;
  let hits = 0;
  let misses = 0;

  const publish = (type: CacheEvent['type'], block: string) => {
    sequence++;
    if (getHash32(`${sequence}`) / 2 ** 32 < loss) return;
    if (events.length >= MAX_EVENTS) events.shift();
    const visibleAtMs = performance.now() + lagMs;
    events.push({sequence, type, block, visibleAtMs});
  };
  const store = (block: string) => {
    // Deleting first moves a known block to the end of the eviction order.
    if (!blocks.delete(block)) publish('stored', block);
    blocks.add(block);
    if (blocks.size <= capacity) return;
    const [oldest] = blocks;
    blocks.delete(oldest);
    publish('evicted', oldest);
  };
  return {
    lookUpAndStore: prompt => {
      const wanted = getBlocks(prompt);
      const missing = wanted.findIndex(block => !blocks.has(block));
      const found = missing < 0 ? wanted.length : missing;
      hits += found;
      misses += wanted.length - found;
      wanted.forEach(store);
      return (found * CACHE_BLOCK_CHARS) / CHARS_PER_TOKEN;
    },
    getEvents: since => {
      const now = performance.now();
      const visible = events
        .filter(event => event.sequence > since && event.visibleAtMs <= now)
        .map(({sequence, type, block}) => ({sequence, type, block}));
      return {events: visible, next: visible.at(-1)?.sequence ?? since};
    },
    getCounts: () => ({hits, misses, blocks: blocks.size}),
    clear: () => blocks.clear(),
  };
}
