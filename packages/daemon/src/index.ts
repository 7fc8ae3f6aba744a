/** The daemon: roles entry and agent, and the controller. */
export * from './agentLimits.js';
export * from './agentServer.js';
export type * from './agentUsage.js';
export type * from './types.js';
