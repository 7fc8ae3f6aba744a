import {coldStart} from './coldStart.js';
import {configSpread} from './configSpread.js';
import {domainDeparture} from './domainDeparture.js';
import {fairness} from './fairness.js';
import {logOutage} from './logOutage.js';
import {passthrough} from './passthrough.js';
import {retryStorm} from './retryStorm.js';
import {routing} from './routing.js';
import {slopes} from './slopes.js';
import type {Bench} from './types.js';
import {weightRollout} from './weightRollout.js';

/** The benches that the command line offers. */
export const benches: readonly Bench[] = [
  coldStart,
  configSpread,
  domainDeparture,
  fairness,
  logOutage,
  passthrough,
  retryStorm,
  routing,
  slopes,
  weightRollout,
];
