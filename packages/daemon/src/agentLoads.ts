import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline} from '@vanillacross/common';
import type {ControlState, Load} from '@vanillacross/domain';
import {ENTRIES_PER_AGENT, getBodies, loadSchema} from '@vanillacross/domain';
import PQueue from 'p-queue';
import {z} from 'zod';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {ClientFactory} from './orderTask.js';
import type {Context, ControlFollower, Membership} from './types.js';

/** Age after which a load report no longer counts, ms. */
export const LOAD_MAX_AGE_MS = 30_000;
/** Interval of collection from the other entries, ms. */
const COLLECT_INTERVAL_MS = 5_000;
const COLLECT_TIMEOUT_MS = 2_000;
const COLLECT_CONCURRENCY = 16;

/** Load of one agent as some entry heard it. */
const heardLoadSchema = z.object({
  upstream: z.string(),
  load: loadSchema,
  isLeaving: z.boolean(),
  ageMs: z.number().min(0),
});

const loadAnswerSchema = z.object({loads: z.array(heardLoadSchema)});

type HeardLoad = z.infer<typeof heardLoadSchema>;

/** The newest known load of an agent. */
export interface AgentLoad {
  load: Load;
  isLeaving: boolean;
  heardAt: MonotonicMs;
}

/** Loads of all agents, also those that only other entries hear. */
export interface AgentLoads extends Loop {
  /** Null if no entry heard the agent recently. */
  getLoad(upstream: string): AgentLoad | null;
  rpcMethods: RpcMethods;
}

/** Creates the collection; only the lease holder collects. */
export function createAgentLoads(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  createClient: ClientFactory,
): AgentLoads {
  const {clock} = context;
  const queue = new PQueue({concurrency: COLLECT_CONCURRENCY});
  let collected = new Map<string, AgentLoad>();

  function getOwn(upstream: string): AgentLoad | null {
    const agent = membership.getAgent(upstream);
    if (!agent?.load || agent.heardAt === null) return null;
    const {load, isLeaving, heardAt} = agent;
    return {load, isLeaving, heardAt};
  }

  function getHeard(state: ControlState): HeardLoad[] {
    return getBodies(state, 'pool')
      .flatMap(({id}) => membership.getPoolMembers(id))
      .flatMap(({instance, load, isLeaving, heardAt}) => {
        if (!load || heardAt === null) return [];
        const ageMs = Math.max(0, clock.now() - heardAt);
        if (ageMs > LOAD_MAX_AGE_MS) return [];
        return [{upstream: instance.upstream.id, load, isLeaving, ageMs}];
      });
  }

  async function collectFrom(address: string): Promise<HeardLoad[]> {
    const client = createClient(address);
    const answer = await client.call('load.collect', {}, COLLECT_TIMEOUT_MS);
    const parsed = loadAnswerSchema.safeParse(answer.ok ? answer.value : null);
    return parsed.success ? parsed.data.loads : [];
  }

  function merge(into: Map<string, AgentLoad>, heard: HeardLoad): void {
    const heardAt = getDeadline(clock.now(), -heard.ageMs);
    const known = into.get(heard.upstream);
    if (known && known.heardAt >= heardAt) return;
    into.set(heard.upstream, {
      load: heard.load,
      isLeaving: heard.isLeaving,
      heardAt,
    });
  }

  async function step(): Promise<MonotonicMs> {
    const next = getDeadline(clock.now(), COLLECT_INTERVAL_MS);
    const peers = membership.getPeers();
    // With so few entries every agent polls this one.
    const isComplete = peers.length < ENTRIES_PER_AGENT;
    if (isComplete || !lease.getTenure()) {
      collected = new Map();
      return next;
    }
    const fresh = new Map<string, AgentLoad>();
    await Promise.all(
      peers.map(peer =>
        queue.add(async () => {
          for (const heard of await collectFrom(peer.peerAddress)) {
            merge(fresh, heard);
          }
        }),
      ),
    );
    collected = fresh;
    return next;
  }

  return {
    ...createLoop(context, 'agent-loads', step),
    getLoad: upstream => {
      const own = getOwn(upstream);
      const other = collected.get(upstream) ?? null;
      const newest =
        own && other ? (own.heardAt >= other.heardAt ? own : other) : own;
      const chosen = newest ?? other;
      if (!chosen) return null;
      const isRecent = clock.now() - chosen.heardAt <= LOAD_MAX_AGE_MS;
      return isRecent ? chosen : null;
    },
    rpcMethods: {
      'load.collect': defineMethod(z.object({}), () => ({
        loads: getHeard(control.getState()),
      })),
    },
  };
}
