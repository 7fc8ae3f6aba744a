import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import OpenAI from 'openai';

import type {CommandResult, RunCommand} from './commandLine.js';
import {
  COMMAND_LINE_FILE,
  createCommandLine,
  writeDeclarations,
} from './commandLine.js';
import type {RecordCheck} from './demoReporter.js';
import {createDemoReporter} from './demoReporter.js';
import {demoTrainerStep} from './demoTrainer.js';
import type {Deployment, RunningAgent} from './deployment.js';
import {
  createRecord,
  fetchStatus,
  startDeployment,
  waitUntil,
} from './deployment.js';

const DOMAINS = ['domain-a', 'domain-b'];
const MODEL = 'coach';
/**
 * Length of a usage window, ms. Short, because the demo waits until a window is
 * sealed, 15 s after its end.
 */
const WINDOW_MS = 3_000;
/** Time after which a failure domain that is out gets no new requests, ms. */
const DEPARTURE_DEADLINE_MS = 3_000;
/**
 * Time for which new requests are counted while a failure domain is out, ms.
 */
const OBSERVATION_MS = 2_000;
const TRAFFIC_WORKERS = 4;
const TRAFFIC_PAUSE_MS = 20;
const REPORT_TIMEOUT_MS = 40_000;
const METERED_LOOKUPS = 5;
const LONG_STREAM_TOKENS = 10_000;
/** Interval of a timer that keeps the event loop alive, ms. */
const KEEP_ALIVE_MS = 60_000;
/** Exit code after SIGINT or SIGTERM. */
const EXIT_INTERRUPTED = 130;

/** Handler for SIGINT and SIGTERM; an exit also kills the child processes. */
let interrupt = (): void => process.exit(EXIT_INTERRUPTED);

const RECORDS = {
  'account/desk': {weight: 1},
  'account/meter': {weight: 1},
  'account/trainers': {weight: 1},
  'route/lookups': {
    pathPrefix: '/seats',
    methods: ['GET'],
    pool: 'seats',
    access: ['desk', 'meter'],
    repeat: 'idempotent',
  },
  'route/holds': {
    pathPrefix: '/holds',
    methods: ['POST'],
    pool: 'seats',
    access: ['desk'],
    repeat: 'once',
  },
  'route/completions': {
    pathPrefix: '/v1',
    methods: ['POST'],
    pool: 'engines',
    access: ['desk', 'meter'],
    repeat: 'idempotent',
    timeoutMs: 60_000,
  },
  'trainer/coach-1': {account: 'trainers', model: MODEL, maxVersionAge: 1},
};

interface Demo {
  deployment: Deployment;
  run: RunCommand;
  /** API keys of callers, by account. */
  keys: Record<string, string>;
}

function getHeaders(key: string): Record<string, string> {
  return {authorization: `Bearer ${key}`};
}

function createClient(url: string, apiKey: string): OpenAI {
  return new OpenAI({baseURL: `${url}/v1`, apiKey, maxRetries: 0});
}

function checkCommand(check: RecordCheck, text: string, run: CommandResult) {
  const detail = run.exitCode === 0 ? '' : `: ${run.stderr.trim()}`;
  check(`${text}${detail}`, run.exitCode === 0);
}

async function createKey(
  run: RunCommand,
  id: string,
  account: string,
): Promise<string> {
  const command = ['key', 'create', id, '--account', account];
  const outcome = await run('--output', 'json', ...command);
  if (outcome.exitCode !== 0) throw new Error(outcome.stderr);
  return (JSON.parse(outcome.stdout) as {key: string}).key;
}

async function demoPublish(demo: Demo, check: RecordCheck): Promise<void> {
  const {run, keys} = demo;
  const directory = await mkdtemp(join(tmpdir(), 'vanillacross-demo-'));
  try {
    await writeDeclarations(directory, RECORDS);
    const plan = await run('plan', directory);
    const count = Object.keys(RECORDS).length;
    check(
      `plan shows ${count} changes`,
      plan.stdout.includes(`${count} changes`),
    );
    const apply = await run('apply', directory);
    checkCommand(check, `apply: ${apply.stdout.trim()}`, apply);
  } finally {
    await rm(directory, {recursive: true, force: true});
  }
  for (const account of ['desk', 'meter', 'trainers']) {
    keys[account] = await createKey(run, `${account}-1`, account);
  }
  check('three keys were created', true);
  const status = await run('status');
  checkCommand(check, 'status succeeds', status);
}

