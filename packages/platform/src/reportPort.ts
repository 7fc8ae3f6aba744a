import {ok} from '@vanillacross/common';
import {z} from 'zod';

import {createPlatformCaller} from './platformCall.js';
import type {ReportPort} from './types.js';

/** Creates the adapter of the platform's interface for usage reports. */
export function createReportPort(baseUrl: string): ReportPort {
  const caller = createPlatformCaller(baseUrl);
  return {
    report: async (window, figures, sealOffset, timeoutMs) => {
      const answer = await caller.call({
        method: 'PUT',
        path: `/v1/reports/${window}`,
        body: {figures, sealOffset},
        schema: z.unknown(),
        hasEffect: true,
        timeoutMs,
      });
      return answer.ok ? ok(null) : answer;
    },
  };
}
