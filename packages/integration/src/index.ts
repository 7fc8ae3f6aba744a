/** Process harness, test deployments and contract tests. */
export * from './commandLine.js';
export * from './callers.js';
export * from './contract.js';
export * from './deployment.js';
export * from './engineContract.js';
export * from './platformContracts.js';
export * from './processHarness.js';
