/** Ports for the platform's interfaces, with HTTP adapters. */
export * from './instanceListPort.js';
export * from './logClient.js';
export * from './logPort.js';
export * from './orderingPort.js';
export * from './reportPort.js';
export * from './scoringPort.js';
export type * from './types.js';
export * from './weightStorePort.js';
