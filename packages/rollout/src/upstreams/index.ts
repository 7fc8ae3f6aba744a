/** Upstreams: directory, state, selection and HTTP exchanges. */
export * from './chooseUpstream.js';
export * from './coldShares.js';
export * from './connectionRefresher.js';
export * from './crashTracker.js';
export * from './upstreamDirectory.js';
export * from './eventBoundary.js';
export * from './exchange.js';
export * from './incarnationNotices.js';
export * from './noticeRegistry.js';
export * from './placementExplanation.js';
export * from './responseMemory.js';
export * from './sentPrompts.js';
export * from './upstream.js';
