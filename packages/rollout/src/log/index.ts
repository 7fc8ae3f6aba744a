/** Reads from and appends to the platform's shared log. */
export * from './appendQueue.js';
export * from './confirmation.js';
export * from './entries.js';
export * from './longPollReader.js';
export * from './keyedTail.js';
export * from './storeHealth.js';
export * from './streamTail.js';
export * from './textStore.js';
