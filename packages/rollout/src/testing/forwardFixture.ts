import type {DomainId, PoolId, RequestId} from '@vanillacross/common';
import {
  Metrics,
  createLogger,
  getDeadline,
  systemClock,
  toBranded,
} from '@vanillacross/common';

import type {ForwardContext, ForwardRequest} from '../forwarding/index.js';
import {AdmissionQueue, WaitingRequests} from '../forwarding/index.js';
import type {Route} from '../model/index.js';
import {defaultSchedulingPolicy} from '../model/index.js';
import type {Upstream, UpstreamDirectory} from '../upstreams/index.js';
import {CrashTracker, ResponseMemory} from '../upstreams/index.js';
import {testPool} from './directoryFixture.js';
import {rawDialect} from './rawUpstream.js';

/** Time limit of a test request, ms. */
const BUDGET_MS = 10_000;

/** A context whose pools all consist of the given upstreams. */
export function createForwardContext(
  upstreams: readonly Upstream[],
): ForwardContext {
  const logger = createLogger('test', 'silent');
  const metrics = new Metrics();
  const directory = {
    getUsable: () => upstreams,
    getExclusion: () => null,
    recordDemand: () => {},
    onChange: () => {},
    onExchangeEnd: (listener: (pool: PoolId) => void) => {
      for (const u of upstreams) u.onExchangeEnd(() => listener(testPool.id));
    },
  } as unknown as UpstreamDirectory;
  return {
    directory,
    dialect: rawDialect,
    crashes: new CrashTracker(systemClock, logger, () => {}),
    memory: new ResponseMemory(metrics),
    streams: {mayBegin: () => true, recordStream: () => {}},
    clock: systemClock,
    logger,
    metrics,
    domain: toBranded<DomainId>('a'),
    waiting: new WaitingRequests(),
    queue: new AdmissionQueue({directory, clock: systemClock, logger, metrics}),
    policy: defaultSchedulingPolicy,
    getColdShare: () => 1,
    onExecution: () => {},
  } as unknown as ForwardContext;
}

export function createForwardRequest(
  kind: Route['kind'],
  overrides: Partial<ForwardRequest> = {},
): ForwardRequest {
  const route = {kind, maxAttempts: 3, targetLatencyMs: BUDGET_MS};
  return {
    id: toBranded<RequestId>('r1'),
    route: route as unknown as Route,
    pool: testPool,
    method: 'GET',
    target: '/',
    host: 'h',
    headers: {},
    body: Buffer.alloc(0),
    continuation: null,
    account: null,
    deadline: getDeadline(systemClock.now(), BUDGET_MS),
    priority: null,
    queueOrder: {priority: 0, unfinishedInGroup: 0},
    isBackground: false,
    mayCrashUpstreams: true,
    isPermitted: () => true,
    isRouted: () => true,
    ...overrides,
  };
}
