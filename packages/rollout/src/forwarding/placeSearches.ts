import type {SchedulingPolicy} from '../model/index.js';
import type {PlaceSearch, PlaceSeeker} from './placeSearch.js';
import {PollingSearch} from './pollingSearch.js';
import {QueueSearch} from './queueSearch.js';

const searches: Readonly<
  Record<
    SchedulingPolicy['admission'],
    new (seeker: PlaceSeeker) => PlaceSearch
  >
> = {polling: PollingSearch, queue: QueueSearch};

/** Creates the search of a request as the deployment's policy states. */
export function createPlaceSearch(seeker: PlaceSeeker): PlaceSearch {
  return new searches[seeker.context.policy.admission](seeker);
}
