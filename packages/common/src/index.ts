/** Helpers that every package may use. */
export * from './abuse.js';
export * from './brand.js';
export * from './clock.js';
export * from './hash.js';
export * from './http.js';
export * from './logLimit.js';
export * from './logger.js';
export * from './metrics.js';
export * from './result.js';
export * from './rpc.js';
export * from './settings.js';
