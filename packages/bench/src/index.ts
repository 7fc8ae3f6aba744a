/** Benchmarks and the measurements for capacity planning. */
export {benches} from './benches.js';
export type {Bench, Measurement} from './types.js';
