import type {ChoicePolicy} from '@vanillacross/domain';

import {runRoutingModel} from './routingModel.js';
import {getMedian} from './statistics.js';
import type {Bench, Measurement} from './types.js';

const POLICIES: ChoicePolicy[] = [
  'score',
  'random',
  'roundRobin',
  'leastInFlight',
];
const SIZES = [6, 60];
const SEEDS = [1, 2, 3, 4, 5];

interface Outcome {
  p99Ms: number;
  hitRate: number;
}

function measurePolicy(policy: ChoicePolicy, upstreams: number): Outcome {
  const runs = SEEDS.map(seed => runRoutingModel({policy, upstreams, seed}));
  return {
    p99Ms: getMedian(runs.map(run => run.p99Ms)),
    hitRate: getMedian(runs.map(run => run.hitRate)),
  };
}

function run(): Promise<Measurement> {
  const rows: string[][] = [];
  const details: Record<string, number> = {};
  let isMet = true;
  let figure = 0;
  let baseline = 0;
  for (const size of SIZES) {
    const outcomes = new Map(POLICIES.map(p => [p, measurePolicy(p, size)]));
    for (const [policy, {p99Ms, hitRate}] of outcomes) {
      rows.push([
        String(size),
        policy,
        p99Ms.toFixed(0),
        `${(hitRate * 100).toFixed(1)} %`,
      ]);
      details[`${policy}${size}P99Ms`] = p99Ms;
      details[`${policy}${size}HitRate`] = hitRate;
    }
    const scoreOutcome = outcomes.get('score')!;
    const others = POLICIES.slice(1).map(policy => outcomes.get(policy)!);
    const bestP99Ms = Math.min(...others.map(({p99Ms}) => p99Ms));
    const bestHitRate = Math.max(...others.map(({hitRate}) => hitRate));
    isMet &&=
      scoreOutcome.p99Ms <= bestP99Ms && scoreOutcome.hitRate > bestHitRate;
    figure = scoreOutcome.p99Ms;
    baseline = bestP99Ms;
  }
  return Promise.resolve({
    headers: ['upstreams', 'policy', 'p99 ms', 'prefix hits'],
    rows,
    figure,
    baseline,
    details,
    conclusion: `${isMet ? 'better' : 'not better'} than the best baseline in p99 latency and prefix hit rate at both sizes`,
  });
}

export const routing: Bench = {
  name: 'routing',
  summary:
    'routing policies in a discrete-event simulation with delayed load reports',
  run,
};
