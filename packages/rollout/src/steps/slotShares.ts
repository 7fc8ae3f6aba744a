import type {Clock} from '@vanillacross/common';
import {getHash32} from '@vanillacross/common';
import {getSlotShare} from '@vanillacross/domain';

import type {Route} from '../model/index.js';
import type {Upstream, UpstreamDirectory} from '../upstreams/index.js';
import type {SampleTask} from './sampleTask.js';
import type {StepRegistry, TrackedStep} from './stepRegistry.js';

/**
 * Time for which a queued sample keeps to the shares, ms. The shares follow the
 * listed results with a delay, so they may leave a slot free for too long.
 */
const KEEP_TO_SHARES_MS = 1_000;
/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** Demand of one open step. */
interface TrackedDemand {
  unfinished: number;
  ownUnfinished: number;
  engines: ReadonlySet<Upstream>;
  /** Number of its samples that this process runs on each engine. */
  running: Map<Upstream, number>;
}

export interface SlotSharesOptions {
  registry: StepRegistry;
  directory: UpstreamDirectory;
  clock: Clock;
  /** Id of this process; unique for each start of the process. */
  processId: string;
  getRoute: (tracked: TrackedStep) => Route | null;
}

/**
 * Divides the slots of engines among the processes that run samples. The shares
 * follow from the open steps, which all these processes know, so that nothing
 * is exchanged.
 */
export class SlotShares {
  private readonly demands = new Map<TrackedStep, TrackedDemand>();

  constructor(private readonly options: SlotSharesOptions) {}

  /** Takes in the open steps and the samples that this process runs. */
  refresh(tasks: Iterable<SampleTask>): void {
    this.demands.clear();
    for (const tracked of this.options.registry.getAll()) {
      const unfinished = tracked.samples.size - tracked.listedSamples.size;
      if (tracked.isEnded || unfinished === 0) continue;
      const engines = this.getEngines(tracked);
      const running = new Map<Upstream, number>();
      this.demands.set(tracked, {
        unfinished,
        ownUnfinished: 0,
        engines,
        running,
      });
    }
    for (const task of tasks) {
      const demand = this.demands.get(task.trackedStep);
      if (!demand) continue;
      demand.ownUnfinished++;
      if (task.generation) this.recordStart(task, task.generation.upstream);
    }
  }

  recordStart({trackedStep}: SampleTask, engine: Upstream): void {
    const running = this.demands.get(trackedStep)?.running;
    running?.set(engine, (running.get(engine) ?? 0) + 1);
  }

  /** Whether an engine may take a queued sample as far as shares decide. */
  mayStart(task: SampleTask, engine: Upstream): boolean {
    const {clock, processId} = this.options;
    const own = this.demands.get(task.trackedStep);
    if (!own || clock.now() - task.advancedAt > KEEP_TO_SHARES_MS) return true;
    const others = [...this.demands.values()]
      .filter(demand => demand !== own && demand.engines.has(engine))
      .map(({unfinished, engines}) => ({
        unfinished,
        engineCount: engines.size,
      }));
    const share = getSlotShare({
      slots: engine.entry.slots,
      own: {...own, engineCount: own.engines.size},
      others,
      rounding: getHash32(`${processId} ${engine.id}`) / HASH_RANGE,
    });
    return (own.running.get(engine) ?? 0) < share;
  }

  private getEngines(tracked: TrackedStep): Set<Upstream> {
    const {directory, getRoute} = this.options;
    const {model, minVersion} = tracked.step;
    const pools = getRoute(tracked)?.targets.map(({pool}) => pool) ?? [];
    const engines = pools.flatMap(pool => directory.getUsable(pool));
    if (model === null) return new Set(engines);
    return new Set(
      engines.filter(
        engine =>
          engine.getVersion(model) >= minVersion && !engine.isLoading(model),
      ),
    );
  }
}
