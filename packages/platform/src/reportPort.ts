import {ok} from '@vanillacross/common';
import type {AgentOptions} from 'node:http';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {ReportPort} from './types.js';

/** Creates the adapter of the platform's interface for usage reports. */
export function createReportPort(
  baseUrl: string,
  connection?: AgentOptions,
): ReportPort {
  const caller = createPlatformHttpClient(baseUrl, connection);
  return {
    report: async (window, figures, sealOffset, timeoutMs, mayWrite) => {
      const answer = await caller.request({
        method: 'PUT',
        path: `/v1/reports/${window}`,
        body: {figures, sealOffset},
        schema: z.unknown(),
        hasEffect: true,
        timeoutMs,
        mayWrite,
      });
      return answer.ok ? ok(null) : answer;
    },
  };
}
