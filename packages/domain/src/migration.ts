/** How an engine generates, as far as it is known. */
export interface EngineActivity {
  /** Average time between two events of a stream, ms; null if unknown. */
  intervalMs: number | null;
  /** Known number of its running and queued requests. */
  occupancy: number;
}

/** A sample that generates at an engine. */
export interface RunningSample {
  /** Number of its events so far. */
  events: number;
  engine: EngineActivity & {intervalMs: number};
}

/**
 * Part by which each further request at an engine lengthens the time between two
 * events: from 43 ms for one to about 60 ms for six.
 */
const CROWDING = 0.08;
/** Factor by which an engine on a slow machine is slower than another one. */
const SLOW_FACTOR = 1.7;
/**
 * Time that a migration must save, ms. The new run takes about 100 ms to its
 * first event, a connection and the time of the engine that reads the text so
 * far. A crowd at an engine may leave by itself, so it must save more.
 */
const MIN_SAVING_MS = {slow: 400, crowded: 1_500};

/** Returns the expected time between events of a sample that is added, ms. */
function getIntervalThere(
  {engine}: RunningSample,
  other: EngineActivity,
): number {
  if (other.intervalMs !== null) return other.intervalMs * (1 + CROWDING);
  const others = Math.max(0, engine.occupancy - 1);
  const aloneMs = engine.intervalMs / (1 + CROWDING * others);
  return aloneMs * (1 + CROWDING * other.occupancy);
}

/**
 * Whether a sample should go on at another engine. It answers steps whose longest
 * samples decide when the trainer continues, while they share crowded or slow
 * engines with short ones. Lengths have a long tail, so as many events are
 * expected as there are already.
 */
export function isWorthMigrating(
  sample: RunningSample,
  other: EngineActivity,
): boolean {
  const {intervalMs} = sample.engine;
  const thereMs = getIntervalThere(sample, other);
  const cause = intervalMs >= thereMs * SLOW_FACTOR ? 'slow' : 'crowded';
  return sample.events * (intervalMs - thereMs) >= MIN_SAVING_MS[cause];
}
