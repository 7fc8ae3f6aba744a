import {
  createAccountRecords,
  createRecord,
  startDeployment,
  waitUntil,
} from '@vanillacross/integration';
import {createFaultProxy} from '@vanillacross/standins';
import {setTimeout as sleep} from 'node:timers/promises';

import {getEntryInstances, startFakeAgents} from './fakeAgents.js';
import {
  createKeepAliveAgent,
  isSuccess,
  runClosedLoop,
  sendRequest,
} from './load.js';
import {getCpuRate, readProcessUsage} from './processMetrics.js';

/** A cost measured at several sizes. */
export interface MeasurementSeries {
  name: string;
  /** What the size counts, in the singular. */
  sizeUnit: string;
  unit: string;
  points: Array<[number, number]>;
}

const DOMAINS = ['domain-a', 'domain-b', 'domain-c', 'domain-d'];
/**
 * Twice the long-poll timeout of an entry, so that each agent polls twice, ms.
 */
const IDLE_MS = 20_000;
/** Time for JIT compilation after a process has started, ms. */
const WARM_UP_MS = 20_000;
const CHANGES = 10;
const API_KEY = 'slope-key';
const MAX_PUTS_PER_REQUEST = 250;
/**
 * A small heap bounds uncollected garbage, which would count as memory in use.
 */
const SMALL_HEAP = ['--max-semi-space-size=2', '--max-old-space-size=96'];

/**
 * Measures the cost of polls and changes at an entry, and its memory, by number
 * of polling agents.
 */
export async function measureAgentSeries(
  sizes: number[],
): Promise<MeasurementSeries[]> {
  const idleCpu: MeasurementSeries['points'] = [];
  const idleBytes: MeasurementSeries['points'] = [];
  const changeCpu: MeasurementSeries['points'] = [];
  const changeBytes: MeasurementSeries['points'] = [];
  const memory: MeasurementSeries['points'] = [];
  for (const size of sizes) {
    const deployment = await startDeployment({
      domains: DOMAINS,
      entries: 1,
      nodeArgs: SMALL_HEAP,
      records: [{key: 'pool/engines', body: {kind: 'engine', model: 'm'}}],
    });
    const [entry] = deployment.entries;
    const proxy = await createFaultProxy({target: entry.peer});
    const before = await readProcessUsage(entry.admin);
    const agents = await startFakeAgents(
      size,
      'engines',
      DOMAINS,
      [{...getEntryInstances(deployment)[0], peerAddress: proxy.address}],
      deployment.clusterSecret,
    );
    try {
      const allHaveView = () =>
        agents.links.every(link => link.getView()?.pool != null);
      await waitUntil('all agents have a view', allHaveView);
      await sleep(WARM_UP_MS);
      const getBytes = () => {
        const {forwardBytes, backwardBytes} = proxy.getCounts();
        return forwardBytes + backwardBytes;
      };
      const idleFrom = await readProcessUsage(entry.admin);
      const bytesFrom = getBytes();
      await sleep(IDLE_MS);
      const idleTo = await readProcessUsage(entry.admin);
      idleCpu.push([size, getCpuRate(idleFrom, idleTo)]);
      idleBytes.push([size, ((getBytes() - bytesFrom) * 1_000) / IDLE_MS]);
      memory.push([size, idleTo.residentBytes - before.residentBytes]);

      const changeFrom = await readProcessUsage(entry.admin);
      const changeBytesFrom = getBytes();
      for (let change = 0; change < CHANGES; change++) {
        const maxConcurrent = 20 + change;
        const body = {kind: 'engine', model: 'm', maxConcurrent};
        await deployment.publish([
          {key: 'pool/engines', body, baseRevision: 1 + change},
        ]);
        await waitUntil('the change is in force at all agents', () =>
          agents.links.every(
            link => link.getView()?.pool?.maxConcurrent === maxConcurrent,
          ),
        );
      }
      const changeTo = await readProcessUsage(entry.admin);
      const changeMs = changeTo.cpuMs - changeFrom.cpuMs;
      changeCpu.push([size, changeMs / CHANGES]);
      changeBytes.push([size, (getBytes() - changeBytesFrom) / CHANGES]);
    } finally {
      await agents.stop();
      await proxy.close();
      await deployment.stop();
    }
  }
  const sizeUnit = 'polling agent';
  return [
    {name: 'poll processor', sizeUnit, unit: 'ms/s', points: idleCpu},
    {name: 'poll traffic', sizeUnit, unit: 'B/s', points: idleBytes},
    {name: 'change processor', sizeUnit, unit: 'ms', points: changeCpu},
    {name: 'change traffic', sizeUnit, unit: 'B', points: changeBytes},
    {name: 'agent memory at entry', sizeUnit, unit: 'B', points: memory},
  ];
}

/**
 * Measures an entry's memory and CPU time by number of records and listed
 * instances.
 */
