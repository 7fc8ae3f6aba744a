import {getHash32, parseJson} from '@vanillacross/common';
import type {FaultProxy} from '@vanillacross/standins';
import {createFaultProxy, getTokenText} from '@vanillacross/standins';
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import {after, before, describe, it} from 'node:test';

import type {Deployment, RunningEntry} from './deployment.js';
import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from './deployment.js';

const KEY = 'sk-coach';
const MODEL = 'coach';
const MAX_AGE = 1;
const MAX_TOKENS = 100;
const STEP_TIMEOUT_MS = 60_000;
const GROUPS = Array.from({length: 20}, (_, group) => ({
  group,
  prompt: `pump ${group} shows fault ${group * 7}`,
  count: 4,
  maxTokens: MAX_TOKENS,
}));
const SAMPLE_COUNT = 80;

interface DeliveredSample {
  sampleId: string;
  group: number;
  index: number;
  text: string;
  tokens: number;
  spans: Array<[number, number]>;
  score: number;
}

interface DeliveryEnd {
  end: true;
  delivered: number;
  missing: number;
}

interface Delivery {
  status: number;
  lines: DeliveredSample[];
  /** Null if the stream was cut off. */
  end: DeliveryEnd | null;
}

/**
 * A trainer that keeps each sample it receives and records repeated and
 * outdated ones.
 */
class TestTrainer {
  readonly samples = new Map<string, DeliveredSample>();
  readonly repeated: string[] = [];
  readonly outdated: string[] = [];

  constructor(private readonly step: string) {}

  private post(
    base: string,
    path: string,
    body: unknown,
    onChunk: (text: string, request: http.ClientRequest) => void,
  ): Promise<number> {
    return new Promise(resolve => {
      let status = 0;
      const request = http.request(
        `${base}/v1/trainers/coach/steps/${this.step}${path}`,
        {method: 'POST', headers: {authorization: `Bearer ${KEY}`}},
      );
      request.on('error', () => resolve(status));
      request.on('response', response => {
        status = response.statusCode ?? 0;
        response.setEncoding('utf8');
        response.on('data', (text: string) => onChunk(text, request));
        response.on('error', () => {});
        response.on('close', () => resolve(status));
      });
      request.end(JSON.stringify(body));
    });
  }

  async call(base: string, path: string, body: unknown) {
    let text = '';
    const status = await this.post(base, path, body, part => (text += part));
    const json = parseJson(text);
    return {status, body: json.ok ? json.value : null};
  }

  submit(base: string) {
    return this.call(base, '', {groups: GROUPS, policyVersion: 1});
  }

  getVersions(): Set<number> {
    const spans = [...this.samples.values()].flatMap(sample => sample.spans);
    return new Set(spans.map(([version]) => version));
  }

  /** Reads a delivery; closes the connection once `isEnough` returns true. */
  async receiveDelivery(
    base: string,
    received: string[] = [...this.samples.keys()],
    isEnough: () => boolean = () => false,
  ): Promise<Delivery> {
    const delivery: Delivery = {status: 0, lines: [], end: null};
    let rest = '';
    let newest = 0;
    const readLine = (text: string) => {
      const line = JSON.parse(text) as DeliveredSample | DeliveryEnd;
      if ('end' in line) {
        delivery.end = line;
        return;
      }
      delivery.lines.push(line);
      if (this.samples.has(line.sampleId)) this.repeated.push(line.sampleId);
      this.samples.set(line.sampleId, line);
      const versions = line.spans.map(([version]) => version);
      newest = Math.max(newest, ...versions);
      if (newest - Math.min(...versions) > MAX_AGE) {
        this.outdated.push(line.sampleId);
      }
    };
    delivery.status = await this.post(
      base,
      '/deliveries',
      {received},
      (text, request) => {
        const lines = (rest + text).split('\n');
        rest = lines.pop() ?? '';
        for (const line of lines) readLine(line);
        if (isEnough()) request.destroy();
      },
    );
    return delivery;
  }
}

/** Returns the text that the weight versions in a sample's spans generate. */
function getExpectedText({sampleId, group, spans}: DeliveredSample): string {
  const {prompt} = GROUPS[group];
  const seed = getHash32(sampleId);
  let index = 0;
  let text = '';
  for (const [weightVersion, tokens] of spans) {
    for (let i = 0; i < tokens; i++) {
      text += getTokenText({prompt, seed, weightVersion}, index++);
    }
  }
  return text;
}

function assertSamples(trainer: TestTrainer): void {
  assert.deepEqual(trainer.repeated, [], 'a sample arrived twice');
  assert.deepEqual(
    trainer.outdated,
    [],
    'a sample spans too many weight versions',
  );
  for (const sample of trainer.samples.values()) {
    assert.equal(sample.tokens, MAX_TOKENS);
    assert.equal(sample.text, getExpectedText(sample), sample.sampleId);
    assert.equal(typeof sample.score, 'number');
  }
}

