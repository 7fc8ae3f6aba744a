import * as http from 'node:http';

import type {JsonResponse, Result} from '@vanillacross/common';
import {fail, ok, requestJson} from '@vanillacross/common';
import type {ZodType} from 'zod';
import {z} from 'zod';

import type {MayWrite, PlatformFailure} from './types.js';

/** Connections to one platform interface that stay open between calls. */
const MAX_SOCKETS = 64;
/** Default time until a call is given up, ms. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

const retryAfterSchema = z.object({retryAfterMs: z.number().min(0)});

/** One call of a platform interface. */
export interface PlatformHttpRequest<Body> {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: unknown;
  /** Schema of the body of a 200 answer. */
  schema: ZodType<Body>;
  /** True if a lost answer leaves it open whether the call took effect. */
  hasEffect: boolean;
  timeoutMs?: number;
  signal?: AbortSignal;
  mayWrite?: MayWrite;
  /** Meaning of other status codes; undefined applies the general rule. */
  interpretResponse?: (
    answer: JsonResponse,
  ) => Result<Body, PlatformFailure> | undefined;
}

/** Calls one platform interface at a base URL. */
export interface PlatformHttpClient {
  request<Body>(
    call: PlatformHttpRequest<Body>,
  ): Promise<Result<Body, PlatformFailure>>;
}

/** A failure after which it is open whether a write took effect. */
function createLostFailure(hasEffect: boolean, detail: string) {
  const tag = hasEffect ? 'unknown' : 'unavailable';
  return fail<PlatformFailure>({tag, detail});
}

/** The general meaning of a status code other than 200. */
function createStatusFailure(
  answer: JsonResponse,
  hasEffect: boolean,
): Result<never, PlatformFailure> {
  const detail = `status ${answer.status}`;
  if (answer.status === 429 || answer.status === 503) {
    const parsed = retryAfterSchema.safeParse(answer.body);
    const retryAfterMs = parsed.data?.retryAfterMs;
    return fail({tag: 'unavailable', detail, retryAfterMs});
  }
  if (answer.status >= 400 && answer.status < 500) {
    return fail({tag: 'rejected', detail});
  }
  return createLostFailure(hasEffect, detail);
}

/**
 * Creates a caller with its own keep-alive connections; `connection` changes
 * how they are made.
 */
export function createPlatformHttpClient(
  baseUrl: string,
  connection: http.AgentOptions = {},
): PlatformHttpClient {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS,
    ...connection,
  });
  const base = baseUrl.replace(/\/+$/, '');
  return {
    request: async call => {
      const answer = await requestJson({
        method: call.method,
        url: `${base}${call.path}`,
        body: call.body,
        timeoutMs: call.timeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
        signal: call.signal,
        mayWrite: call.mayWrite,
        agent,
      });
      if (!answer.ok) {
        const {tag, detail} = answer.error;
        if (tag === 'refused') return fail({tag: 'unavailable', detail});
        return createLostFailure(call.hasEffect, detail);
      }
      const special = call.interpretResponse?.(answer.value);
      if (special) return special;
      if (answer.value.status !== 200) {
        return createStatusFailure(answer.value, call.hasEffect);
      }
      const body = call.schema.safeParse(answer.value.body);
      if (body.success) return ok(body.data);
      const detail = `unexpected answer: ${body.error.issues[0]?.message}`;
      return createLostFailure(call.hasEffect, detail);
    },
  };
}
