import {parseJson} from '@vanillacross/common';

import type {RecordCheck} from './demoReporter.js';

/** A trainer of the demo and the services that it uses. */
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
  /** Pairs of weight version and number of tokens that it generated. */
  spans: Array<[number, number]>;
}

const GROUPS = 4;
const SAMPLES_PER_GROUP = 4;
const MAX_TOKENS = 8;
const STEP = 1;
/**
 * Weight version that the trainer publishes; the engines of the demo start with
 * version 1.
 */
const PUBLISHED_VERSION = 2;
const WEIGHT_BYTES = 1_000_000;

async function postJson(
  url: string,
  key: string,
  body: unknown,
): Promise<Response> {
  const response = await fetch(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  if (response.ok) return response;
  throw new Error(`${url}: ${response.status} ${await response.text()}`);
}

/** Reads one delivery; `isComplete` is false if its final line is missing. */
async function receiveDelivery(
  url: string,
  key: string,
  received: string[],
): Promise<{samples: Sample[]; isComplete: boolean}> {
  const response = await postJson(`${url}/deliveries`, key, {received});
  const lines = (await response.text()).split('\n').filter(line => line !== '');
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
 * Runs one training step: publishes weights, submits a step, and receives and
 * acknowledges each sample once.
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
  await postJson(`${weights}/v1/weights/${model}`, key, version);
  const groups = Array.from({length: GROUPS}, (_, group) => ({
    group,
    prompt: `explain pump fault ${group}`,
    count: SAMPLES_PER_GROUP,
    maxTokens: MAX_TOKENS,
  }));
  const submitted = await postJson(url, key, {groups, policyVersion: 1});
  const {sampleCount} = (await submitted.json()) as {sampleCount: number};
  const wanted = GROUPS * SAMPLES_PER_GROUP;
  check(`a step of ${sampleCount} samples is accepted`, sampleCount === wanted);
  const {samples, isComplete} = await receiveDelivery(url, key, []);
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
  await postJson(`${url}/acknowledgements`, key, {sampleIds: ids});
  const redelivery = await receiveDelivery(url, key, ids);
  check(
    `after the acknowledgement ${redelivery.samples.length} samples arrive again`,
    redelivery.isComplete && redelivery.samples.length === 0,
  );
}