describe('samples', {timeout: 180_000}, () => {
  let deployment: Deployment;
  let proxy: FaultProxy;
  let first: RunningEntry;
  let second: RunningEntry;

  before(async () => {
    deployment = await startDeployment({
      domains: ['domain-a', 'domain-b'],
      entries: 2,
      pools: [
        {
          id: 'engines',
          body: {kind: 'engine', model: MODEL, maxConcurrent: 4},
          upstreams: 4,
          engine: {model: MODEL, weightVersion: 1, tokenMs: 8},
        },
      ],
      records: [
        ...createAccountRecords('coach', KEY),
        ...createAccountRecords('other', 'sk-other'),
        createRecord('trainer', 'coach', {
          account: 'coach',
          model: MODEL,
          maxVersionAge: MAX_AGE,
        }),
      ],
    });
    // Waits for the first rollout, because a new agent accepts no orders until
    // those to its predecessor have expired.
    deployment.platform.weights.publish(MODEL, 2, 1_000);
    await waitUntil('all engines serve version 2', () =>
      deployment.agents.every(({engine}) =>
        engine
          ?.getAudit()
          .orders.some(
            ({action, version, outcome}) =>
              action !== 'stage' && version === 2 && outcome.status === 'done',
          ),
      ),
    );
    [first, second] = deployment.entries;
    proxy = await createFaultProxy({target: new URL(first.url).host});
  });
  after(async () => {
    await proxy?.close();
    await deployment?.stop();
  });

  // Guards against samples that are lost, delivered twice, unlabelled or
  // outdated after weight swaps, broken connections and the crash of an entry
  // in mid-step (requirements R1, R2 and R3).
  it('delivers each sample once, with its weight versions and none outdated, despite swaps, broken streams and a crashed entry', async () => {
    const {weights} = deployment.platform;
    const trainer = new TestTrainer('step-1');
    const submitted = await trainer.submit(proxy.url);
    assert.deepEqual(submitted.body, {
      accepted: true,
      sampleCount: SAMPLE_COUNT,
    });
    // Resets at several lengths: in the head, within lines and between lines.
    for (const bytes of [40, 300, 1_500, 2_500]) {
      proxy.setFault({backward: {resetAfterBytes: bytes}});
      const cut = await trainer.receiveDelivery(proxy.url);
      assert.equal(cut.end, null, 'a broken stream has an end line');
    }
    proxy.clearFault();
    weights.publish(MODEL, 3, 1_000);
    await trainer.receiveDelivery(proxy.url, undefined, () =>
      trainer.getVersions().has(3),
    );
    weights.publish(MODEL, 4, 1_000);
    const enough = trainer.samples.size + 4;
    await trainer.receiveDelivery(
      proxy.url,
      undefined,
      () => trainer.samples.size >= enough,
    );

    // Only some of the received samples are acknowledged and recorded.
    const acknowledged = [...trainer.samples.keys()].slice(0, 4);
    const response = await trainer.call(proxy.url, '/acknowledgements', {
      sampleIds: acknowledged,
    });
    assert.deepEqual(response.body, {recorded: true});
    assert.ok(
      trainer.samples.size < SAMPLE_COUNT,
      'all samples arrived before the entry is killed',
    );
    await deployment.remove(first);
    // Waits for version 4, which must generate the remaining samples.
    await waitUntil(
      'an engine serves version 4',
      () =>
        deployment.agents.some(({engine}) =>
          engine
            ?.getAudit()
            .orders.some(
              ({action, version, outcome}) =>
                action !== 'stage' &&
                version === 4 &&
                outcome.status === 'done',
            ),
        ),
      STEP_TIMEOUT_MS,
    );

    const unknown = await trainer.receiveDelivery(second.url);
    assert.equal(unknown.status, 404, 'the other entry does not know the step');
    assert.equal((await trainer.submit(second.url)).status, 200);
    const rest = await trainer.receiveDelivery(second.url);
    assert.equal(rest.end?.missing, 0);
    assert.equal(rest.end?.delivered, rest.lines.length);
    assert.equal(trainer.samples.size, SAMPLE_COUNT);
    assertSamples(trainer);
    assert.ok(trainer.getVersions().has(4), 'weights changed in mid-step');
    const mixedVersionSamples = [...trainer.samples.values()].filter(
      ({spans}) => spans.length > 1,
    );
    assert.ok(
      mixedVersionSamples.length > 0,
      'some sample has tokens of several weight versions',
    );
  });

  // Guards against acknowledgements that only one entry knows.
  it('sends nothing again to a trainer that lost its state', async () => {
    const trainer = new TestTrainer('step-2');
    await trainer.submit(second.url);
    const delivery = await trainer.receiveDelivery(second.url);
    assert.equal(delivery.lines.length, SAMPLE_COUNT);
    assertSamples(trainer);
    const response = await trainer.call(second.url, '/acknowledgements', {
      sampleIds: [...trainer.samples.keys()],
    });
    assert.deepEqual(response.body, {recorded: true});
    const third = await deployment.addEntry('domain-a');
    const fresh = new TestTrainer('step-2');
    await waitUntil(
      'the new entry accepts the step',
      async () => (await fresh.submit(third.url)).status === 200,
      STEP_TIMEOUT_MS,
    );
    const nothing = await fresh.receiveDelivery(third.url, []);
    assert.deepEqual(nothing.end, {end: true, delivered: 0, missing: 0});
  });

  // Guards against steps that another account submits and steps that change
  // after they were accepted (requirement R4).
  it('refuses other accounts and changed steps', async () => {
    const path = `${second.url}/v1/trainers/coach/steps/step-3`;
    const body = (count: number) =>
      JSON.stringify({
        groups: [{group: 0, prompt: 'p', count, maxTokens: 1}],
        policyVersion: 1,
      });
    const send = (key: string, count: number) =>
      fetch(path, {
        method: 'POST',
        headers: {authorization: `Bearer ${key}`},
        body: body(count),
      });
    assert.equal((await send('sk-other', 1)).status, 403);
    assert.equal((await send('sk-none', 1)).status, 401);
    assert.equal((await send(KEY, 1)).status, 200);
    assert.equal((await send(KEY, 2)).status, 409);
    assert.equal((await send(KEY, 5_000)).status, 400);
  });
});