async function demoPlainService(demo: Demo, check: RecordCheck): Promise<void> {
  const [first, second] = demo.deployment.entries;
  const headers = getHeaders(demo.keys['desk']);
  const lookup = await fetch(`${first.url}/seats/12`, {headers});
  const found = (await lookup.json()) as {path: string; from: string};
  check(
    `GET /seats/12 through ${first.id}: ${lookup.status} from ${found.from}`,
    lookup.status === 200 && found.path === '/seats/12',
  );
  const refused = await fetchStatus(`${first.url}/seats/12`);
  check(`a request without a key gets status ${refused}`, refused === 401);
  const hold = async (url: string) => {
    const response = await fetch(`${url}/holds`, {
      method: 'POST',
      headers: {
        ...headers,
        'content-type': 'application/json',
        'idempotency-key': 'hold-seat-12',
      },
      body: JSON.stringify({id: 'seat-12'}),
    });
    return {status: response.status, text: await response.text()};
  };
  const one = await hold(first.url);
  const two = await hold(second.url);
  check(`POST /holds through ${first.id}: ${one.status}`, one.status === 200);
  check(
    `the same Idempotency-Key through ${second.id}: the same response`,
    two.status === 200 && two.text === one.text,
  );
  const executions = demo.deployment.agents
    .map(({plain}) => plain?.getExecutions()['seat-12'] ?? 0)
    .reduce((sum, count) => sum + count, 0);
  check(`the call ran ${executions} time in total`, executions === 1);
}

async function demoCompletions(demo: Demo, check: RecordCheck): Promise<void> {
  const [first, second] = demo.deployment.entries;
  const key = demo.keys['desk'];
  const messages = [{role: 'user' as const, content: 'which seats are free'}];
  const plain = await createClient(first.url, key).chat.completions.create({
    model: MODEL,
    messages,
    max_tokens: 12,
  });
  const text = plain.choices[0].message.content ?? '';
  check(
    `a chat completion with ${plain.usage?.completion_tokens} tokens`,
    plain.usage?.completion_tokens === 12 && text.length > 0,
  );
  const stream = await createClient(second.url, key).chat.completions.create({
    model: MODEL,
    messages,
    max_tokens: 12,
    stream: true,
  });
  let streamed = '';
  let reason: string | null = null;
  for await (const chunk of stream) {
    streamed += chunk.choices[0]?.delta.content ?? '';
    reason = chunk.choices[0]?.finish_reason ?? reason;
  }
  check(
    `the same completion as a stream: the same text, ended by "${reason}"`,
    streamed === text && reason === 'length',
  );
}

async function demoWithdrawal(demo: Demo, check: RecordCheck): Promise<void> {
  const {run, deployment} = demo;
  const [first, second] = deployment.entries;
  const key = await createKey(run, 'short', 'desk');
  const stream = await createClient(second.url, key).completions.create({
    model: MODEL,
    prompt: 'a very long story',
    max_tokens: LONG_STREAM_TOKENS,
    stream: true,
  });
  let tokens = 0;
  let failure = '';
  const read = async () => {
    try {
      for await (const chunk of stream) tokens += chunk.choices.length;
    } catch (error) {
      failure = (error as Error).message;
    }
  };
  const reading = read();
  await waitUntil('the stream has begun', () => tokens > 0);
  const command = await run('key', 'withdraw', 'short');
  checkCommand(check, 'the key is withdrawn while its stream is open', command);
  await reading;
  check(
    `the stream ended with an error after ${tokens} tokens: ${failure}`,
    failure !== '' && tokens < LONG_STREAM_TOKENS,
  );
  const headers = getHeaders(key);
  const refused = await fetchStatus(`${first.url}/seats/1`, headers);
  check(
    `a request with the withdrawn key to ${first.id} gets status ${refused}`,
    refused === 401,
  );
}

