/** Limits and intervals of an agent, all with defaults. */
export interface AgentLimits {
  /** Largest request body that is buffered, bytes. */
  maxBodyBytes: number;
  /** Largest answer that is kept for repeats of an idempotency key, bytes. */
  maxStoredResponseBytes: number;
  /** Idempotency keys that are remembered. */
  maxKeys: number;
  /** Attempt ids that are remembered. */
  maxAttempts: number;
  /** Memory for all stored answers together, bytes. */
  maxStoredTotalBytes: number;
  /** Repeats that wait for a running request at the same time. */
  maxWaiters: number;
  /** Deadline of a request that names none, ms. */
  requestTimeoutMs: number;
  /** Interval between checks of the upstream, ms. */
  statusIntervalMs: number;
  statusTimeoutMs: number;
  /** Time for an engine to answer an order, ms. */
  orderTimeoutMs: number;
  /** Time for a partner to answer about an idempotency key, ms. */
  claimTimeoutMs: number;
}

export const DEFAULT_AGENT_LIMITS: AgentLimits = {
  maxBodyBytes: 16 * 1024 * 1024,
  maxStoredResponseBytes: 64 * 1024,
  maxKeys: 65_536,
  maxAttempts: 131_072,
  maxStoredTotalBytes: 32 * 1024 * 1024,
  maxWaiters: 256,
  requestTimeoutMs: 60_000,
  statusIntervalMs: 250,
  statusTimeoutMs: 2_000,
  orderTimeoutMs: 30_000,
  claimTimeoutMs: 1_000,
};
