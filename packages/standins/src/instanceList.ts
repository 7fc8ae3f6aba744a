import {z} from 'zod';

import type {Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'agent']),
  domain: z.string(),
  address: z.string(),
  peerAddress: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
  upstream: z.object({id: z.string(), pool: z.string()}).optional(),
});
export type InstanceInput = z.input<typeof instanceSchema>;
type ListedInstance = z.output<typeof instanceSchema>;

export interface InstanceListOptions extends ServiceOptions {
  /** Time until a change becomes visible, ms. */
  lagMs?: number;
}

interface Change {
  id: string;
  instance: ListedInstance | null;
  madeAtMs: number;
}

/** The platform's eventually consistent list of live and leaving instances. */
export interface InstanceListStandIn extends Service {
  put(instance: InstanceInput): void;
  remove(id: string): void;
  setLag(lagMs: number): void;
}

/** Returns the last change of each instance. */
function getLatest(changes: Change[]): Change[] {
  return [...new Map(changes.map(change => [change.id, change])).values()];
}

export async function createInstanceList(
  options: InstanceListOptions = {},
): Promise<InstanceListStandIn> {
  // The version of the list is the number of visible changes.
  const changes: Change[] = [];
  let lagMs = options.lagMs ?? 0;

  const addChange = (id: string, instance: ListedInstance | null) => {
    changes.push({id, instance, madeAtMs: performance.now()});
  };
  /**
   * Returns the role of a changed instance; a removed one has the role that it
   * had before.
   */
  const getRole = ({id, instance}: Change): ListedInstance['role'] | null =>
    instance?.role ??
    changes.findLast(change => change.id === id && change.instance)?.instance
      ?.role ??
    null;
  const getChanges = (since: number, role: string | null) => {
    const visibleUntilMs = performance.now() - lagMs;
    const firstHidden = changes.findIndex(
      change => change.madeAtMs > visibleUntilMs,
    );
    const version = firstHidden < 0 ? changes.length : firstHidden;
    // A reader with a newer version read it before the list was restarted, so
    // it gets the full list.
    const full = since === 0 || since > version;
    const latest = getLatest(changes.slice(full ? 0 : since, version)).filter(
      change => role === null || getRole(change) === role,
    );
    return {
      version,
      full,
      instances: latest.flatMap(change => change.instance ?? []),
      removed: full
        ? []
        : latest.filter(change => !change.instance).map(change => change.id),
    };
  };
  const put = (input: InstanceInput) => {
    const instance = instanceSchema.parse(input);
    addChange(instance.id, instance);
  };
  const service = await createService(
    [
      createRoute('GET /v1/instances', ({query}) => {
        const since = z.coerce.number().parse(query.get('since') ?? 0);
        return {status: 200, body: getChanges(since, query.get('role'))};
      }),
      createRoute('PUT /v1/instances/:id', ({params, parse}) => {
        put({...parse(instanceSchema.partial({id: true})), id: params[0]});
        return {status: 200, body: {version: changes.length}};
      }),
      createRoute('DELETE /v1/instances/:id', ({params}) => {
        addChange(params[0], null);
        return {status: 200, body: {version: changes.length}};
      }),
      createRoute('PUT /lag', ({parse}) => {
        lagMs = parse(z.object({lagMs: z.number().min(0)})).lagMs;
        return {status: 200, body: {lagMs}};
      }),
    ],
    options,
  );
  return {
    ...service,
    put,
    remove: id => addChange(id, null),
    setLag: value => {
      lagMs = value;
    },
  };
}
