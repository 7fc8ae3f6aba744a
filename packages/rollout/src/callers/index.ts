/** Callers and trainers: their listener and answers. */
export * from './callerServer.js';
