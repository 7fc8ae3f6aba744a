import type {MonotonicMs} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {createPromptCache, getKeptTokens, recordPrompt} from './promptCache.js';

/** Returns a prompt of parts with 1,000 tokens each. */
function getPrompt(path: string) {
  return path.split('/').map(id => ({id, tokens: 1_000}));
}

/** Sends prompts and returns how many tokens of another one are cached then. */
function getKept(sent: string[], path: string, ageMs = 0, memory = 8_000) {
  const state = sent.reduce(
    (s, p) => recordPrompt(s, getPrompt(p), 'm', 1, 0 as MonotonicMs),
    createPromptCache(memory),
  );
  const now = ageMs as MonotonicMs;
  return getKeptTokens(state, getPrompt(path), 'm', 1, now);
}

describe('the estimate of cached prompts', () => {
  it('counts the parts that are shared from the start, until they are old', () => {
    assert.equal(getKept(['a/b/c'], 'a/b/d'), 2_000);
    assert.equal(getKept(['a/b', 'c'], 'c/b'), 1_000);
    assert.equal(getKept(['a/b'], 'a/b', 31_000), 0);
  });

  it('drops the ends of the oldest prompts first, and stays bounded (guards against memory that grows with the requests)', () => {
    assert.equal(getKept(['a/b', 'c', 'd', 'a/e'], 'a/b'), 1_000);
    const many = Array.from({length: 600}, (_, index) => `a/${index}`);
    assert.equal(getKept(many, 'a/89', 0, 1e9), 2_000);
    assert.equal(getKept(many, 'a/88', 0, 1e9), 1_000);
  });
});
