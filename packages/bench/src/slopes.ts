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

function getRow(series: MeasurementSeries): string[] {
  const fit = fitLine(series.points);
  const points = series.points.map(([x, y]) => `${x}: ${y.toPrecision(4)}`);
  return [
    series.name,
    `${fit.slope.toPrecision(4)} ${series.unit} per ${series.sizeUnit}`,
    `${fit.intercept.toPrecision(4)} ${series.unit}`,
    points.join(', '),
  ];
}

async function run(): Promise<Measurement> {
  const seriesList = [
    ...(await measureTrafficSeries(REQUEST_WORKERS, STREAMS)),
    ...(await measureStateSeries(RECORD_SIZES, INSTANCE_SIZES)),
    ...(await measureIdleSeries(ENTRY_SIZES)),
    ...(await measureAgentSeries(AGENT_SIZES)),
  ];
  const fits = new Map(
    seriesList.map(series => [series.name, fitLine(series.points)]),
  );
  const targetRows = estimateCapacity(fits).map(estimate => [
    `target, ${estimate.role}: ${estimate.resource}`,
    `${estimate.value.toPrecision(4)} ${estimate.unit}`,
    Number.isNaN(estimate.budget) ? '' : `budget ${estimate.budget}`,
    getBudgetVerdict(estimate),
  ]);
  const details = Object.fromEntries(
    seriesList.map(series => [
      `${series.name}, ${series.unit} per ${series.sizeUnit}`,
      fitLine(series.points).slope,
    ]),
  );
  return {
    headers: [
      'line',
      'slope',
      'intercept (of a target: budget)',
      'measured (size: value)',
    ],
    rows: [...seriesList.map(getRow), ...targetRows],
    figure: seriesList.length,
    baseline: 0,
    details,
    conclusion:
      'docs/CAPACITY.md derives the use at the target scale from these slopes',
  };
}

export const slopes: Bench = {
  name: 'slopes',
  summary:
    'cost by size, measured at three sizes each; takes about four minutes',
  run,
};
