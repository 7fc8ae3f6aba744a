/** Duration of the controller lease, ms. */
export const LEASE_MS = 10_000;
/** Interval between lease renewals, ms. */
export const LEASE_RENEW_MS = 3_000;
/** Covers clock drift and flight time before a successor may claim, ms. */
export const LEASE_MARGIN_MS = 2_000;
/** Entries that each agent polls and reports to. */
export const ENTRIES_PER_AGENT = 3;
/** Upstreams of a (pool, failure domain) that an entry always includes. */
export const UPSTREAMS_PER_DOMAIN = 4;
/** Append outcomes that are remembered for duplicates and refused puts. */
export const MAX_RETAINED_APPEND_OUTCOMES = 4_096;
/** Sealed windows whose figures are kept for resends. */
export const MAX_RETAINED_SEALS = 256;
/** Quarantined fingerprints that are kept. */
export const MAX_QUARANTINED_FINGERPRINTS = 1_024;
/**
 * Largest token count that one message may state. Sums of larger counts leave
 * the range of exact integers, and the schemas of polls and seals refuse them.
 */
export const MAX_REPORTED_TOKENS = 1_000_000_000;
