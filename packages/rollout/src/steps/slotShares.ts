import type {Clock} from '@vanillacross/common';
import {getHash32} from '@vanillacross/common';
import {getModelHomes, getSlotShare} from '@vanillacross/domain';

import type {Route} from '../model/index.js';
import type {Upstream, UpstreamDirectory} from '../upstreams/index.js';
import type {RunnerLayout} from './runnerPartition.js';
import {getRunnerPartition} from './runnerPartition.js';
import type {SampleTask} from './sampleTask.js';
import type {StepRegistry, TrackedStep} from './stepRegistry.js';

/**
 * Time for which a queued sample keeps to the engines of its process, ms. Others
 * take it afterwards, because those of its process may be slow or loading.
 */
const KEEP_TO_OWN_ENGINES_MS = 100;
/**
 * Time for which a queued sample keeps to the shares, ms. The shares follow the
 * listed results with a delay, so they may leave a slot free for too long.
 */
const KEEP_TO_SHARES_MS = 200;

/** Fraction of the engines of a step that are home engines if there are enough. */
const MIN_HOME_SHARE = 0.4;
/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;
/** Shares are rounded to the nearest number of slots. */
const ROUNDING = 0.5;

/** Demand of one open step. */
interface TrackedDemand {
  unfinished: number;
  ownUnfinished: number;
  engines: ReadonlySet<Upstream>;
  /** Engines that this process prefers to the other processes of the step. */
  ownEngines: ReadonlySet<Upstream>;
  /** Number of its samples that this process runs on each engine. */
  running: Map<Upstream, number>;
  /** Number of its samples that this process may run on an engine, if computed. */
  shares: Map<Upstream, number>;
}

export interface SlotSharesOptions {
  registry: StepRegistry;
  directory: UpstreamDirectory;
  clock: Clock;
  layout: RunnerLayout;
  getOwnedPartitions: () => ReadonlySet<number>;
  getRoute: (tracked: TrackedStep) => Route | null;
}

/**
 * Divides engines and their slots among the processes that run samples. Each
 * process of a step prefers engines of its own, so that it keeps few
 * connections, and other steps at the same engines get their share of the slots.
 * All this follows from the open steps, which these processes know, so that
 * nothing is exchanged.
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
      this.demands.set(tracked, {
        unfinished,
        ownUnfinished: 0,
        engines,
        ownEngines: this.getOwnEngines(tracked, engines),
        running: new Map(),
        shares: new Map(),
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
    const own = this.demands.get(task.trackedStep);
    const waitedMs = this.options.clock.now() - task.advancedAt;
    if (!own || waitedMs > KEEP_TO_SHARES_MS) return true;
    const isOwnEngine = own.ownEngines.has(engine);
    if (!isOwnEngine && waitedMs <= KEEP_TO_OWN_ENGINES_MS) return false;
    const share = own.shares.get(engine) ?? this.computeShare(own, engine);
    own.shares.set(engine, share);
    return (own.running.get(engine) ?? 0) < share;
  }

  /**
   * Returns how many samples of a step this process may run on an engine. The
   * same for all its samples until the next refresh.
   */
  private computeShare(own: TrackedDemand, engine: Upstream): number {
    const others = [...this.demands.values()]
      .filter(demand => demand !== own && demand.engines.has(engine))
      .map(({unfinished, engines}) => ({
        unfinished,
        engineCount: engines.size,
      }));
    return getSlotShare({
      slots: engine.entry.slots,
      own: {
        unfinished: own.unfinished,
        ownUnfinished: own.ownEngines.has(engine)
          ? own.unfinished
          : own.ownUnfinished,
        engineCount: own.engines.size,
      },
      others,
      rounding: ROUNDING,
    });
  }

  /**
   * Returns the engines that this process prefers for a step: a part that
   * corresponds to its samples. A hash of the engine decides, so that a process
   * keeps to the same engines while versions change.
   */
  private getOwnEngines(
    {partition, samples}: TrackedStep,
    engines: ReadonlySet<Upstream>,
  ): Set<Upstream> {
    const {layout, getOwnedPartitions} = this.options;
    const owned = getOwnedPartitions();
    const own = [...engines].filter(({id}) => {
      const fraction = getHash32(`owner of ${id}`) / HASH_RANGE;
      const position = Math.floor(fraction * samples.size);
      return owned.has(getRunnerPartition(partition, position, layout));
    });
    return new Set(own);
  }

  /**
   * Returns the engines that may run a step's samples; only the home engines of
   * its model unless these are too few, so that those that later versions use
   * get the connections.
   */
  private getEngines(tracked: TrackedStep): Set<Upstream> {
    const {directory, getRoute} = this.options;
    const {model, minVersion} = tracked.step;
    const pools = getRoute(tracked)?.targets.map(({pool}) => pool) ?? [];
    const usable = pools.flatMap(pool => directory.getUsable(pool));
    if (model === null) return new Set(usable);
    const engines = usable.filter(
      engine =>
        engine.getVersion(model) >= minVersion && !engine.isLoading(model),
    );
    const homes = this.getHomes(usable).get(model);
    const atHome = engines.filter(({id}) => homes?.has(id));
    const isEnough = atHome.length >= engines.length * MIN_HOME_SHARE;
    return new Set(isEnough ? atHome : engines);
  }

  private getHomes(
    engines: readonly Upstream[],
  ): ReadonlyMap<string, ReadonlySet<string>> {
    const models = new Set(
      engines.flatMap(({entry}) => [...entry.versions.keys()]),
    );
    const ids = engines.map(({id}) => String(id));
    return getModelHomes([...models], ids);
  }
}
