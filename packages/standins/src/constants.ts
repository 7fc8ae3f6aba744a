/** Appends a second that the platform's log accepts by default. */
export const DEFAULT_APPENDS_PER_SECOND = 300;
/** Largest request body that a stand-in reads, bytes. */
export const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Longest long poll of the log, ms. */
export const MAX_LONG_POLL_MS = 60_000;
/** Records of one log read when the reader names no maximum. */
export const DEFAULT_READ_RECORDS = 1_000;
/** Entries that an audit list keeps; older ones are dropped. */
export const MAX_AUDIT_ENTRIES = 20_000;
/** Characters of a request body that an audit entry keeps. */
export const MAX_AUDIT_BODY_CHARS = 500;
/** Characters of prompt in one block of the engine's prefix cache. */
export const CACHE_BLOCK_CHARS = 64;
/** Characters of prompt counted as one token. */
export const CHARS_PER_TOKEN = 4;
/** Exported KV states that an engine keeps. */
export const MAX_KV_STATES = 256;
