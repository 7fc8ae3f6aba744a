/** The daemon: roles entry and agent, and the controller. */
export * from './callerServer.js';
export * from './dispatcher.js';
export type * from './types.js';
