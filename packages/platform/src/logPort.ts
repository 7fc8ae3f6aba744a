import {fail, ok} from '@vanillacross/common';
import {z} from 'zod';

import {
  DEFAULT_REQUEST_TIMEOUT_MS,
  createPlatformHttpClient,
} from './platformHttpClient.js';
import type {LogPort, StreamRange} from './types.js';

/** Records that one read returns at most. */
const MAX_RECORDS = 1_000;

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
const goneSchema = z.object({earliest: offsetSchema, next: offsetSchema});

type ReadBody =
  | {tag: 'range'; range: StreamRange}
  | {tag: 'gap'; earliest: number; next: number};

/** Creates the adapter of the platform's log. */
export function createLogPort(baseUrl: string): LogPort {
  const caller = createPlatformHttpClient(baseUrl);
  const getPath = (stream: string) =>
    `/v1/streams/${encodeURIComponent(stream)}/records`;
  return {
    append: async (stream, records) => {
      const answer = await caller.request({
        method: 'POST',
        path: getPath(stream),
        body: {records},
        schema: appendedSchema,
        hasEffect: true,
      });
      if (!answer.ok) return answer;
      if (answer.value.offsets.length === records.length) {
        return ok(answer.value.offsets);
      }
      const detail = 'the answer has another number of offsets';
      return fail({tag: 'unknown', detail});
    },
    read: async (stream, from, waitMs, signal) => {
      const query = `from=${from}&max=${MAX_RECORDS}&waitMs=${waitMs}`;
      const answer = await caller.request<ReadBody>({
        method: 'GET',
        path: `${getPath(stream)}?${query}`,
        schema: rangeSchema.transform(range => ({tag: 'range', range})),
        hasEffect: false,
        timeoutMs: waitMs + DEFAULT_REQUEST_TIMEOUT_MS,
        signal,
        interpretResponse: ({status, body}) => {
          if (status !== 410) return undefined;
          const gone = goneSchema.safeParse(body);
          if (gone.success) return ok({tag: 'gap', ...gone.data});
          return fail({tag: 'unavailable', detail: 'unexpected 410 answer'});
        },
      });
      if (!answer.ok) return answer;
      if (answer.value.tag === 'gap') return fail(answer.value);
      return ok(answer.value.range);
    },
  };
}
