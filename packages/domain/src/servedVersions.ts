import type {SoftwareVersion} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import {z} from 'zod';

/**
 * Minimum time after its end for which a software version may still have begun
 * a stream that a caller takes up again, ms.
 */
export const MIN_STREAM_LIFE_MS = 60_000;
/** Number of route timeouts after which no caller takes up a stream. */
const STREAM_LIFE_TIMEOUTS = 3;
/** Assumed maximum skew between the wall clocks of processes, ms. */
const MAX_CLOCK_SKEW_MS = 10_000;

const servedVersionSchema = z.object({
  software: z.string().transform(toBranded<SoftwareVersion>),
  /** Wall-clock time at which it was recorded, ms. */
  addedAt: z.number(),
  /**
   * Whether no process relies any more on the record before it was added, so that
   * streams may begin at it.
   */
  isActive: z.boolean(),
  /** Wall-clock time since which no stream begins at it, ms; null if they do. */
  retiredAt: z.number().nullable(),
});

export const servedVersionsSchema = z.object({
  schema: z.literal(1),
  /**
   * Wall-clock time since which the record is complete, ms. A stream that began
   * earlier may have begun at a version that is not recorded.
   */
  completeSince: z.number(),
  versions: z.array(servedVersionSchema),
});

/** A software version at which streams of a pool begin or have begun. */
export type ServedVersion = z.infer<typeof servedVersionSchema>;

/** The software versions of a pool, as recorded for all processes. */
export type ServedVersions = z.infer<typeof servedVersionsSchema>;

/** What a process sees when it brings the record of a pool up to date. */
export interface ServedVersionsView {
  /** Software versions of the listed upstreams. */
  listed: ReadonlySet<SoftwareVersion>;
  /**
   * Recorded versions that have had no listed upstream for so long that the
   * record may retire them.
   */
  unlisted: ReadonlySet<SoftwareVersion>;
  /** Versions that no process can have missed in the record. */
  readByAll: ReadonlySet<SoftwareVersion>;
  wallMs: number;
  /** Whether the whole deployment starts for the first time. */
  isFirstStart: boolean;
  /** Time after its beginning for which a stream may be taken up, ms. */
  streamLifeMs: number;
}

/** Returns for how long after its beginning a stream may be taken up, ms. */
export function getStreamLifeMs(routeTimeoutMs: number): number {
  return Math.max(MIN_STREAM_LIFE_MS, routeTimeoutMs * STREAM_LIFE_TIMEOUTS);
}

function isPast(wallMs: number, at: number, lifeMs: number): boolean {
  return wallMs - at > lifeMs + MAX_CLOCK_SKEW_MS;
}

function createServedVersions(view: ServedVersionsView): ServedVersions | null {
  if (view.listed.size === 0) return null;
  const completeSince = view.isFirstStart ? 0 : view.wallMs;
  const versions = [...view.listed].map(software => ({
    software,
    addedAt: completeSince,
    // Without a record, no process decides alone.
    isActive: true,
    retiredAt: null,
  }));
  return {schema: 1, completeSince, versions};
}

function updateVersion(
  version: ServedVersion,
  view: ServedVersionsView,
): ServedVersion {
  const {software, isActive, retiredAt} = version;
  if (retiredAt !== null) return version;
  if (view.listed.size > 0 && view.unlisted.has(software)) {
    return {...version, retiredAt: view.wallMs};
  }
  const isNowActive = !isActive && view.readByAll.has(software);
  return isNowActive ? {...version, isActive: true} : version;
}

/**
 * Returns the record that a pool should have, or null if the known one is up to
 * date. Listed versions are added, and active once all processes know them.
 * Those that are gone are retired, and dropped once none of their streams can be
 * taken up any more. The last version is kept, however long it is gone.
 */
export function planServedVersions(
  known: ServedVersions | null,
  view: ServedVersionsView,
): ServedVersions | null {
  if (!known) return createServedVersions(view);
  const {listed, wallMs, streamLifeMs} = view;
  const kept = known.versions.filter(
    ({software, retiredAt}) => !listed.has(software) || retiredAt === null,
  );
  const added = [...listed]
    .filter(software => !kept.some(version => version.software === software))
    .map(software => ({
      software,
      addedAt: wallMs,
      isActive: false,
      retiredAt: null,
    }));
  const versions = [...kept, ...added]
    .map(version => updateVersion(version, view))
    .filter(
      ({retiredAt}) =>
        retiredAt === null || !isPast(wallMs, retiredAt, streamLifeMs),
    );
  const isChanged =
    added.length > 0 ||
    versions.length !== known.versions.length ||
    versions.some((version, index) => version !== known.versions[index]);
  return isChanged ? {...known, versions} : null;
}

/**
 * Returns the only software version at which a stream that a caller takes up
 * now can have begun; null if there may be several.
 */
export function getSoleVersion(
  served: ServedVersions,
  wallMs: number,
  streamLifeMs: number,
): SoftwareVersion | null {
  if (!isPast(wallMs, served.completeSince, streamLifeMs)) return null;
  const possible = served.versions.filter(
    ({retiredAt}) =>
      retiredAt === null || !isPast(wallMs, retiredAt, streamLifeMs),
  );
  return possible.length === 1 ? possible[0].software : null;
}
