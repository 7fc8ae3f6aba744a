// Public exports of the daemon: components of the entry and the agent, the
// controller and shared types.

export * from './agentLink.js';
export * from './controlFollower.js';
export * from './instanceDirectory.js';
export * from './membership.js';
export * from './operatorActions.js';
export * from './peerCalls.js';
export * from './agentLimits.js';
export * from './agentServer.js';
export * from './callerServer.js';
export * from './dispatcher.js';
export * from './controller.js';
export * from './trainerActions.js';
export type * from './types.js';
