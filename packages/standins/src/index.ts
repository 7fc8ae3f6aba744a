/** Stand-ins for external systems, for tests, the demo and benches. */
export * from './engine.js';
export * from './faultProxy.js';
export type {Fault} from './faults.js';
export * from './instanceList.js';
export * from './log.js';
export * from './ordering.js';
export * from './plainService.js';
export * from './reports.js';
export * from './scoring.js';
export type {Service, ServiceOptions} from './service.js';
export * from './platformEngine.js';
export * from './metadataStore.js';
export * from './tokenText.js';
export type {AuditEntry, ColdStartOptions} from './upstreamState.js';
export * from './weightStore.js';
