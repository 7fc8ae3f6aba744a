/** The operator's configuration as this process applies it. */
export * from './configurationState.js';
export * from './routes.js';
