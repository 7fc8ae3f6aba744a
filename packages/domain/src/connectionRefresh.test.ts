import type {MonotonicMs} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isRefreshDue} from './connectionRefresh.js';

const IDLE_TIMEOUT_MS = 10_000;
const ROUND_MS = 1_000;

/** Returns the connections that are opened for bursts at regular intervals. */
function countOpened(burstIntervalMs: number, bursts: number): number {
  let opened = 0;
  let closesAt = -1;
  let refreshes = 0;
  for (let now = 0; now < burstIntervalMs * bursts; now += ROUND_MS) {
    const isOpen = closesAt > now;
    if (now % burstIntervalMs === 0) {
      if (!isOpen) opened++;
      closesAt = now + IDLE_TIMEOUT_MS;
      refreshes = 0;
    } else if (isOpen) {
      const connection = {closesAt: closesAt as MonotonicMs, refreshes};
      if (!isRefreshDue(connection, now as MonotonicMs)) continue;
      closesAt = now + IDLE_TIMEOUT_MS;
      refreshes++;
    }
  }
  return opened;
}

describe('isRefreshDue', () => {
  describe('for bursts at intervals above the idle timeout', () => {
    it('keeps a connection until the next burst (guards against a connection a burst)', () => {
      assert.equal(countOpened(12_000, 5), 1);
    });

    it('gives up a connection that no burst needs (guards against health requests without end)', () => {
      assert.equal(countOpened(60_000, 3), 3);
    });
  });
});