export async function measureStateSeries(
  recordSizes: number[],
  instanceSizes: number[],
): Promise<MeasurementSeries[]> {
  const recordMemory: MeasurementSeries['points'] = [];
  const recordCpu: MeasurementSeries['points'] = [];
  const listMemory: MeasurementSeries['points'] = [];
  const listCpu: MeasurementSeries['points'] = [];
  const deployment = await startDeployment({
    domains: DOMAINS,
    entries: 1,
    nodeArgs: SMALL_HEAP,
  });
  const [entry] = deployment.entries;
  try {
    let published = 0;
    for (const size of recordSizes) {
      while (published < size) {
        const count = Math.min(MAX_PUTS_PER_REQUEST, size - published);
        const first = published;
        await deployment.publish(
          Array.from({length: count}, (_, index) =>
            createRecord('account', `account-${first + index}`, {weight: 1}),
          ),
        );
        published += count;
      }
      await sleep(1_000);
      const from = await readProcessUsage(entry.admin);
      await deployment.publish([
        createRecord('account', `single-${size}`, {weight: 1}),
      ]);
      await sleep(500);
      const to = await readProcessUsage(entry.admin);
      recordMemory.push([size, to.residentBytes]);
      recordCpu.push([size, to.cpuMs - from.cpuMs]);
    }
    let listed = 0;
    for (const size of instanceSizes) {
      const from = await readProcessUsage(entry.admin);
      for (; listed < size; listed++) {
        deployment.platform.instances.put({
          id: `listed-${listed}`,
          role: 'agent',
          domain: DOMAINS[listed % DOMAINS.length],
          address: `127.0.0.1:${1 + (listed % 900)}`,
          peerAddress: `127.0.0.2:${1 + (listed % 60_000)}`,
          upstream: {id: `listed-${listed}`, pool: 'engines'},
        });
      }
      await sleep(3_000);
      const to = await readProcessUsage(entry.admin);
      listMemory.push([size, to.residentBytes]);
      listCpu.push([size, to.cpuMs - from.cpuMs]);
    }
  } finally {
    await deployment.stop();
  }
  return [
    {
      name: 'record memory',
      sizeUnit: 'record',
      unit: 'B',
      points: recordMemory,
    },
    {
      name: 'change by records held',
      sizeUnit: 'record',
      unit: 'ms',
      points: recordCpu,
    },
    {
      name: 'instance memory',
      sizeUnit: 'listed instance',
      unit: 'B',
      points: listMemory,
    },
    {
      name: 'instance list processor',
      sizeUnit: 'listed instance',
      unit: 'ms',
      points: listCpu,
    },
  ];
}

/**
 * Measures the idle cost of agents, entries and the log by number of entries.
 */
export async function measureIdleSeries(
  sizes: number[],
): Promise<MeasurementSeries[]> {
  const agentCpu: MeasurementSeries['points'] = [];
  const agentMemory: MeasurementSeries['points'] = [];
  const entryCpu: MeasurementSeries['points'] = [];
  const entryMemory: MeasurementSeries['points'] = [];
  const logBytes: MeasurementSeries['points'] = [];
  const listBytes: MeasurementSeries['points'] = [];
  const appends: MeasurementSeries['points'] = [];
  for (const size of sizes) {
    const deployment = await startDeployment({
      domains: DOMAINS,
      entries: size,
      nodeArgs: SMALL_HEAP,
      proxiedLinks: ['log', 'instances'],
      pools: [
        {id: 'engines', body: {kind: 'engine', model: 'm'}, upstreams: 2},
      ],
    });
    try {
      const {entries, agents, platform} = deployment;
      const getLinkBytes = (link: 'log' | 'instances') => {
        const counts = entries.map(e => e.proxies[link]?.getCounts());
        const total = counts.reduce(
          (sum, c) => sum + (c ? c.forwardBytes + c.backwardBytes : 0),
          0,
        );
        return total / entries.length;
      };
      await sleep(WARM_UP_MS);
      const entryFrom = await readProcessUsage(entries[size - 1].admin);
      const agentFrom = await readProcessUsage(agents[0].admin);
      const logFrom = getLinkBytes('log');
      const listFrom = getLinkBytes('instances');
      const appendsFrom = platform.log.getCounts().appends;
      await sleep(IDLE_MS);
      const agentTo = await readProcessUsage(agents[0].admin);
      const entryTo = await readProcessUsage(entries[size - 1].admin);
      const toRate = (value: number) => (value * 1_000) / IDLE_MS;
      agentCpu.push([size, getCpuRate(agentFrom, agentTo)]);
      agentMemory.push([size, agentTo.residentBytes]);
      entryCpu.push([size, getCpuRate(entryFrom, entryTo)]);
      entryMemory.push([size, entryTo.residentBytes]);
      logBytes.push([size, toRate(getLinkBytes('log') - logFrom)]);
      listBytes.push([size, toRate(getLinkBytes('instances') - listFrom)]);
      const appended = platform.log.getCounts().appends - appendsFrom;
      appends.push([size, toRate(appended)]);
    } finally {
      await deployment.stop();
    }
  }
  const sizeUnit = 'entry in the deployment';
  return [
    {name: 'agent processor', sizeUnit, unit: 'ms/s', points: agentCpu},
    {name: 'agent memory', sizeUnit, unit: 'B', points: agentMemory},
    {name: 'entry processor', sizeUnit, unit: 'ms/s', points: entryCpu},
    {name: 'entry memory', sizeUnit, unit: 'B', points: entryMemory},
    {name: 'log tail traffic', sizeUnit, unit: 'B/s', points: logBytes},
    {name: 'instance list traffic', sizeUnit, unit: 'B/s', points: listBytes},
    {name: 'log appends', sizeUnit, unit: '1/s', points: appends},
  ];
}

