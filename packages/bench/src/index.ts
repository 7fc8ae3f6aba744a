/** Benches and capacity slopes. */
export {benches} from './benches.js';
export type {Bench, Measurement} from './types.js';
