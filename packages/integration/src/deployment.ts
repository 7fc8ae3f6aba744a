import {getSha256, requestJson} from '@vanillacross/common';
import type {RecordBodies, RecordKey, RecordKind} from '@vanillacross/domain';
import {
  createEngine,
  createFaultProxy,
  createInstanceList,
  createLog,
  createOrdering,
  createPlainService,
  createReports,
  createScoring,
  createWeightStore,
} from '@vanillacross/standins';
import type {
  EngineOptions,
  EngineStandIn,
  FaultProxy,
  InstanceInput,
  InstanceListOptions,
  InstanceListStandIn,
  LogOptions,
  LogStandIn,
  OrderingStandIn,
  PlainServiceOptions,
  PlainServiceStandIn,
  ReportsStandIn,
  ScoringStandIn,
  WeightStoreOptions,
  WeightStoreStandIn,
} from '@vanillacross/standins';
import ini from 'ini';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import type {ProcessHarness, RunningProcess} from './processHarness.js';
import {createProcessHarness} from './processHarness.js';

/** A configuration record to publish. */
export interface RecordInput {
  key: RecordKey;
  body: unknown;
  /** 0 for a new record. */
  baseRevision?: number;
}

/** A pool and the upstreams that it starts with. */
export interface PoolSpec {
  id: string;
  /** Body of the pool's record. */
  body: {kind: 'engine' | 'plain'} & Record<string, unknown>;
  /** Number of upstreams to start, assigned to the failure domains in turn. */
  upstreams: number;
  engine?: EngineOptions;
  plain?: PlainServiceOptions;
  /** URL of a running service that all upstreams of the pool use. */
  serviceUrl?: string;
  /**
   * Publishes upstream records with `checksFencing`; engines then check fencing
   * numbers.
   */
  checksFencing?: boolean;
}

export interface DeploymentSpec {
  domains?: string[];
  region?: string;
  /** Number of entries, assigned to the failure domains in turn. */
  entries?: number;
  pools?: PoolSpec[];
  /** Records in addition to those of pools and failure domains. */
  records?: RecordInput[];
  /** Values of `[limits]` in all settings files. */
  limits?: Record<string, string | number>;
  /** Values of `[controller]` in the settings files of entries. */
  controller?: Record<string, string | number | boolean>;
  log?: LogOptions;
  instances?: InstanceListOptions;
  weights?: WeightStoreOptions;
  orderingChecksFencing?: boolean;
  /** Delay between the start of the agents and the first records, ms. */
  publishDelayMs?: number;
  /** Links for which each instance gets its own fault proxy. */
  proxiedLinks?: ProxiedLink[];
  /** Daemon to start; by default the one built in this repository. */
  daemonFile?: string;
  env?: Record<string, string>;
  nodeArgs?: string[];
}

/** A network link of an instance that a fault proxy can intercept. */
export type ProxiedLink =
  'log' | 'instances' | 'reports' | 'weights' | 'scoring' | 'upstream';

interface RunningInstance {
  id: string;
  /** The instance as it stands in the instance list. */
  listed: InstanceInput;
  /** Fault proxies of this instance's links, as requested by `proxiedLinks`. */
  proxies: Partial<Record<ProxiedLink, FaultProxy>>;
  domain: string;
  process: RunningProcess;
  peer: string;
  admin: string;
}
export interface RunningEntry extends RunningInstance {
  /** Base URL for callers, trainers and operators. */
  url: string;
}
export interface RunningAgent extends RunningInstance {
  pool: string;
  upstream: string;
  data: string;
  engine?: EngineStandIn;
  plain?: PlainServiceStandIn;
}

export interface Platform {
  log: LogStandIn;
  instances: InstanceListStandIn;
  reports: ReportsStandIn;
  weights: WeightStoreStandIn;
  scoring: ScoringStandIn;
  ordering: Record<string, OrderingStandIn>;
}

/** A small deployment of real daemon processes that use stand-ins. */
export interface Deployment {
  platform: Platform;
  harness: ProcessHarness;
  entries: RunningEntry[];
  agents: RunningAgent[];
  operatorToken: string;
  clusterSecret: string;
  addEntry(domain: string): Promise<RunningEntry>;
  /** Starts an upstream and its agent. */
  addUpstream(pool: string, domain: string, id?: string): Promise<RunningAgent>;
  /**
   * Ends an instance with a signal, SIGKILL by default, and removes it from the
   * instance list. With SIGTERM it is listed as leaving until its process
   * exits.
   */
  remove(
    instance: RunningEntry | RunningAgent,
    signal?: NodeJS.Signals,
  ): Promise<void>;
  /**
   * Publishes records through an entry, by default the first; returns the JSON
   * response.
   */
  publish(records: RecordInput[], entry?: RunningEntry): Promise<unknown>;
  stop(): Promise<void>;
}

