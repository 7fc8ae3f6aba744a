import * as http from 'node:http';

import type {JsonResponse, Result} from '@vanillacross/common';
import {fail, ok, requestJson} from '@vanillacross/common';
import type {ZodType} from 'zod';
import {z} from 'zod';

import type {MayWrite, PlatformFailure} from './types.js';

/** Maximum number of keep-alive connections to one platform interface. */
const MAX_SOCKETS = 64;
/** Default timeout of a request, ms. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 5_000;

const retryAfterSchema = z.object({retryAfterMs: z.number().min(0)});

/** A request to a platform interface. */
export interface PlatformHttpRequest<Body> {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  body?: unknown;
  /** Schema of the body of a 200 response. */
  schema: ZodType<Body>;
  /**
   * True if the request changes state, so that its outcome is unknown after a
   * lost response.
   */
  hasEffect: boolean;
  timeoutMs?: number;
  signal?: AbortSignal;
  mayWrite?: MayWrite;
  /**
   * Interprets responses whose status has a special meaning; undefined applies
   * the default interpretation.
   */
  interpretResponse?: (
    response: JsonResponse,
  ) => Result<Body, PlatformFailure> | undefined;
}

/** HTTP client of one platform interface. */
export interface PlatformHttpClient {
  request<Body>(
    request: PlatformHttpRequest<Body>,
  ): Promise<Result<Body, PlatformFailure>>;
}

/**
 * Failure after a lost or unusable response: the outcome of a request that has
 * an effect is unknown.
 */
function createLostResponseFailure(hasEffect: boolean, detail: string) {
  const tag = hasEffect ? 'unknown' : 'unavailable';
  return fail<PlatformFailure>({tag, detail});
}

/** Default interpretation of a status code other than 200. */
function createStatusFailure(
  response: JsonResponse,
  hasEffect: boolean,
): Result<never, PlatformFailure> {
  const detail = `status ${response.status}`;
  if (response.status === 429 || response.status === 503) {
    const parsed = retryAfterSchema.safeParse(response.body);
    const retryAfterMs = parsed.data?.retryAfterMs;
    return fail({tag: 'unavailable', detail, retryAfterMs});
  }
  if (response.status >= 400 && response.status < 500) {
    return fail({tag: 'rejected', detail});
  }
  return createLostResponseFailure(hasEffect, detail);
}

/**
 * Creates a client with its own keep-alive connections; `connection` overrides
 * the options of its HTTP agent.
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
    request: async request => {
      const response = await requestJson({
        method: request.method,
        url: `${base}${request.path}`,
        body: request.body,
        timeoutMs: request.timeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
        signal: request.signal,
        mayWrite: request.mayWrite,
        agent,
      });
      if (!response.ok) {
        const {tag, detail} = response.error;
        if (tag === 'refused') return fail({tag: 'unavailable', detail});
        return createLostResponseFailure(request.hasEffect, detail);
      }
      const interpreted = request.interpretResponse?.(response.value);
      if (interpreted) return interpreted;
      if (response.value.status !== 200) {
        return createStatusFailure(response.value, request.hasEffect);
      }
      const body = request.schema.safeParse(response.value.body);
      if (body.success) return ok(body.data);
      const detail = `unexpected answer: ${body.error.issues[0]?.message}`;
      return createLostResponseFailure(request.hasEffect, detail);
    },
  };
}
