/** Ports of the platform's interfaces and their HTTP adapters. */
export * from './instanceListPort.js';
export * from './logClient.js';
export * from './logPort.js';
export * from './orderingPort.js';
export * from './reportPort.js';
export * from './scoringPort.js';
export type * from './types.js';
export * from './weightStorePort.js';
