/** Requests on their way to upstreams: attempts, retries, hedges. */
export * from './requestForwarder.js';
