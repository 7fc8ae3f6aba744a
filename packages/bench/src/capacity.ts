import type {LinearFit} from './statistics.js';

/** Deployment size and load for which the capacity is estimated. */
export const TARGET_SCALE = {
  entries: 400,
  agents: 5_100,
  failureDomains: 8,
  trainers: 9,
  samplesPerStep: 1_024,
  requestsPerSecond: 17_000,
  tokensPerSecond: 6_000_000,
  changesPerDay: 2_700,
  stepMs: 660_000,
  entriesPerAgent: 3,
  /** Configuration records, mostly API keys, accounts and upstreams. */
  records: 5_000,
} as const;

/**
 * Budget of the control plane for each instance; `appendsPerSecond` is the
 * budget of each log.
 */
export const CONTROL_BUDGET = {
  cpuMsPerSecond: 32,
  bytesPerSecond: 18_000,
  memoryBytes: 128_000_000,
  appendsPerSecond: 200,
} as const;

const SECONDS_PER_DAY = 86_400;
/**
 * Appends per second for acknowledgements, assumed to be batched into one
 * append per second and trainer.
 */
const DELIVERY_APPENDS = TARGET_SCALE.trainers;

/** Lines fitted to the series of `slopeMeasurements.ts`, by series name. */
export type FitsByName = ReadonlyMap<string, LinearFit>;

/** Estimated use of one resource at the target scale, and its budget. */
export interface CapacityEstimate {
  role: string;
  resource: string;
  value: number;
  unit: string;
  budget: number;
  /** How the design keeps the cost low. */
  mechanism: string;
}

/** Number of agents that poll one entry at the target scale. */
export function getAgentsPerEntry(): number {
  return (
    (TARGET_SCALE.agents * TARGET_SCALE.entriesPerAgent) / TARGET_SCALE.entries
  );
}

/** Extrapolates the measured fits to the target scale. */
export function estimateCapacity(fits: FitsByName): CapacityEstimate[] {
  const slope = (name: string) => fits.get(name)?.slope ?? NaN;
  const intercept = (name: string) => fits.get(name)?.intercept ?? NaN;
  const predict = (name: string, size: number) =>
    intercept(name) + slope(name) * Math.max(0, size);
  const agents = getAgentsPerEntry();
  const changesPerSecond = TARGET_SCALE.changesPerDay / SECONDS_PER_DAY;
  const changeMs =
    predict('change processor', agents) +
    slope('change by records held') * TARGET_SCALE.records;
  const entryCpu =
    intercept('entry processor') +
    slope('poll processor') * agents +
    changesPerSecond * changeMs;
  const entryBytes =
    predict('poll traffic', agents) +
    changesPerSecond * predict('change traffic', agents) +
    intercept('log tail traffic') +
    intercept('instance list traffic');
  const entryMemory =
    intercept('entry memory') +
    Math.max(0, slope('record memory')) * TARGET_SCALE.records +
    Math.max(0, slope('instance memory')) *
      (TARGET_SCALE.agents + TARGET_SCALE.entries) +
    Math.max(0, slope('agent memory at entry')) * agents;
  const agentBytes =
    TARGET_SCALE.entriesPerAgent *
    (slope('poll traffic') + changesPerSecond * slope('change traffic'));
  return [
    {
      role: 'entry',
      resource: 'CPU time for control',
      value: entryCpu,
      unit: 'ms/s',
      budget: CONTROL_BUDGET.cpuMsPerSecond,
      mechanism:
        'each agent long-polls 3 entries; entries read the log by long poll',
    },
    {
      role: 'entry',
      resource: 'traffic for control',
      value: entryBytes,
      unit: 'B/s',
      budget: CONTROL_BUDGET.bytesPerSecond,
      mechanism:
        'agents receive views instead of the full state, and only from some entries',
    },
    {
      role: 'entry',
      resource: 'memory for control',
      value: entryMemory,
      unit: 'B',
      budget: CONTROL_BUDGET.memoryBytes,
      mechanism: 'the state is materialized once; tables are bounded',
    },
    {
      role: 'agent',
      resource: 'CPU time for control',
      value: intercept('agent processor'),
      unit: 'ms/s',
      budget: CONTROL_BUDGET.cpuMsPerSecond,
      mechanism:
        'long polls; the agent reads the status of its own upstream 4 times a second',
    },
    {
      role: 'agent',
      resource: 'traffic for control',
      value: agentBytes,
      unit: 'B/s',
      budget: CONTROL_BUDGET.bytesPerSecond,
      mechanism: 'the agent receives a view of its own pool only',
    },
    {
      role: 'agent',
      resource: 'memory',
      value: intercept('agent memory'),
      unit: 'B',
      budget: CONTROL_BUDGET.memoryBytes,
      mechanism:
        'agents do not hold the full state; the dedup table is bounded',
    },
    {
      role: 'log',
      resource: 'appends',
      value: intercept('log appends') + changesPerSecond + DELIVERY_APPENDS,
      unit: '1/s',
      budget: CONTROL_BUDGET.appendsPerSecond,
      mechanism:
        'nothing on the request path appends; acknowledgements are appended in batches',
    },
    {
      role: 'entry',
      resource: 'CPU time for forwarding requests',
      value:
        (slope('entry request') * TARGET_SCALE.requestsPerSecond) /
        TARGET_SCALE.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'the load balancer spreads requests evenly',
    },
    {
      role: 'entry',
      resource: 'CPU time for forwarding tokens',
      value:
        (slope('entry token') * TARGET_SCALE.tokensPerSecond) /
        TARGET_SCALE.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'the load balancer spreads requests evenly',
    },
    {
      role: 'agent',
      resource: 'CPU time for forwarding tokens',
      value:
        (slope('agent token') * TARGET_SCALE.tokensPerSecond) /
        TARGET_SCALE.agents,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'one agent per upstream',
    },
  ];
}

/** Returns 'within' or 'over', or '' for a resource without a budget. */
export function getBudgetVerdict(estimate: CapacityEstimate): string {
  if (Number.isNaN(estimate.budget)) return '';
  return estimate.value <= estimate.budget ? 'within' : 'over';
}