const DAEMON_FILE = fileURLToPath(
  new URL('../../daemon/dist/main.js', import.meta.url),
);
const LOOPBACK = '127.0.0.1:0';
const OPERATOR_TOKEN = 'operator-token';
const CLUSTER_SECRET = 'cluster-secret-of-a-test-deployment';
const OPERATOR = 'deployment';
const CALL_TIMEOUT_MS = 10_000;
/** Long, because start-up time depends on the load of the machine. */
const DEFAULT_WAIT_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Creates a record whose body is type-checked for its kind. */
export function createRecord<Kind extends RecordKind>(
  kind: Kind,
  id: string,
  body: Partial<RecordBodies[Kind]>,
): RecordInput {
  return {key: `${kind}/${id}`, body};
}

/** Creates the records of an account and of its active API key. */
export function createAccountRecords(
  account: string,
  key: string,
  body: Partial<RecordBodies['account']> = {},
): RecordInput[] {
  const hash = getSha256(key);
  return [
    createRecord('account', account, body),
    createRecord('key', `${account}-key`, {account, hash, state: 'active'}),
  ];
}

/** Polls until a condition holds; throws after the timeout. */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = DEFAULT_WAIT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`timeout: ${what}`);
    await sleep(POLL_MS);
  }
}

/**
 * Sends a GET request and returns the status. The body is read, because a
 * connection with an unread body can stay open and keep the process running.
 */
export async function fetchStatus(
  url: string,
  headers: Record<string, string> = {},
): Promise<number> {
  const response = await fetch(url, {headers});
  await response.arrayBuffer();
  return response.status;
}

async function isReady(instance: RunningInstance): Promise<boolean> {
  const url = `http://${instance.admin}/readyz`;
  return (await fetchStatus(url).catch(() => null)) === 200;
}

function waitReady(instance: RunningInstance): Promise<void> {
  return waitUntil(`${instance.id} is ready`, () => isReady(instance));
}

/** Returns whether an agent has received a view of the configuration. */
async function hasView(agent: RunningInstance): Promise<boolean> {
  const url = `http://${agent.admin}/metrics`;
  const response = await fetch(url).catch(() => null);
  const text = (await response?.text()) ?? '';
  return /^vc_agent_view_offset \d/m.test(text);
}

function isAccepted(outcome: {tag: string}): boolean {
  return outcome.tag === 'accepted';
}

async function createPlatform(
  spec: DeploymentSpec,
  domains: string[],
  onStart: (pool: string, id: string, domain: string) => Promise<void>,
  onStop: (id: string) => Promise<void>,
): Promise<Platform> {
  const ordering: Platform['ordering'] = {};
  for (const domain of domains) {
    ordering[domain] = await createOrdering({
      domain,
      checksFencing: spec.orderingChecksFencing ?? false,
      onStart: (pool, id) => onStart(pool, id, domain),
      onStop,
    });
  }
  return {
    log: await createLog(spec.log),
    instances: await createInstanceList(spec.instances),
    reports: await createReports(),
    weights: await createWeightStore(spec.weights),
    scoring: await createScoring(),
    ordering,
  };
}

function getDomainRecords(
  spec: DeploymentSpec,
  domains: string[],
): RecordInput[] {
  const region = spec.region ?? 'region-1';
  return domains.map(id => createRecord('domain', id, {region, state: 'in'}));
}

function getDeploymentRecords(
  spec: DeploymentSpec,
  agents: RunningAgent[],
): RecordInput[] {
  const pools = spec.pools ?? [];
  const checking = pools.filter(pool => pool.checksFencing).map(({id}) => id);
  return [
    ...pools.map(({id, body}): RecordInput => ({key: `pool/${id}`, body})),
    ...agents
      .filter(agent => checking.includes(agent.pool))
      .map(({upstream, pool, domain}) =>
        createRecord('upstream', upstream, {pool, domain, checksFencing: true}),
      ),
    ...(spec.records ?? []),
  ];
}

/**
 * Starts stand-ins, entries, upstreams and agents, and publishes the records.
 */
