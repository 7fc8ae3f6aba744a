/** The operator's configuration as it is in force at this process. */
export * from './configurationState.js';
export * from './routes.js';
