/** Types of the rollout node and the ports that an adapter implements. */
export * from './ports.js';
export * from './types.js';
