import type {Clock} from '@vanillacross/common';
import {Metrics, createLogger} from '@vanillacross/common';

import type {NoticeRegistryOptions} from '../upstreams/index.js';
import {NoticeRegistry} from '../upstreams/index.js';

/** A registry of a process that hears of no others unless overridden. */
export function createNoticeRegistry(
  clock: Clock,
  overrides: Partial<NoticeRegistryOptions> = {},
): NoticeRegistry {
  return new NoticeRegistry({
    process: 'p1',
    publisher: {
      publishLimit: () => {},
      publishLeaving: () => {},
      publishDemand: () => {},
    },
    getViewAt: () => clock.now(),
    getProcessCount: () => 1,
    hasControlCalls: () => false,
    isListed: () => true,
    clock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
    ...overrides,
  });
}
