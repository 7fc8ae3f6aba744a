/** Request forwarding to upstreams with retries and hedging. */
export * from './requestForwarder.js';
