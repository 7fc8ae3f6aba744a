/** Schemas of records and pure decision functions. */
export * from './access.js';
export * from './admission.js';
export * from './constants.js';
export * from './controlRecords.js';
export * from './controlState.js';
export * from './ejection.js';
export * from './instances.js';
export * from './lease.js';
export * from './messages.js';
export * from './records.js';
export * from './retryBudget.js';
export * from './sanitize.js';
export * from './upstreamChoice.js';
export * from './usageCells.js';
