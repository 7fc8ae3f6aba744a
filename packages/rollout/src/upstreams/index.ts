/** Upstreams: the list, their state, choice among them, and exchanges. */
export * from './choice.js';
export * from './coldShares.js';
export * from './crashBook.js';
export * from './directory.js';
export * from './exchange.js';
export * from './upstream.js';
