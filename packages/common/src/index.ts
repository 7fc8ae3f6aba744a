/** Helpers shared by all packages. */
export * from './fatalError.js';
export * from './fuzzSeed.js';
export * from './brand.js';
export * from './clock.js';
export * from './hash.js';
export * from './http.js';
export * from './logRateLimiter.js';
export * from './logger.js';
export * from './metrics.js';
export * from './random.js';
export * from './result.js';
export * from './rpc.js';
export * from './settings.js';
