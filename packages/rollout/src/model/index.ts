/**
 * Types of the rollout node and the interfaces that a platform adapter
 * implements.
 */
export * from './ports.js';
export * from './schedulingPolicy.js';
export * from './types.js';
