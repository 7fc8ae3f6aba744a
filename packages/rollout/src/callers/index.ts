/** The HTTP server for callers and trainers. */
export * from './callerServer.js';
