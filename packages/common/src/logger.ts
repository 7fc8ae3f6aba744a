import {pino} from 'pino';

import {LogRateLimiter} from './logRateLimiter.js';

/** Writes short sentences with the fixed prefix of one part. */
export interface Logger {
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
  /** A logger for another part of the same process. */
  child(prefix: string): Logger;
}

export type LogLevel = 'info' | 'warn' | 'error' | 'silent';

/** Field names whose values are never logged. */
const REDACTED_FIELDS = ['key', 'secret', 'authorization', 'token'];

function wrapPino(base: pino.Logger, prefix: string): Logger {
  return {
    info: (message, fields = {}) => base.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => base.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) =>
      base.error(fields, `${prefix}: ${message}`),
    child: other => wrapPino(base, other),
  };
}

/** Creates the logger of a process; JSON lines on standard error. */
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

/** Log lines that wait for a slow reader, bytes; further ones are dropped. */
const MAX_BUFFERED_LOG_BYTES = 512 * 1024;
/** Lines are written together once this many bytes wait. */
const LOG_BATCH_BYTES = 4 * 1024;
/** Longest time that a line waits to be written, ms. */
const LOG_FLUSH_MS = 200;

/**
 * Creates the logger of a process that never blocks: JSON lines on standard
 * output, written in batches, dropped where the reader is too slow.
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
  const limit = new LogRateLimiter(() => performance.now());
  return limit.wrap(wrapPino(base, prefix), prefix);
}