/** Measures CPU time of entry and agent by requests and by streamed tokens. */
export async function measureTrafficSeries(
  requestWorkers: number[],
  streams: number[],
): Promise<MeasurementSeries[]> {
  const series: Record<string, MeasurementSeries['points']> = {
    entryRequest: [],
    agentRequest: [],
    entryToken: [],
    agentToken: [],
  };
  const limits = {maxConcurrent: 256, ramp: {initial: 256}};
  const deployment = await startDeployment({
    domains: ['domain-a'],
    entries: 1,
    pools: [
      {id: 'seats', body: {kind: 'plain', ...limits}, upstreams: 1},
      {
        id: 'engines',
        body: {kind: 'engine', model: 'model', ...limits},
        upstreams: 1,
        engine: {tokenMs: 5, coldMs: 0},
      },
    ],
    records: [
      ...createAccountRecords('desk', API_KEY, {maxConcurrent: 256}),
      createRecord('route', 'lookup', {
        pathPrefix: '/lookup',
        pool: 'seats',
        access: ['desk'],
        repeat: 'idempotent',
      }),
      createRecord('route', 'completions', {
        pathPrefix: '/v1/completions',
        pool: 'engines',
        access: ['desk'],
        repeat: 'idempotent',
      }),
    ],
  });
  try {
    const [entry] = deployment.entries;
    const getAgent = (pool: string) =>
      deployment.agents.find(agent => agent.pool === pool)!;
    const headers = {authorization: `Bearer ${API_KEY}`};
    const lookup = {method: 'GET', url: `${entry.url}/lookup/a`, headers};
    await runClosedLoop(8, 1_000, () => lookup);
    for (const workers of requestWorkers) {
      const from = await readProcessUsage(entry.admin);
      const agentFrom = await readProcessUsage(getAgent('seats').admin);
      const result = await runClosedLoop(workers, 2_000, () => lookup);
      const to = await readProcessUsage(entry.admin);
      const agentTo = await readProcessUsage(getAgent('seats').admin);
      const count = result.responses.filter(isSuccess).length;
      series.entryRequest.push([count, to.cpuMs - from.cpuMs]);
      series.agentRequest.push([count, agentTo.cpuMs - agentFrom.cpuMs]);
    }
    for (const count of streams) {
      const body = JSON.stringify({
        model: 'model',
        prompt: 'measure',
        max_tokens: 300,
        stream: true,
      });
      const request = {
        method: 'POST',
        url: `${entry.url}/v1/completions`,
        headers: {...headers, 'content-type': 'application/json'},
        body,
      };
      const from = await readProcessUsage(entry.admin);
      const agentFrom = await readProcessUsage(getAgent('engines').admin);
      const httpAgent = createKeepAliveAgent(count);
      const responses = await Promise.all(
        Array.from({length: count}, () => sendRequest(request, httpAgent)),
      );
      httpAgent.destroy();
      const tokens = responses.reduce(
        (sum, response) => sum + response.body.split('\ndata: ').length,
        0,
      );
      const to = await readProcessUsage(entry.admin);
      const agentTo = await readProcessUsage(getAgent('engines').admin);
      series.entryToken.push([tokens, to.cpuMs - from.cpuMs]);
      series.agentToken.push([tokens, agentTo.cpuMs - agentFrom.cpuMs]);
    }
  } finally {
    await deployment.stop();
  }
  return [
    {
      name: 'entry request',
      sizeUnit: 'request',
      unit: 'ms',
      points: series.entryRequest,
    },
    {
      name: 'agent request',
      sizeUnit: 'request',
      unit: 'ms',
      points: series.agentRequest,
    },
    {
      name: 'entry token',
      sizeUnit: 'token',
      unit: 'ms',
      points: series.entryToken,
    },
    {
      name: 'agent token',
      sizeUnit: 'token',
      unit: 'ms',
      points: series.agentToken,
    },
  ];
}
