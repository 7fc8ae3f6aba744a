import type {LinearFit} from './statistics.js';

/** The target size; one place for every figure of the target. */
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
  /** Configuration records, mostly keys, accounts and upstreams. */
  records: 5_000,
} as const;

/** Budget of a node for control. */
export const CONTROL_BUDGET = {
  cpuMsPerSecond: 32,
  bytesPerSecond: 18_000,
  memoryBytes: 128_000_000,
  appendsPerSecond: 200,
} as const;

const SECONDS_PER_DAY = 86_400;
/** Clear of the log: acknowledgements are written once a second a trainer. */
const DELIVERY_APPENDS = TARGET_SCALE.trainers;

/** Slopes by name, as `slopeRuns.ts` measured them. */
export type FitsByName = ReadonlyMap<string, LinearFit>;

/** One line of the capacity page. */
export interface CapacityEstimate {
  role: string;
  resource: string;
  value: number;
  unit: string;
  budget: number;
  mechanism: string;
}

/** Polling agents of one entry at the target. */
export function getAgentsPerEntry(): number {
  return (
    (TARGET_SCALE.agents * TARGET_SCALE.entriesPerAgent) / TARGET_SCALE.entries
  );
}

/** Works the target size out of measured slopes. */
export function estimateCapacity(slopes: FitsByName): CapacityEstimate[] {
  const slope = (name: string) => slopes.get(name)?.slope ?? NaN;
  const base = (name: string) => slopes.get(name)?.intercept ?? NaN;
  const at = (name: string, size: number) =>
    base(name) + slope(name) * Math.max(0, size);
  const agents = getAgentsPerEntry();
  const changesPerSecond = TARGET_SCALE.changesPerDay / SECONDS_PER_DAY;
  const changeMs =
    at('change processor', agents) +
    slope('change by records held') * TARGET_SCALE.records;
  const entryCpu =
    base('entry processor') +
    slope('poll processor') * agents +
    changesPerSecond * changeMs;
  const entryBytes =
    at('poll traffic', agents) +
    changesPerSecond * at('change traffic', agents) +
    base('log tail traffic') +
    base('instance list traffic');
  const entryMemory =
    base('entry memory') +
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
      resource: 'processor for control',
      value: entryCpu,
      unit: 'ms/s',
      budget: CONTROL_BUDGET.cpuMsPerSecond,
      mechanism: 'held polls of 3 entries per agent; log tail by long poll',
    },
    {
      role: 'entry',
      resource: 'traffic for control',
      value: entryBytes,
      unit: 'B/s',
      budget: CONTROL_BUDGET.bytesPerSecond,
      mechanism: 'views instead of the whole state; subsets, no full mesh',
    },
    {
      role: 'entry',
      resource: 'memory for control',
      value: entryMemory,
      unit: 'B',
      budget: CONTROL_BUDGET.memoryBytes,
      mechanism: 'one folded state; bounded tables',
    },
    {
      role: 'agent',
      resource: 'processor for control',
      value: base('agent processor'),
      unit: 'ms/s',
      budget: CONTROL_BUDGET.cpuMsPerSecond,
      mechanism: 'held polls; status of its own upstream 4 times a second',
    },
    {
      role: 'agent',
      resource: 'traffic for control',
      value: agentBytes,
      unit: 'B/s',
      budget: CONTROL_BUDGET.bytesPerSecond,
      mechanism: 'a view of its own pool only',
    },
    {
      role: 'agent',
      resource: 'memory',
      value: base('agent memory'),
      unit: 'B',
      budget: CONTROL_BUDGET.memoryBytes,
      mechanism: 'no whole state at the agent; bounded dedup table',
    },
    {
      role: 'log',
      resource: 'appends',
      value: base('log appends') + changesPerSecond + DELIVERY_APPENDS,
      unit: '1/s',
      budget: CONTROL_BUDGET.appendsPerSecond,
      mechanism: 'nothing on the request path appends; batched deliveries',
    },
    {
      role: 'entry',
      resource: 'requests passed (not control)',
      value:
        (slope('entry request') * TARGET_SCALE.requestsPerSecond) /
        TARGET_SCALE.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'even spread by the balancer',
    },
    {
      role: 'entry',
      resource: 'tokens passed (not control)',
      value:
        (slope('entry token') * TARGET_SCALE.tokensPerSecond) /
        TARGET_SCALE.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'even spread by the balancer',
    },
    {
      role: 'agent',
      resource: 'tokens passed (not control)',
      value:
        (slope('agent token') * TARGET_SCALE.tokensPerSecond) /
        TARGET_SCALE.agents,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'one agent per upstream',
    },
  ];
}

/** Says whether a line keeps its budget; '' for lines without one. */
export function getBudgetVerdict(line: CapacityEstimate): string {
  if (Number.isNaN(line.budget)) return '';
  return line.value <= line.budget ? 'within' : 'over';
}
