/** Ports of the platform's interfaces and their HTTP adapters. */
export type * from './types.js';
