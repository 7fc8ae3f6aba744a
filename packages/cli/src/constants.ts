/** Exit statuses of `vanillacross`. */
export const EXIT = {
  done: 0,
  failed: 1,
  /** Invalid arguments, settings or declarations. */
  usage: 2,
  /** Another operator changed the record first. */
  conflict: 3,
  /** The log did not accept the change. */
  notAccepted: 4,
  /** The change may or may not have been accepted. */
  unknown: 5,
  /** Accepted, but not in force on all instances within the time limit. */
  notInForce: 6,
  /** `plan --exit-code` found changes. */
  changes: 10,
} as const;

/**
 * Timeout of one request to an entry, ms. An entry needs several seconds to
 * detect that the log accepts no appends, and only its response tells whether
 * the change was accepted.
 */
export const OPERATOR_REQUEST_TIMEOUT_MS = 45_000;
/** Maximum number of puts that an entry accepts in one request. */
export const MAX_PUTS_PER_REQUEST = 256;
/**
 * Maximum size of the changes in one request, bytes; entries accept bodies of
 * up to 1 MiB.
 */
export const MAX_PUT_REQUEST_BYTES = 900_000;
/**
 * Interval at which the CLI checks whether a change is in force on all
 * instances, ms.
 */
export const IN_FORCE_POLL_MS = 200;
/** Time limit for a change to be in force everywhere, ms. */
export const IN_FORCE_TIMEOUT_MS = 30_000;
/** Random bytes in a new API key. */
export const API_KEY_BYTES = 24;
