import {pino} from 'pino';

import {LogRateLimiter} from './logRateLimiter.js';

/** Writes messages, prefixed with a component name, and structured fields. */
export interface Logger {
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
  /** Returns a logger for another component of the same process. */
  child(prefix: string): Logger;
}

export type LogLevel = 'info' | 'warn' | 'error' | 'silent';

/** Names of fields whose values are never logged. */
const REDACTED_FIELDS = ['key', 'secret', 'authorization', 'token'];

function wrapPino(base: pino.Logger, prefix: string): Logger {
  return {
    info: (message, fields = {}) => base.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => base.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) =>
      base.error(fields, `${prefix}: ${message}`),
    child: childPrefix => wrapPino(base, childPrefix),
  };
}

/**
 * Creates a logger that writes JSON lines synchronously to standard error.
 */
export function createLogger(
  prefix: string,
  level: LogLevel = 'info',
  fields: Record<string, unknown> = {},
): Logger {
  const base = pino(
    {level, base: fields, redact: REDACTED_FIELDS},
    pino.destination({fd: 2, sync: true}),
  );
  return wrapPino(base, prefix);
}

/**
 * Maximum size of log lines buffered for a slow reader, bytes; further lines
 * are dropped.
 */
const MAX_BUFFERED_LOG_BYTES = 512 * 1024;
/** Size of buffered log lines at which they are written, bytes. */
const LOG_BATCH_BYTES = 4 * 1024;
/** Maximum time that a log line stays buffered, ms. */
const LOG_FLUSH_MS = 200;

/**
 * Creates the logger of a process that must not block: JSON lines are written
 * to standard output in batches and dropped if the reader is too slow.
 */
export function createAsyncLogger(
  prefix: string,
  fields: Record<string, unknown> = {},
  level: LogLevel = 'info',
): Logger {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: LOG_BATCH_BYTES,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  setInterval(() => destination.flush(), LOG_FLUSH_MS).unref();
  const base = pino(
    {level, base: fields, redact: REDACTED_FIELDS},
    destination,
  );
  const limiter = new LogRateLimiter(() => performance.now());
  return limiter.wrap(wrapPino(base, prefix), prefix);
}
