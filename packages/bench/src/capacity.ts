import type {Line} from './statistics.js';

/** The target size; one place for every figure of the target. */
export const TARGET = {
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
export const BUDGET = {
  cpuMsPerSecond: 32,
  bytesPerSecond: 18_000,
  memoryBytes: 128_000_000,
  appendsPerSecond: 200,
} as const;

const SECONDS_PER_DAY = 86_400;
/** Clear of the log: acknowledgements are written once a second a trainer. */
const DELIVERY_APPENDS = TARGET.trainers;

/** Slopes by name, as `slopeRuns.ts` measured them. */
export type Slopes = ReadonlyMap<string, Line>;

/** One line of the capacity page. */
export interface CapacityLine {
  role: string;
  line: string;
  value: number;
  unit: string;
  budget: number;
  mechanism: string;
}

/** Polling agents of one entry at the target. */
export function getAgentsPerEntry(): number {
  return (TARGET.agents * TARGET.entriesPerAgent) / TARGET.entries;
}

/** Works the target size out of measured slopes. */
export function getCapacityLines(slopes: Slopes): CapacityLine[] {
  const slope = (name: string) => slopes.get(name)?.slope ?? NaN;
  const base = (name: string) => slopes.get(name)?.intercept ?? NaN;
  const at = (name: string, size: number) =>
    base(name) + slope(name) * Math.max(0, size);
  const agents = getAgentsPerEntry();
  const changesPerSecond = TARGET.changesPerDay / SECONDS_PER_DAY;
  const changeMs =
    at('change processor', agents) +
    slope('change by records held') * TARGET.records;
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
    Math.max(0, slope('record memory')) * TARGET.records +
    Math.max(0, slope('instance memory')) * (TARGET.agents + TARGET.entries) +
    Math.max(0, slope('agent memory at entry')) * agents;
  const agentBytes =
    TARGET.entriesPerAgent *
    (slope('poll traffic') + changesPerSecond * slope('change traffic'));
  return [
    {
      role: 'entry',
      line: 'processor for control',
      value: entryCpu,
      unit: 'ms/s',
      budget: BUDGET.cpuMsPerSecond,
      mechanism: 'held polls of 3 entries per agent; log tail by long poll',
    },
    {
      role: 'entry',
      line: 'traffic for control',
      value: entryBytes,
      unit: 'B/s',
      budget: BUDGET.bytesPerSecond,
      mechanism: 'views instead of the whole state; subsets, no full mesh',
    },
    {
      role: 'entry',
      line: 'memory for control',
      value: entryMemory,
      unit: 'B',
      budget: BUDGET.memoryBytes,
      mechanism: 'one folded state; bounded tables',
    },
    {
      role: 'agent',
      line: 'processor for control',
      value: base('agent processor'),
      unit: 'ms/s',
      budget: BUDGET.cpuMsPerSecond,
      mechanism: 'held polls; status of its own upstream 4 times a second',
    },
    {
      role: 'agent',
      line: 'traffic for control',
      value: agentBytes,
      unit: 'B/s',
      budget: BUDGET.bytesPerSecond,
      mechanism: 'a view of its own pool only',
    },
    {
      role: 'agent',
      line: 'memory',
      value: base('agent memory'),
      unit: 'B',
      budget: BUDGET.memoryBytes,
      mechanism: 'no whole state at the agent; bounded dedup table',
    },
    {
      role: 'log',
      line: 'appends',
      value: base('log appends') + changesPerSecond + DELIVERY_APPENDS,
      unit: '1/s',
      budget: BUDGET.appendsPerSecond,
      mechanism: 'nothing on the request path appends; batched deliveries',
    },
    {
      role: 'entry',
      line: 'requests passed (not control)',
      value:
        (slope('entry request') * TARGET.requestsPerSecond) / TARGET.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'even spread by the balancer',
    },
    {
      role: 'entry',
      line: 'tokens passed (not control)',
      value: (slope('entry token') * TARGET.tokensPerSecond) / TARGET.entries,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'even spread by the balancer',
    },
    {
      role: 'agent',
      line: 'tokens passed (not control)',
      value: (slope('agent token') * TARGET.tokensPerSecond) / TARGET.agents,
      unit: 'ms/s',
      budget: NaN,
      mechanism: 'one agent per upstream',
    },
  ];
}

/** Says whether a line keeps its budget; '' for lines without one. */
export function getVerdict(line: CapacityLine): string {
  if (Number.isNaN(line.budget)) return '';
  return line.value <= line.budget ? 'within' : 'over';
}
