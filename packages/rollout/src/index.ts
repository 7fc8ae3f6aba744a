/** A node of a deployment whose processes share state through a log. */
export * from './model/index.js';
export * from './node.js';
