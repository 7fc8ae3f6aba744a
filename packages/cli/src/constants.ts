/** Exit statuses of `vanillacross`. */
export const EXIT = {
  done: 0,
  failed: 1,
  /** Wrong arguments, settings or declarations. */
  usage: 2,
  /** Another operator was first. */
  conflict: 3,
  /** The log did not take the change. */
  notAccepted: 4,
  /** The change may or may not have been taken. */
  unknown: 5,
  /** Accepted, but not in force everywhere before the deadline. */
  notInForce: 6,
  /** `plan --exit-code` found changes. */
  changes: 10,
} as const;

/**
 * Time limit of one call to an entry, ms. An entry needs several seconds to
 * learn that the log takes nothing, and its answer says whether it did.
 */
export const OPERATOR_REQUEST_TIMEOUT_MS = 45_000;
/** Puts that an entry takes in one request. */
export const MAX_PUTS_PER_REQUEST = 256;
/** Size of the changes in one request, bytes; entries take 1 MiB of body. */
export const MAX_PUT_REQUEST_BYTES = 900_000;
/** Interval between questions for "in force everywhere", ms. */
export const IN_FORCE_POLL_MS = 200;
/** Time limit for "in force everywhere", ms. */
export const IN_FORCE_TIMEOUT_MS = 30_000;
/** Random bytes of a new key. */
export const API_KEY_BYTES = 24;
