import {getHash32} from '@vanillacross/common';

/**
 * Number of versions of a model that serve at the same time: the newest one and
 * the one before, which stays in use while the newest one loads.
 */
const VERSIONS_IN_USE = 2;

/**
 * Assigns home engines to each model of a pool: its share of the engines for
 * each version in use. It answers pools whose models change version every few
 * seconds: if any engine may load any model, every process that runs samples
 * connects to all engines over time. Each model gets a window over the engines
 * in the order of a hash, so that all engines are home to about the same number
 * of models and few homes change with the list of engines. Every process
 * computes the same homes from the same list.
 */
export function getModelHomes(
  models: readonly string[],
  engines: readonly string[],
): Map<string, ReadonlySet<string>> {
  const ring = [...engines].sort(
    (a, b) => getHash32(a) - getHash32(b) || (a < b ? -1 : 1),
  );
  const share = ring.length / Math.max(1, models.length);
  const size = Math.min(ring.length, Math.ceil(share * VERSIONS_IN_USE));
  return new Map(
    [...models].sort().map((model, index) => {
      const start = Math.floor(index * share);
      const home = Array.from(
        {length: size},
        (_, offset) => ring[(start + offset) % ring.length],
      );
      return [model, new Set(home)];
    }),
  );
}
