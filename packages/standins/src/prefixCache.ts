import {getHash32, getSha256} from '@vanillacross/common';

import {CACHE_BLOCK_CHARS, CHARS_PER_TOKEN} from './constants.js';

export interface PrefixCacheOptions {
  /** Capacity of the cache, blocks. */
  cacheBlocks?: number;
  /** Delay of cache events, ms. */
  cacheEventLagMs?: number;
  /** Share of the cache events that are lost, 0 to 1. */
  cacheEventLoss?: number;
}

/** A published cache change; lost events leave gaps in `sequence`. */
export interface CacheEvent {
  sequence: number;
  type: 'stored' | 'evicted';
  block: string;
}

/** A prompt prefix cache of limited size with LRU eviction. */
export interface PrefixCache {
  /**
   * Returns the number of cached prompt tokens and caches the rest of the
   * prompt.
   */
  lookUpAndStore(prompt: string): number;
  getEvents(since: number): {events: CacheEvent[]; next: number};
  getCounts(): {hits: number; misses: number; blocks: number};
  clear(): void;
}

const MAX_EVENTS = 10_000;

/**
 * Returns the ids of the prompt's blocks; each is a hash of the prompt up to
 * the block's end.
 */
function getBlockIds(prompt: string): string[] {
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
    // Deleting a cached block first moves it to the end of the eviction order.
    if (!blocks.delete(block)) publish('stored', block);
    blocks.add(block);
    if (blocks.size <= capacity) return;
    const [oldest] = blocks;
    blocks.delete(oldest);
    publish('evicted', oldest);
  };
  return {
    lookUpAndStore: prompt => {
      const promptBlocks = getBlockIds(prompt);
      const firstMissing = promptBlocks.findIndex(block => !blocks.has(block));
      const cachedCount = firstMissing < 0 ? promptBlocks.length : firstMissing;
      hits += cachedCount;
      misses += promptBlocks.length - cachedCount;
      promptBlocks.forEach(store);
      return (cachedCount * CACHE_BLOCK_CHARS) / CHARS_PER_TOKEN;
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
