import type {Logger} from './logger.js';

/** Exit status of a process that ends because of an unhandled exception. */
export const EXIT_UNHANDLED = 1;

/**
 * Ends the process at an exception or a rejection that nothing handles, with the
 * reason as its last log line. The logger writes what it holds when it exits.
 */
export function exitOnUnhandledErrors(logger: Logger): void {
  process.on('uncaughtException', (error: unknown) => {
    const detail = error instanceof Error ? error.stack : String(error);
    logger.error('process ends after an unhandled exception', {detail});
    process.exit(EXIT_UNHANDLED);
  });
}
