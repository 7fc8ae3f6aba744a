/** Duration of the controller lease, ms. */
export const LEASE_MS = 10_000;
/** Interval between lease renewals, ms. */
export const LEASE_RENEW_MS = 3_000;
/**
 * Time to wait after the lease has expired before another instance may claim
 * it, ms; covers clock drift and network latency.
 */
export const LEASE_MARGIN_MS = 2_000;
/** Number of entries that each agent polls and reports to. */
export const ENTRIES_PER_AGENT = 3;
/**
 * Minimum number of upstreams that an entry uses per pool and failure domain,
 * if the domain has that many.
 */
export const UPSTREAMS_PER_DOMAIN = 4;
/**
 * Number of append outcomes to keep. They identify duplicate appends and
 * refused puts.
 */
export const MAX_RETAINED_APPEND_OUTCOMES = 4_096;
/**
 * Number of sealed windows whose usage is kept so that a report can be sent
 * again.
 */
export const MAX_RETAINED_SEALS = 256;
/** Maximum number of quarantined request fingerprints. */
export const MAX_QUARANTINED_FINGERPRINTS = 1_024;
/**
 * Maximum token count in one message. Sums of larger counts would leave the
 * range of exactly representable integers, and the schemas of polls and seals
 * would reject them.
 */
export const MAX_REPORTED_TOKENS = 1_000_000_000;
