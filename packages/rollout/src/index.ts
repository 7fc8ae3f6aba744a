/** A process of a deployment that shares everything through a log. */
export * from './model/index.js';
export * from './node.js';
