/** The daemon: roles entry and agent, and the controller. */
export * from './agentLink.js';
export * from './controlFollower.js';
export * from './instanceDirectory.js';
export * from './membership.js';
export * from './operatorActions.js';
export * from './peerCalls.js';
export type * from './types.js';