export async function startDeployment(
  spec: DeploymentSpec = {},
): Promise<Deployment> {
  const domains = spec.domains ?? ['domain-a', 'domain-b', 'domain-c'];
  const harness = createProcessHarness();
  const directory = await mkdtemp(join(tmpdir(), 'vanillacross-'));
  const entries: RunningEntry[] = [];
  const agents: RunningAgent[] = [];
  const closables = new Set<{close(): Promise<void>}>();
  const counts = new Map<string, number>();
  /**
   * Upstream starts that were requested through the ordering interface and are
   * still in progress.
   */
  const orderedStarts = new Set<Promise<unknown>>();
  let isStopping = false;
  const getNextId = (prefix: string) => {
    const count = (counts.get(prefix) ?? 0) + 1;
    counts.set(prefix, count);
    return `${prefix}-${count}`;
  };

  const platform = await createPlatform(
    spec,
    domains,
    async (pool, id, domain) => {
      if (isStopping) return;
      const started = addUpstream(pool, domain, id);
      orderedStarts.add(started);
      await started.finally(() => orderedStarts.delete(started));
    },
    async id => {
      const agent = agents.find(({upstream}) => upstream === id);
      if (agent) await remove(agent, 'SIGTERM');
    },
  );

  /**
   * Returns the URL of a fault proxy if the link is to have one, else the given
   * URL.
   */
  const getLinkUrl = async (
    link: ProxiedLink,
    url: string,
    proxies: RunningInstance['proxies'],
  ): Promise<string> => {
    if (!spec.proxiedLinks?.includes(link)) return url;
    const proxy = await createFaultProxy({target: new URL(url).host});
    closables.add(proxy);
    proxies[link] = proxy;
    return proxy.url;
  };
  const getPlatformUrls = async (proxies: RunningInstance['proxies']) => {
    const links = [
      'log',
      'instances',
      'reports',
      'weights',
      'scoring',
    ] as const;
    const urls: Record<string, unknown> = {};
    for (const link of links) {
      urls[link] = await getLinkUrl(link, platform[link].url, proxies);
    }
    const ordering = Object.entries(platform.ordering);
    urls.ordering = Object.fromEntries(
      ordering.map(([domain, service]) => [domain, service.url]),
    );
    return urls;
  };

  /** Writes a settings file and starts a daemon with it. */
  const startDaemon = async (
    id: string,
    role: 'entry' | 'agent',
    domain: string,
    proxies: RunningInstance['proxies'],
    {listen, ...sections}: Record<string, Record<string, unknown>>,
  ) => {
    const settings = {
      instance: {id, role, domain, region: spec.region ?? 'region-1'},
      listen: {...listen, peer: LOOPBACK, admin: LOOPBACK},
      platform: await getPlatformUrls(proxies),
      cluster: {
        secret: CLUSTER_SECRET,
        seeds: entries.map(entry => entry.peer).join(','),
      },
      limits: spec.limits ?? {},
      ...sections,
    };
    const file = join(directory, `${id}.ini`);
    await writeFile(file, ini.stringify(settings));
    const running = await harness.startProcess({
      name: id,
      file: spec.daemonFile ?? DAEMON_FILE,
      args: ['--settings', file],
      env: spec.env,
      nodeArgs: spec.nodeArgs,
    });
    const {peer, admin} = running.ready as unknown as RunningInstance;
    return {id, domain, process: running, peer, admin, proxies};
  };

  const addEntry = async (domain: string): Promise<RunningEntry> => {
    const id = getNextId('entry');
    const instance = await startDaemon(
      id,
      'entry',
      domain,
      {},
      {
        listen: {caller: LOOPBACK},
        operator: {tokenHash: getSha256(OPERATOR_TOKEN)},
        controller: spec.controller ?? {},
      },
    );
    const address = String(instance.process.ready.caller);
    const listed: InstanceInput = {
      id,
      role: 'entry',
      domain,
      address,
      peerAddress: instance.peer,
    };
    platform.instances.put(listed);
    const entry = {...instance, listed, url: `http://${address}`};
    entries.push(entry);
    return entry;
  };

  const startService = async (
    pool: PoolSpec,
    name: string,
  ): Promise<Pick<RunningAgent, 'engine' | 'plain'>> => {
    const {checksFencing, engine: options} = pool;
    if (pool.serviceUrl) return {};
    if (pool.body.kind === 'plain') {
      return {plain: await createPlainService({name, ...pool.plain})};
    }
    const weights = platform.weights.url;
    return {engine: await createEngine({checksFencing, weights, ...options})};
  };
  const addUpstream = async (
    poolId: string,
    domain: string,
    requestedId?: string,
  ): Promise<RunningAgent> => {
    const pool = spec.pools?.find(({id}) => id === poolId);
    if (!pool) throw new Error(`the deployment has no pool ${poolId}`);
    const upstream = requestedId ?? getNextId(poolId);
    const id = `agent-${upstream}`;
    const services = await startService(pool, upstream);
    const service = services.engine ?? services.plain;
    if (service) closables.add(service);
    const serviceUrl = service?.url ?? pool.serviceUrl ?? '';
    const proxies: RunningInstance['proxies'] = {};
    const url = await getLinkUrl('upstream', serviceUrl, proxies);
    const instance = await startDaemon(id, 'agent', domain, proxies, {
      listen: {data: LOOPBACK},
      upstream: {id: upstream, pool: poolId, url},
    });
    const data = String(instance.process.ready.data);
    const listed: InstanceInput = {
      id,
      role: 'agent',
      domain,
      address: data,
      peerAddress: instance.peer,
      upstream: {id: upstream, pool: poolId},
    };
    platform.instances.put(listed);
    const ordering = platform.ordering[domain];
    if (!ordering.getUpstreams().some(other => other.id === upstream)) {
      ordering.addUpstream({id: upstream, pool: poolId, state: 'running'});
    }
    const agent = {
      ...instance,
      ...services,
      listed,
      pool: poolId,
      upstream,
      data,
    };
    agents.push(agent);
    return agent;
  };

  const remove = async (
    instance: RunningEntry | RunningAgent,
    signal: NodeJS.Signals = 'SIGKILL',
  ): Promise<void> => {
    if (signal === 'SIGTERM') {
      platform.instances.put({...instance.listed, state: 'leaving'});
    }
    await instance.process.kill(signal);
    platform.instances.remove(instance.id);
    if (!('upstream' in instance)) {
      entries.splice(entries.indexOf(instance), 1);
      return;
    }
    agents.splice(agents.indexOf(instance), 1);
    await (instance.engine ?? instance.plain)?.close();
  };

  const publish = async (
    records: RecordInput[],
    entry = entries[0],
  ): Promise<unknown> => {
    const puts = records.map(({key, body, baseRevision = 0}) => ({
      key,
      baseRevision,
      schemaVersion: 1,
      body,
    }));
    const response = await requestJson({
      method: 'POST',
      url: `${entry.url}/operator/v1/records`,
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
      body: {puts, operator: OPERATOR},
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!response.ok || response.value.status >= 300) {
      throw new Error(`records not published: ${JSON.stringify(response)}`);
    }
    const {outcomes} = response.value.body as {outcomes: Array<{tag: string}>};
    if (!outcomes.every(isAccepted)) {
      throw new Error(`records not accepted: ${JSON.stringify(outcomes)}`);
    }
    return response.value.body;
  };

  const stop = async (): Promise<void> => {
    // An upstream whose start is in progress would outlive the deployment.
    isStopping = true;
    await harness.stopAll();
    await Promise.allSettled(orderedStarts);
    await harness.stopAll();
    const {ordering, ...services} = platform;
    const all = [
      ...closables,
      ...Object.values(services),
      ...Object.values(ordering),
    ];
    await Promise.all(all.map(service => service.close()));
    await rm(directory, {recursive: true, force: true});
  };

  const getDomain = (index: number) => domains[index % domains.length];
  const startAll = async () => {
    for (let i = 0; i < (spec.entries ?? domains.length); i++) {
      await addEntry(getDomain(i));
    }
    // An entry accepts no records until its control state is complete.
    for (const entry of entries) await waitReady(entry);
    const initialStarts = (spec.pools ?? []).flatMap(pool =>
      Array.from({length: pool.upstreams}, (_, index) =>
        addUpstream(pool.id, getDomain(index)),
      ),
    );
    const results = await Promise.allSettled(initialStarts);
    const failed = results.find(result => result.status === 'rejected');
    if (failed) throw failed.reason;
    // Tests select agents by index, so the order must not depend on start-up
    // time.
    agents.sort((a, b) => a.id.localeCompare(b.id, 'en', {numeric: true}));
    if (spec.publishDelayMs) await sleep(spec.publishDelayMs);
    await publish(getDomainRecords(spec, domains));
    // Waits until each agent has a view without the pool's record: an agent
    // whose first view contains it cannot know whether calls ran before its
    // start and refuses unknown idempotency keys.
    for (const agent of agents) {
      await waitUntil(`${agent.id} has a view`, () => hasView(agent));
    }
    const records = getDeploymentRecords(spec, agents);
    if (records.length > 0) await publish(records);
    for (const instance of agents) await waitReady(instance);
  };
  try {
    await startAll();
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    platform,
    harness,
    entries,
    agents,
    operatorToken: OPERATOR_TOKEN,
    clusterSecret: CLUSTER_SECRET,
    addEntry,
    addUpstream,
    remove,
    publish,
    stop,
  };
}
