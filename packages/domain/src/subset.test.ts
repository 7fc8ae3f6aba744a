import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ENTRIES_PER_AGENT, UPSTREAMS_PER_DOMAIN} from './constants.js';
import {getAgentsOfEntry, getEntriesOfAgent} from './subset.js';

function createPlaced(prefix: string, count: number, domains: number) {
  return Array.from({length: count}, (_, i) => ({
    id: `${prefix}-${i}`,
    domain: `d${i % domains}`,
  }));
}

describe('subsets', () => {
  for (const [entryCount, agentCount, domains] of [
    [2, 6, 2],
    [8, 60, 4],
    [400, 5_100, 8],
  ]) {
    it(`covers every agent with ${entryCount} entries and ${agentCount} agents`, () => {
      const entries = createPlaced('entry', entryCount, domains);
      const agents = createPlaced('agent', agentCount, domains);
      const polledBy = new Map<string, Set<string>>();
      for (const agent of agents) {
        const chosen = getEntriesOfAgent(agent.id, agent.domain, entries);
        const distinct = new Set(chosen.map(entry => entry.id));
        assert.equal(distinct.size, Math.min(ENTRIES_PER_AGENT, entryCount));
        assert.ok(chosen.some(entry => entry.domain === agent.domain));
        for (const id of distinct) {
          polledBy.set(id, (polledBy.get(id) ?? new Set()).add(agent.id));
        }
      }
      const covered = new Map<string, number>();
      for (const entry of entries) {
        const polling = polledBy.get(entry.id) ?? new Set();
        const subset = getAgentsOfEntry(entry.id, agents, agent =>
          polling.has(agent.id),
        );
        const bound = polling.size + UPSTREAMS_PER_DOMAIN * domains;
        assert.ok(subset.length <= bound, 'a subset is too large');
        for (let d = 0; d < domains; d++) {
          assert.ok(subset.some(agent => agent.domain === `d${d}`));
        }
        for (const {id} of subset) covered.set(id, (covered.get(id) ?? 0) + 1);
      }
      const least = Math.min(...agents.map(({id}) => covered.get(id) ?? 0));
      assert.ok(least >= Math.min(ENTRIES_PER_AGENT, entryCount));
    });
  }

  it('keeps the entries of an agent when another entry is removed', () => {
    const entries = createPlaced('entry', 20, 4);
    const rest = entries.slice(1);
    for (const agent of createPlaced('agent', 200, 4)) {
      const before = getEntriesOfAgent(agent.id, agent.domain, entries);
      if (before.includes(entries[0])) continue;
      const after = getEntriesOfAgent(agent.id, agent.domain, rest);
      assert.deepEqual(after, before);
    }
  });
});
