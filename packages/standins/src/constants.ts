/** Appends per second that the platform's log accepts by default. */
export const DEFAULT_APPENDS_PER_SECOND = 300;
/** Largest request body that a stand-in reads, bytes. */
export const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Longest long poll of the log, ms. */
export const MAX_LONG_POLL_MS = 60_000;
/** Maximum number of records in one log read if the reader gives no limit. */
export const DEFAULT_READ_RECORDS = 1_000;
/** Maximum length of an audit list; the oldest entries are dropped. */
export const MAX_AUDIT_ENTRIES = 20_000;
/** Characters of the request body that an audit entry keeps. */
export const MAX_AUDIT_BODY_CHARS = 500;
/** Prompt characters per block of the engine's prefix cache. */
export const CACHE_BLOCK_CHARS = 64;
/** Prompt characters that count as one token. */
export const CHARS_PER_TOKEN = 4;
/** KV cache states that an engine keeps for export. */
export const MAX_KV_STATES = 256;
