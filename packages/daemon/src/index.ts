/** The daemon: roles entry and agent, and the controller. */
export type * from './types.js';
