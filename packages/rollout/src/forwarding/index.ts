/** Request forwarding to upstreams with retries and hedging. */
export * from './admissionQueue.js';
export * from './brokenConnection.js';
export * from './requestExplanation.js';
export * from './requestForwarder.js';
export * from './types.js';
export * from './upstreamForRequest.js';
export * from './waitingRequests.js';
