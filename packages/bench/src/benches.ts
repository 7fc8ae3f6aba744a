import {passthrough} from './passthrough.js';
import {slopesBench} from './slopes.js';
import type {Bench} from './types.js';
import {weightRollout} from './weightRollout.js';

/** All benches by name. */
export const benches: readonly Bench[] = [
  passthrough,
  slopesBench,
  weightRollout,
];
