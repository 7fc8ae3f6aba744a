import {get} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

export const engineOrderSchema = z.looseObject({
  orderId: z.string(),
  fencing: z.number(),
  action: z.enum(['load', 'stage', 'activate', 'adapter', 'role']),
  model: z.string().optional(),
  version: z.number().optional(),
  adapter: z.string().optional(),
  role: z.string().optional(),
  /** Base URL of the weight store or of an engine to fetch from. */
  source: z.string().optional(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

export interface OrderOptions {
  checksFencing?: boolean;
  model?: string;
  weightVersion?: number;
  /** Base URL of the weight store; without it, staging takes `stageMs`. */
  weights?: string;
  stageMs?: number;
  /** Time for which a weight swap pauses generation, ms. */
  activateMs?: number;
}

export interface OrderOutcome {
  status: 'done' | 'failed' | 'stale_fencing';
  detail?: string;
  highest?: number;
}

/** The weights of an engine and the orders that change them. */
export interface EngineOrders {
  execute(order: EngineOrder): Promise<OrderOutcome>;
  getWeights(): {
    model: string;
    weightVersion: number;
    role: string;
    adapters: string[];
    staged: number[];
  };
  /** Size of a version that is staged or live, bytes. */
  getStagedBytes(model: string, version: number): number | undefined;
  /** Makes the next `count` swaps fail. */
  setFailingSwaps(count: number): void;
  getAudit(): ReadonlyArray<EngineOrder & {outcome: OrderOutcome}>;
  /**
   * Resets to the initial weight version and clears staged weights, adapters,
   * order outcomes and the highest fencing number, as after a crash.
   */
  restart(): void;
}

/** Reads a response to its end and returns its size in bytes. */
function fetchBytes(url: string): Promise<number> {
  return new Promise((resolve, reject) => {
    get(url, response => {
      let size = 0;
      response.on('data', (chunk: Buffer) => (size += chunk.length));
      response.on('error', reject);
      response.on('end', () =>
        response.statusCode === 200 && response.complete
          ? resolve(size)
          : reject(new Error(`status ${response.statusCode}`)),
      );
    }).on('error', reject);
  });
}

/** @param setPaused Pauses and resumes generation around a weight swap. */
export function createEngineOrders(
  options: OrderOptions,
  setPaused: (isPaused: boolean) => void,
): EngineOrders {
  let model = options.model ?? 'model';
  const initialVersion = options.weightVersion ?? 1;
  let weightVersion = initialVersion;
  let role = 'default';
  let highestFencing = -1;
  let failingSwaps = 0;
  const adapters = new Set<string>();
  const staged = new Map<string, number>();
  const outcomes = new Map<string, Promise<OrderOutcome>>();
  const audit: Array<EngineOrder & {outcome: OrderOutcome}> = [];

  const getName = (order: EngineOrder) =>
    `${order.model ?? model}/${order.version}`;
  const stage = async (order: EngineOrder) => {
    if (staged.has(getName(order))) return;
    const source = order.source ?? options.weights;
    if (!source) await sleep(options.stageMs ?? 20);
    const path = `/v1/weights/${getName(order)}`;
    staged.set(getName(order), source ? await fetchBytes(source + path) : 0);
  };
  const activate = async (order: EngineOrder) => {
    if (!staged.has(getName(order))) throw new Error('version is not staged');
    setPaused(true);
    try {
      await sleep(options.activateMs ?? 10);
      if (failingSwaps > 0) {
        failingSwaps--;
        throw new Error('weight swap failed');
      }
      model = order.model ?? model;
      weightVersion = order.version ?? weightVersion;
    } finally {
      setPaused(false);
    }
  };
  const actions: Record<
    EngineOrder['action'],
    (order: EngineOrder) => Promise<void> | void
  > = {
    stage,
    activate,
    load: async order => {
      await stage(order);
      await activate(order);
    },
    adapter: order => void adapters.add(order.adapter ?? ''),
    role: order => {
      role = order.role ?? role;
    },
  };
  const run = async (order: EngineOrder): Promise<OrderOutcome> => {
    try {
      await actions[order.action](order);
      return {status: 'done'};
    } catch (error) {
      return {status: 'failed', detail: (error as Error).message};
    }
  };
  return {
    execute: async order => {
      const isStale = options.checksFencing && order.fencing < highestFencing;
      highestFencing = Math.max(highestFencing, order.fencing);
      let outcome: OrderOutcome = {
        status: 'stale_fencing',
        highest: highestFencing,
      };
      if (!isStale) {
        const result = outcomes.get(order.orderId) ?? run(order);
        outcomes.set(order.orderId, result);
        outcome = await result;
      }
      audit.push({...order, outcome});
      return outcome;
    },
    getWeights: () => ({
      model,
      weightVersion,
      role,
      adapters: [...adapters],
      staged: [...staged.keys()]
        .filter(name => name.startsWith(`${model}/`))
        .map(name => Number(name.slice(model.length + 1))),
    }),
    getStagedBytes: (name, version) => staged.get(`${name}/${version}`),
    setFailingSwaps: count => {
      failingSwaps = count;
    },
    getAudit: () => audit,
    restart: () => {
      weightVersion = initialVersion;
      highestFencing = -1;
      staged.clear();
      adapters.clear();
      outcomes.clear();
    },
  };
}
