/** Limits, intervals and timeouts of an agent. */
export interface AgentLimits {
  /** Maximum size of a buffered request body, bytes. */
  maxBodyBytes: number;
  /** Maximum size of a response stored for replay, bytes. */
  maxStoredResponseBytes: number;
  /** Maximum number of idempotency keys in memory. */
  maxKeys: number;
  /** Maximum number of attempt ids in memory. */
  maxAttempts: number;
  /** Memory limit for all stored responses together, bytes. */
  maxStoredTotalBytes: number;
  /** Maximum number of repeated requests that wait for a running one. */
  maxWaiters: number;
  /** Deadline of a request without a deadline header, ms. */
  requestTimeoutMs: number;
  /** Interval between health checks of the upstream, ms. */
  statusIntervalMs: number;
  statusTimeoutMs: number;
  /** Timeout for an engine to answer an order, ms. */
  orderTimeoutMs: number;
  /** Timeout for a peer to answer a claim or completion of a key, ms. */
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
