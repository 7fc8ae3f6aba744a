import {fail, ok} from '@vanillacross/common';
import {z} from 'zod';

import {
  DEFAULT_REQUEST_TIMEOUT_MS,
  createPlatformHttpClient,
} from './platformHttpClient.js';
import type {LogPort, StreamRange} from './types.js';

/** Maximum number of records that one read returns. */
const MAX_RECORDS_PER_READ = 1_000;

const offsetSchema = z.number().int().min(0);
const appendedSchema = z.object({offsets: z.array(offsetSchema)});
const rangeSchema = z.object({
  records: z.array(
    z.object({
      offset: offsetSchema,
      appendId: z.string(),
      payload: z.unknown(),
    }),
  ),
  earliest: offsetSchema,
  next: offsetSchema,
});
const gapSchema = z.object({earliest: offsetSchema, next: offsetSchema});

type ReadResult =
  | {tag: 'range'; range: StreamRange}
  | {tag: 'gap'; earliest: number; next: number};

/** Creates an HTTP adapter for the platform's log. */
export function createLogPort(baseUrl: string): LogPort {
  const client = createPlatformHttpClient(baseUrl);
  const getPath = (stream: string) =>
    `/v1/streams/${encodeURIComponent(stream)}/records`;
  return {
    append: async (stream, records) => {
      const response = await client.request({
        method: 'POST',
        path: getPath(stream),
        body: {records},
        schema: appendedSchema,
        hasEffect: true,
      });
      if (!response.ok) return response;
      if (response.value.offsets.length === records.length) {
        return ok(response.value.offsets);
      }
      const detail = 'the answer has another number of offsets';
      return fail({tag: 'unknown', detail});
    },
    read: async (stream, from, waitMs, signal) => {
      const query = `from=${from}&max=${MAX_RECORDS_PER_READ}&waitMs=${waitMs}`;
      const response = await client.request<ReadResult>({
        method: 'GET',
        path: `${getPath(stream)}?${query}`,
        schema: rangeSchema.transform(range => ({tag: 'range', range})),
        hasEffect: false,
        timeoutMs: waitMs + DEFAULT_REQUEST_TIMEOUT_MS,
        signal,
        interpretResponse: ({status, body}) => {
          if (status !== 410) return undefined;
          const gap = gapSchema.safeParse(body);
          if (gap.success) return ok({tag: 'gap', ...gap.data});
          return fail({
            tag: 'unavailable',
            detail: 'unexpected 410 answer',
          });
        },
      });
      if (!response.ok) return response;
      if (response.value.tag === 'gap') return fail(response.value);
      return ok(response.value.range);
    },
  };
}
