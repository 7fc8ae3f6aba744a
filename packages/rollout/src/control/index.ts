/** Deployment-wide tasks: the lease, weight updates and usage reports. */
export * from './controlFeed.js';
export * from './controlRecords.js';
export * from './lease.js';
export * from './leaseTask.js';
export * from './membershipTask.js';
export * from './timeConsensus.js';
export * from './usageLedger.js';
export * from './usageTask.js';
export * from './weightUpdater.js';
export * from './weightPlan.js';
