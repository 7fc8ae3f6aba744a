import {estimateCapacity, getBudgetVerdict} from './capacity.js';
import {
  measureAgentSeries,
  measureIdleSeries,
  measureStateSeries,
  measureTrafficSeries,
} from './slopeMeasurements.js';
import type {MeasurementSeries} from './slopeMeasurements.js';
import {fitLine} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const AGENT_SIZES = [19, 76, 152];
const RECORD_SIZES = [500, 2_000, 5_000];
const INSTANCE_SIZES = [500, 2_000, 5_500];
const ENTRY_SIZES = [2, 4, 8];
const REQUEST_WORKERS = [1, 4, 16];
const STREAMS = [4, 16, 32];

function getRow(slope: MeasurementSeries): string[] {
  const line = fitLine(slope.points);
  const points = slope.points.map(([x, y]) => `${x}: ${y.toPrecision(4)}`);
  return [
    slope.name,
    `${line.slope.toPrecision(4)} ${slope.unit} per ${slope.per}`,
    `${line.intercept.toPrecision(4)} ${slope.unit}`,
    points.join(', '),
  ];
}

async function run(): Promise<Measurement> {
  const slopes = [
    ...(await measureTrafficSeries(REQUEST_WORKERS, STREAMS)),
    ...(await measureStateSeries(RECORD_SIZES, INSTANCE_SIZES)),
    ...(await measureIdleSeries(ENTRY_SIZES)),
    ...(await measureAgentSeries(AGENT_SIZES)),
  ];
  const lines = new Map(
    slopes.map(slope => [slope.name, fitLine(slope.points)]),
  );
  const target = estimateCapacity(lines).map(line => [
    `target, ${line.role}: ${line.resource}`,
    `${line.value.toPrecision(4)} ${line.unit}`,
    Number.isNaN(line.budget) ? '' : `budget ${line.budget}`,
    getBudgetVerdict(line),
  ]);
  const details = Object.fromEntries(
    slopes.map(slope => [
      `${slope.name}, ${slope.unit} per ${slope.per}`,
      fitLine(slope.points).slope,
    ]),
  );
  return {
    headers: ['line', 'slope', 'at zero', 'measured (size: value)'],
    rows: [...slopes.map(getRow), ...target],
    figure: slopes.length,
    baseline: 0,
    details,
    conclusion: 'docs/CAPACITY.md works the target size out of these slopes',
  };
}

export const slopesBench: Bench = {
  name: 'slopes',
  summary: 'cost by size, at three sizes each; takes about four minutes',
  run,
};
