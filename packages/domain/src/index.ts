/** Schemas of records and pure decision functions. */
export * from './agentView.js';
export * from './checkpointCycle.js';
export * from './constants.js';
export * from './controlRecords.js';
export * from './controlState.js';
export * from './dedup.js';
export * from './fencing.js';
export * from './instances.js';
export * from './lease.js';
export * from './messages.js';
export * from './ramp.js';
export * from './records.js';
export * from './settings.js';
export * from './subset.js';
export * from './spans.js';
