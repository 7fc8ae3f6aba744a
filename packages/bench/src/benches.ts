import {passthrough} from './passthrough.js';
import type {Bench} from './types.js';
import {weightRollout} from './weightRollout.js';

/** All benches by name. */
export const benches: readonly Bench[] = [passthrough, weightRollout];
