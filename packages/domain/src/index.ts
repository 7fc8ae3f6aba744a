/** Schemas of records and pure decision functions. */
export * from './checkpointPlan.js';
export * from './constants.js';
export * from './controlRecords.js';
export * from './controlReplay.js';
export * from './controlState.js';
export * from './instances.js';
export * from './lease.js';
export * from './messages.js';
export * from './quarantine.js';
export * from './records.js';
export * from './upstreamPlan.js';
export * from './usageWindows.js';
export * from './weightPlan.js';
