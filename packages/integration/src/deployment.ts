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
  /** Upstreams at the start, spread over the failure domains in turn. */
  upstreams: number;
  engine?: EngineOptions;
  plain?: PlainServiceOptions;
  /** A running service that all upstreams of the pool stand for. */
  serviceUrl?: string;
  /** Publishes upstream records that say so; engines then check too. */
  checksFencing?: boolean;
}

export interface DeploymentSpec {
  domains?: string[];
  region?: string;
  /** Entries, spread over the failure domains in turn. */
  entries?: number;
  pools?: PoolSpec[];
  /** Records besides those of pools and failure domains. */
  records?: RecordInput[];
  /** Values of `[limits]` in all settings files. */
  limits?: Record<string, string | number>;
  /** Values of `[controller]` in the settings files of entries. */
  controller?: Record<string, string | number | boolean>;
  log?: LogOptions;
  instances?: InstanceListOptions;
  weights?: WeightStoreOptions;
  orderingChecksFencing?: boolean;
  /** Wait between the start of the agents and the records, ms. */
  publishDelayMs?: number;
  /** Links that get a fault proxy of their own in each member. */
  proxiedLinks?: ProxiedLink[];
  /** The daemon to start, the built one by default. */
  daemonFile?: string;
  env?: Record<string, string>;
  nodeArgs?: string[];
}

/** A link of a member that a fault proxy can sit in. */
export type ProxiedLink =
  'log' | 'instances' | 'reports' | 'weights' | 'scoring' | 'upstream';

interface Member {
  id: string;
  /** The member as the instance list has it. */
  listed: InstanceInput;
  /** The proxies of this member's links, as asked for in `proxied`. */
  proxies: Partial<Record<ProxiedLink, FaultProxy>>;
  domain: string;
  process: RunningProcess;
  peer: string;
  admin: string;
}
export interface EntryMember extends Member {
  /** Base URL for callers, trainers and operators. */
  url: string;
}
export interface AgentMember extends Member {
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

/** A small deployment of real processes against stand-ins. */
export interface Deployment {
  platform: Platform;
  harness: ProcessHarness;
  entries: EntryMember[];
  agents: AgentMember[];
  operatorToken: string;
  clusterSecret: string;
  addEntry(domain: string): Promise<EntryMember>;
  /** Starts an upstream and its agent. */
  addUpstream(pool: string, domain: string, id?: string): Promise<AgentMember>;
  /**
   * Ends a member, by SIGKILL or as asked, and takes it off the instance list.
   * With SIGTERM it is listed as leaving until its process has ended.
   */
  remove(
    member: EntryMember | AgentMember,
    signal?: NodeJS.Signals,
  ): Promise<void>;
  /** Puts records through an entry; returns the JSON answer. */
  publish(records: RecordInput[], entry?: EntryMember): Promise<unknown>;
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
/** Wide, because start-up time depends on the load of the machine. */
const SERVING_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** A record with its body checked by the compiler. */
export function createRecord<Kind extends RecordKind>(
  kind: Kind,
  id: string,
  body: Partial<RecordBodies[Kind]>,
): RecordInput {
  return {key: `${kind}/${id}`, body};
}

/** An account and its active key. */
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

/** Polls until a condition holds; throws after a wide deadline. */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = SERVING_TIMEOUT_MS,
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
  const answer = await fetch(url, {headers});
  await answer.arrayBuffer();
  return answer.status;
}

async function isReady(member: Member): Promise<boolean> {
  const url = `http://${member.admin}/readyz`;
  return (await fetchStatus(url).catch(() => null)) === 200;
}

function waitReady(member: Member): Promise<void> {
  return waitUntil(`${member.id} is ready`, () => isReady(member));
}

/** Says whether an agent has received a view of the configuration. */
async function hasView(agent: Member): Promise<boolean> {
  const url = `http://${agent.admin}/metrics`;
  const answer = await fetch(url).catch(() => null);
  const text = (await answer?.text()) ?? '';
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
  agents: AgentMember[],
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

/** Starts stand-ins, entries, upstreams and agents, and publishes records. */
export async function startDeployment(
  spec: DeploymentSpec = {},
): Promise<Deployment> {
  const domains = spec.domains ?? ['domain-a', 'domain-b', 'domain-c'];
  const harness = createProcessHarness();
  const directory = await mkdtemp(join(tmpdir(), 'vanillacross-'));
  const entries: EntryMember[] = [];
  const agents: AgentMember[] = [];
  const closables = new Set<{close(): Promise<void>}>();
  const counts = new Map<string, number>();
  /** Starts that the ordering interface asked for. */
  const starts = new Set<Promise<unknown>>();
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
      starts.add(started);
      await started.finally(() => starts.delete(started));
    },
    async id => {
      const agent = agents.find(({upstream}) => upstream === id);
      if (agent) await remove(agent, 'SIGTERM');
    },
  );

