import {ok} from '@vanillacross/common';
import type {AgentOptions} from 'node:http';
import {z} from 'zod';

import {createPlatformHttpClient} from './platformHttpClient.js';
import type {ReportPort} from './types.js';

/** Creates an HTTP adapter for the platform's usage report interface. */
export function createReportPort(
  baseUrl: string,
  connection?: AgentOptions,
): ReportPort {
  const client = createPlatformHttpClient(baseUrl, connection);
  return {
    report: async (window, figures, sealOffset, timeoutMs, mayWrite) => {
      const response = await client.request({
        method: 'PUT',
        path: `/v1/reports/${window}`,
        body: {figures, sealOffset},
        schema: z.unknown(),
        hasEffect: true,
        timeoutMs,
        mayWrite,
      });
      return response.ok ? ok(null) : response;
    },
  };
}
