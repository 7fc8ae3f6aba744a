/** The daemon: roles entry and agent, and the controller. */
export * from './controller.js';
export type * from './types.js';