/** Counts the requests that the agents' upstreams have received so far. */
function countRequests(agents: readonly RunningAgent[]): number {
  return agents
    .map(({plain, engine}) => (plain ?? engine)!.getAudit().requests.length)
    .reduce((sum, requests) => sum + requests, 0);
}

/** Sends lookups through all entries until `end` is called. */
function startTraffic(demo: Demo) {
  const counts = {done: 0, failed: 0};
  const {entries} = demo.deployment;
  const headers = getHeaders(demo.keys['desk']);
  let isEnded = false;
  const runWorker = async (worker: number) => {
    const {url} = entries[worker % entries.length];
    for (let i = 0; !isEnded; i++) {
      const response = await fetch(`${url}/seats/${worker}-${i}`, {
        headers,
      }).catch(() => null);
      await response?.arrayBuffer();
      counts.done++;
      if (response?.status !== 200) counts.failed++;
      await sleep(TRAFFIC_PAUSE_MS);
    }
  };
  const workers = Array.from({length: TRAFFIC_WORKERS}, (_, worker) =>
    runWorker(worker),
  );
  const end = async () => {
    isEnded = true;
    await Promise.all(workers);
    return counts;
  };
  return {end};
}

async function demoFailureDomain(
  demo: Demo,
  check: RecordCheck,
): Promise<void> {
  const {run, deployment} = demo;
  const [, domain] = DOMAINS;
  const inside = deployment.agents.filter(agent => agent.domain === domain);
  const traffic = startTraffic(demo);
  try {
    await waitUntil('traffic runs', () => countRequests(inside) > 0);
    const out = await run('domain', 'out', domain);
    checkCommand(check, `${domain} is out while traffic runs`, out);
    await sleep(DEPARTURE_DEADLINE_MS);
    const before = countRequests(inside);
    await sleep(OBSERVATION_MS);
    const added = countRequests(inside) - before;
    check(`new requests in ${domain} after 3 s: ${added}`, added === 0);
    const back = await run('domain', 'in', domain);
    checkCommand(check, `${domain} is in again`, back);
    await waitUntil(
      `${domain} receives requests`,
      () => countRequests(inside) > before,
    );
    check(`${domain} receives requests again`, true);
  } finally {
    const {done, failed} = await traffic.end();
    check(`${failed} of ${done} requests failed`, done > 0 && failed === 0);
  }
}

async function demoReport(demo: Demo, check: RecordCheck): Promise<void> {
  const [entry] = demo.deployment.entries;
  const {reports} = demo.deployment.platform;
  const key = demo.keys['meter'];
  const expected = {requests: 0, promptTokens: 0, generatedTokens: 0};
  for (let i = 0; i < METERED_LOOKUPS; i++) {
    const headers = getHeaders(key);
    const response = await fetch(`${entry.url}/seats/${i}`, {headers});
    await response.arrayBuffer();
    if (response.status === 200) expected.requests++;
  }
  const {usage} = await createClient(entry.url, key).completions.create({
    model: MODEL,
    prompt: 'count these words for the report',
    max_tokens: 9,
  });
  expected.requests++;
  expected.promptTokens = usage?.prompt_tokens ?? 0;
  expected.generatedTokens = usage?.completion_tokens ?? 0;
  const getReported = () => {
    const sum = {requests: 0, promptTokens: 0, generatedTokens: 0};
    for (const {figures} of reports.getReports().values()) {
      const found = figures['meter'] as typeof sum | undefined;
      sum.requests += found?.requests ?? 0;
      sum.promptTokens += found?.promptTokens ?? 0;
      sum.generatedTokens += found?.generatedTokens ?? 0;
    }
    return sum;
  };
  await waitUntil(
    'the platform has the report',
    () => getReported().requests >= expected.requests,
    REPORT_TIMEOUT_MS,
  );
  const reported = getReported();
  check(
    `used ${JSON.stringify(expected)}, reported ${JSON.stringify(reported)}`,
    JSON.stringify(reported) === JSON.stringify(expected),
  );
  const conflicts = reports.getAudit().filter(a => a.result === 'conflict');
  check('no window has two different reports', conflicts.length === 0);
  const shown = await demo.run('reports');
  check(
    '`vanillacross reports` shows the client account',
    shown.stdout.includes('meter'),
  );
}