  /** Puts a proxy in front of a URL if the link should have one. */
  const getLinkUrl = async (
    link: ProxiedLink,
    url: string,
    proxies: Member['proxies'],
  ): Promise<string> => {
    if (!spec.proxiedLinks?.includes(link)) return url;
    const proxy = await createFaultProxy({target: new URL(url).host});
    closables.add(proxy);
    proxies[link] = proxy;
    return proxy.url;
  };
  const getPlatformUrls = async (proxies: Member['proxies']) => {
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

  /** Writes a settings file and starts the daemon with it. */
  const startDaemon = async (
    id: string,
    role: 'entry' | 'agent',
    domain: string,
    proxies: Member['proxies'],
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
    const {peer, admin} = running.ready as unknown as Member;
    return {id, domain, process: running, peer, admin, proxies};
  };

  const addEntry = async (domain: string): Promise<EntryMember> => {
    const id = getNextId('entry');
    const member = await startDaemon(
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
    const address = String(member.process.ready.caller);
    const listed: InstanceInput = {
      id,
      role: 'entry',
      domain,
      address,
      peerAddress: member.peer,
    };
    platform.instances.put(listed);
    const entry = {...member, listed, url: `http://${address}`};
    entries.push(entry);
    return entry;
  };

  const startService = async (
    pool: PoolSpec,
    name: string,
  ): Promise<Pick<AgentMember, 'engine' | 'plain'>> => {
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
    wantedId?: string,
  ): Promise<AgentMember> => {
    const pool = spec.pools?.find(({id}) => id === poolId);
    if (!pool) throw new Error(`the deployment has no pool ${poolId}`);
    const upstream = wantedId ?? getNextId(poolId);
    const id = `agent-${upstream}`;
    const services = await startService(pool, upstream);
    const service = services.engine ?? services.plain;
    if (service) closables.add(service);
    const serviceUrl = service?.url ?? pool.serviceUrl ?? '';
    const proxies: Member['proxies'] = {};
    const url = await getLinkUrl('upstream', serviceUrl, proxies);
    const member = await startDaemon(id, 'agent', domain, proxies, {
      listen: {data: LOOPBACK},
      upstream: {id: upstream, pool: poolId, url},
    });
    const data = String(member.process.ready.data);
    const listed: InstanceInput = {
      id,
      role: 'agent',
      domain,
      address: data,
      peerAddress: member.peer,
      upstream: {id: upstream, pool: poolId},
    };
    platform.instances.put(listed);
    const ordering = platform.ordering[domain];
    if (!ordering.getUpstreams().some(other => other.id === upstream)) {
      ordering.addUpstream({id: upstream, pool: poolId, state: 'running'});
    }
    const agent = {
      ...member,
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
    member: EntryMember | AgentMember,
    signal: NodeJS.Signals = 'SIGKILL',
  ): Promise<void> => {
    if (signal === 'SIGTERM') {
      platform.instances.put({...member.listed, state: 'leaving'});
    }
    await member.process.kill(signal);
    platform.instances.remove(member.id);
    if (!('upstream' in member)) {
      entries.splice(entries.indexOf(member), 1);
      return;
    }
    agents.splice(agents.indexOf(member), 1);
    await (member.engine ?? member.plain)?.close();
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
    const answer = await requestJson({
      method: 'POST',
      url: `${entry.url}/operator/v1/records`,
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
      body: {puts, operator: OPERATOR},
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (!answer.ok || answer.value.status >= 300) {
      throw new Error(`records not published: ${JSON.stringify(answer)}`);
    }
    const {outcomes} = answer.value.body as {outcomes: Array<{tag: string}>};
    if (!outcomes.every(isAccepted)) {
      throw new Error(`records not accepted: ${JSON.stringify(outcomes)}`);
    }
    return answer.value.body;
  };

  const stop = async (): Promise<void> => {
    // An upstream that is being started would outlive the deployment.
    isStopping = true;
    await harness.stopAll();
    await Promise.allSettled(starts);
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
    // An entry takes no records before its control state is complete.
    for (const entry of entries) await waitReady(entry);
    const starts = (spec.pools ?? []).flatMap(pool =>
      Array.from({length: pool.upstreams}, (_, index) =>
        addUpstream(pool.id, getDomain(index)),
      ),
    );
    const results = await Promise.allSettled(starts);
    const failed = results.find(result => result.status === 'rejected');
    if (failed) throw failed.reason;
    // Tests pick agents by index, whichever process was ready first.
    agents.sort((a, b) => a.id.localeCompare(b.id, 'en', {numeric: true}));
    if (spec.publishDelayMs) await sleep(spec.publishDelayMs);
    await publish(getDomainRecords(spec, domains));
    // An agent that first saw its pool record complete cannot know whether
    // calls ran before it started, and refuses unknown idempotency keys.
    for (const agent of agents) {
      await waitUntil(`${agent.id} has a view`, () => hasView(agent));
    }
    const records = getDeploymentRecords(spec, agents);
    if (records.length > 0) await publish(records);
    for (const member of agents) await waitReady(member);
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
