import {parseJson} from '@vanillacross/common';

import type {RecordCheck} from './demoReporter.js';

/** A trainer of the demo and where it sends its steps. */
export interface DemoTrainerOptions {
  /** Base URL of an entry. */
  entryUrl: string;
  /** Base URL of the weight store. */
  weightStoreUrl: string;
  /** Id of the trainer's record. */
  trainerId: string;
  model: string;
  /** Key of the trainer's client account. */
  apiKey: string;
}

interface Sample {
  sampleId: string;
  text: string;
  /** Weight versions and the tokens that each produced. */
  spans: Array<[number, number]>;
}

const GROUPS = 4;
const SAMPLES_PER_GROUP = 4;
const MAX_TOKENS = 8;
const STEP = 1;
/** Engines of the demo start with version 1. */
const PUBLISHED_VERSION = 2;
const WEIGHT_BYTES = 1_000_000;

async function post(
  url: string,
  key: string,
  body: unknown,
): Promise<Response> {
  const answer = await fetch(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  if (answer.ok) return answer;
  throw new Error(`${url}: ${answer.status} ${await answer.text()}`);
}

/** Reads one delivery; `isComplete` is false without the line that ends it. */
async function receive(
  url: string,
  key: string,
  received: string[],
): Promise<{samples: Sample[]; isComplete: boolean}> {
  const answer = await post(`${url}/deliveries`, key, {received});
  const lines = (await answer.text()).split('\n').filter(line => line !== '');
  const values = lines.map(line => {
    const parsed = parseJson(line);
    return parsed.ok ? (parsed.value as Partial<Sample> & {end?: true}) : {};
  });
  return {
    samples: values.filter(value => value.sampleId !== undefined) as Sample[],
    isComplete: values.at(-1)?.end === true,
  };
}

/**
 * Runs one step of a trainer against section 11 of the design: publishes
 * weights, submits a step, and receives and acknowledges each sample once.
 */
export async function demoTrainerStep(
  demo: DemoTrainerOptions,
  check: RecordCheck,
): Promise<void> {
  const {
    entryUrl: entry,
    weightStoreUrl: weights,
    trainerId: trainer,
    model,
    apiKey: key,
  } = demo;
  const url = `${entry}/v1/trainers/${trainer}/steps/${STEP}`;
  const version = {version: PUBLISHED_VERSION, bytes: WEIGHT_BYTES, trainer};
  await post(`${weights}/v1/weights/${model}`, key, version);
  const groups = Array.from({length: GROUPS}, (_, group) => ({
    group,
    prompt: `explain pump fault ${group}`,
    count: SAMPLES_PER_GROUP,
    maxTokens: MAX_TOKENS,
  }));
  const submitted = await post(url, key, {groups, policyVersion: 1});
  const {sampleCount} = (await submitted.json()) as {sampleCount: number};
  const wanted = GROUPS * SAMPLES_PER_GROUP;
  check(`a step of ${sampleCount} samples is accepted`, sampleCount === wanted);
  const {samples, isComplete} = await receive(url, key, []);
  const ids = samples.map(({sampleId}) => sampleId);
  check('the delivery is complete', isComplete);
  check(
    `${ids.length} samples arrived, each once`,
    ids.length === wanted && new Set(ids).size === wanted,
  );
  check(
    'each sample names the weight versions of its tokens',
    samples.every(({spans}) => {
      const tokens = spans.reduce((sum, [, count]) => sum + count, 0);
      return tokens > 0 && tokens <= MAX_TOKENS;
    }),
  );
  await post(`${url}/acknowledgements`, key, {sampleIds: ids});
  const again = await receive(url, key, ids);
  check(
    `after the acknowledgement ${again.samples.length} samples arrive again`,
    again.isComplete && again.samples.length === 0,
  );
}