/** Keeps the deployment running until the process is interrupted. */
async function keepRunning(demo: Demo, print: (line?: string) => void) {
  const {entries, operatorToken} = demo.deployment;
  const [entry] = entries;
  const command = `VANILLACROSS_TOKEN=${operatorToken} node ${COMMAND_LINE_FILE} --entry ${entry.url}`;
  print();
  print('Still running; press Ctrl-C to stop.');
  for (const {id, url, admin} of entries) {
    print(`   ${id}: callers ${url}, metrics http://${admin}/metrics`);
  }
  print('Try:');
  print(`   ${command} status`);
  print(`   ${command} domain out ${DOMAINS[0]}`);
  print(
    `   curl -H 'authorization: Bearer ${demo.keys['desk']}' ${entry.url}/seats/1`,
  );
  const timer = setInterval(() => {}, KEEP_ALIVE_MS);
  await new Promise<void>(resolve => {
    interrupt = resolve;
  });
  clearInterval(timer);
}

async function main(): Promise<void> {
  const reporter = createDemoReporter(text => process.stdout.write(text));
  const startedAt = performance.now();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => interrupt());
  }
  reporter.print(
    'vanillacross demo: entries and agents run as separate processes',
  );
  let demo: Demo | undefined;
  await reporter.step(
    'Start stand-ins, entries, upstreams and agents',
    async check => {
      const deployment = await startDeployment({
        domains: DOMAINS,
        entries: 2,
        pools: [
          {
            id: 'engines',
            body: {kind: 'engine', model: MODEL, maxConcurrent: 8},
            upstreams: 2,
            engine: {model: MODEL, tokenMs: 5},
          },
          {id: 'seats', body: {kind: 'plain'}, upstreams: 4},
        ],
        records: [createRecord('reporting', 'default', {windowMs: WINDOW_MS})],
      });
      const {entries, agents, operatorToken: token} = deployment;
      const options = {entry: entries[0].url, token, operator: 'demo'};
      demo = {deployment, run: createCommandLine(options), keys: {}};
      const all = `${entries.length} entries and ${agents.length} agents`;
      check(`${all} are ready in ${DOMAINS.length} failure domains`, true);
    },
  );
  if (demo) {
    const current = demo;
    try {
      await reporter.step('An operator publishes records', check =>
        demoPublish(current, check),
      );
      await reporter.step('A caller uses a plain service', check =>
        demoPlainService(current, check),
      );
      await reporter.step(
        'A caller uses a model with the openai library',
        check => demoCompletions(current, check),
      );
      await reporter.step('An operator withdraws a key', check =>
        demoWithdrawal(current, check),
      );
      await reporter.step(
        'An operator takes a failure domain out and in again',
        check => demoFailureDomain(current, check),
      );
      await reporter.step('A trainer receives each sample once', check =>
        demoTrainerStep(
          {
            entryUrl: current.deployment.entries[0].url,
            weightStoreUrl: current.deployment.platform.weights.url,
            trainerId: 'coach-1',
            model: MODEL,
            apiKey: current.keys['trainers'],
          },
          check,
        ),
      );
      await reporter.step('Usage is reported to the platform', check =>
        demoReport(current, check),
      );
      if (process.argv.includes('--keep')) {
        await keepRunning(current, reporter.print);
      }
    } finally {
      await current.deployment.stop();
    }
  }
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  reporter.print();
  reporter.print(
    reporter.hasPassed()
      ? `All checks passed (${seconds} s).`
      : `Some checks failed (${seconds} s).`,
  );
  // Exits explicitly, because open keep-alive connections would delay the exit.
  process.exit(reporter.hasPassed() ? 0 : 1);
}

await main();
