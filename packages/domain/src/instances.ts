import {z} from 'zod';

/** A process of this system as listed by the platform. */
export const instanceSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'agent']),
  domain: z.string(),
  /** Caller listener of an entry or data listener of an agent, `ip:port`. */
  address: z.string(),
  /** RPC listener, `ip:port`. */
  peerAddress: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Only set for agents. */
  upstream: z.object({id: z.string(), pool: z.string()}).optional(),
});

export type Instance = z.infer<typeof instanceSchema>;
/** An agent, which runs next to one upstream. */
export type AgentInstance = Instance & {
  upstream: NonNullable<Instance['upstream']>;
};

export function isAgent(instance: Instance): instance is AgentInstance {
  return instance.role === 'agent' && instance.upstream !== undefined;
}
