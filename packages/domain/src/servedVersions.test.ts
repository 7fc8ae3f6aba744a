import type {SoftwareVersion} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ServedVersions, ServedVersionsView} from './servedVersions.js';
import {
  MIN_STREAM_LIFE_MS,
  getSoleVersion,
  getStreamLifeMs,
  planServedVersions,
} from './servedVersions.js';

const V1 = toBranded<SoftwareVersion>('v1');
const V2 = toBranded<SoftwareVersion>('v2');
const LIFE_MS = 60_000;
const NOW = 1_000_000;
/** Time after which neither streams nor clock skew can matter, ms. */
const LONG_MS = 100_000;

function view(
  listed: SoftwareVersion[],
  overrides: Partial<ServedVersionsView> = {},
): ServedVersionsView {
  return {
    listed: new Set(listed),
    unlisted: new Set(),
    readByAll: new Set(),
    wallMs: NOW,
    isFirstStart: false,
    streamLifeMs: LIFE_MS,
    ...overrides,
  };
}

function serve(...views: ServedVersionsView[]): ServedVersions {
  let served: ServedVersions | null = null;
  for (const next of views) served = planServedVersions(served, next) ?? served;
  assert.ok(served);
  return served;
}

const first = view([V1], {isFirstStart: true});
const getSole = (served: ServedVersions, wallMs = NOW) =>
  getSoleVersion(served, wallMs, LIFE_MS);

describe('served versions', () => {
  describe('the only version', () => {
    it('is clear from the first start on', () => {
      assert.equal(getSole(serve(first)), V1);
    });

    it('is in doubt after a start beside older releases', () => {
      const served = serve(view([V1]));
      assert.equal(getSole(served), null);
      assert.equal(getSole(served, NOW + LONG_MS), V1);
    });

    it('is in doubt once another one is listed', () => {
      assert.equal(getSole(serve(first, view([V1, V2]))), null);
    });

    it('is in doubt while streams of a version that left may be taken up', () => {
      const served = serve(
        first,
        view([V1, V2]),
        view([V2], {unlisted: new Set([V1])}),
      );
      assert.equal(getSole(served, NOW + LIFE_MS), null);
      assert.equal(getSole(served, NOW + LONG_MS), V2);
    });

    it('is in doubt after a version that was aborted', () => {
      const served = serve(
        first,
        view([V1, V2]),
        view([V1], {unlisted: new Set([V2])}),
      );
      assert.equal(getSole(served), null);
      assert.equal(getSole(served, NOW + LONG_MS), V1);
    });
  });

  describe('the record', () => {
    it('is not written without a listed upstream', () => {
      assert.equal(planServedVersions(null, view([])), null);
    });

    it('is not written again without a change', () => {
      assert.equal(planServedVersions(serve(first), view([V1])), null);
    });

    it('keeps the last version while no upstream is listed', () => {
      const gone = view([], {unlisted: new Set([V1])});
      assert.equal(planServedVersions(serve(first), gone), null);
    });

    it('starts a version anew that came back', () => {
      const later = view([V1, V2], {wallMs: NOW + 5});
      const served = serve(
        first,
        view([V1, V2]),
        view([V1], {unlisted: new Set([V2])}),
        later,
      );
      const back = served.versions.filter(({software}) => software === V2);
      assert.deepEqual(back, [
        {software: V2, addedAt: NOW + 5, isActive: false, retiredAt: null},
      ]);
    });

    it('drops a version none of whose streams can be taken up', () => {
      const served = serve(
        first,
        view([V1, V2]),
        view([V2], {unlisted: new Set([V1])}),
        view([V2], {wallMs: NOW + LONG_MS}),
      );
      assert.deepEqual(
        served.versions.map(({software}) => software),
        [V2],
      );
    });
  });

  describe('a version', () => {
    const isActive = (served: ServedVersions, software: SoftwareVersion) =>
      served.versions.find(v => v.software === software)?.isActive;

    it('is active at once if the record began with it', () => {
      assert.equal(isActive(serve(first), V1), true);
    });

    it('is not active before all have read it (guards against a process that takes the old version for the only one)', () => {
      const served = serve(first, view([V1, V2]));
      assert.equal(isActive(served, V2), false);
    });

    it('is active for all processes that start once all have read it', () => {
      const readByAll = new Set([V2]);
      const served = serve(first, view([V1, V2]), view([V1, V2], {readByAll}));
      assert.equal(isActive(served, V2), true);
      assert.equal(planServedVersions(served, view([V1, V2])), null);
    });
  });

  it('bound streams by the timeout of their route', () => {
    assert.equal(getStreamLifeMs(10_000), MIN_STREAM_LIFE_MS);
    assert.equal(getStreamLifeMs(100_000), 300_000);
  });
});
