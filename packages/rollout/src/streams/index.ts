/** The software versions at which callers' streams began. */
export * from './servedVersionsTask.js';
export * from './streamOrigins.js';
