import {randomUUID} from 'node:crypto';

import {MAX_AUDIT_BODY_CHARS, MAX_AUDIT_ENTRIES} from './constants.js';
import type {RouteContext} from './service.js';

export interface ColdStartOptions {
  /** Time from the start until the upstream is warm, ms. */
  coldMs?: number;
  /** Number of concurrent requests that a cold upstream can handle. */
  coldConcurrency?: number;
  /** What a cold upstream does when it exceeds `coldConcurrency`. */
  coldOverload?: 'crash' | 'stall';
  /** Text in a request body that crashes the upstream. */
  crashMarker?: string;
  /**
   * Time after a crash during which the upstream closes the connection of each
   * request, ms.
   */
  restartMs?: number;
}

/** One request as an upstream received it. */
export interface AuditEntry {
  method: string;
  /** Path with query, as received. */
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  epoch: string;
  atMs: number;
}

/** Cold start, crashes and audit of one upstream. */
export interface UpstreamState {
  getEpoch(): string;
  isCold(): boolean;
  isDown(): boolean;
  /** True while a cold upstream has more requests than it can handle. */
  isStalled(): boolean;
  /** Records a request; returns false if it crashed the upstream. */
  beginRequest(context: RouteContext): boolean;
  endRequest(): void;
  crash(): void;
  /** Makes the upstream cold for a span, `coldMs` by default. */
  makeCold(durationMs?: number): void;
  getAudit(): {
    requests: readonly AuditEntry[];
    peak: number;
    peakWhileCold: number;
    crashes: number;
    epoch: string;
  };
}

/** @param reset Resets all connections and drops all work in progress. */
export function createUpstreamState(
  options: ColdStartOptions,
  reset: () => void,
): UpstreamState {
  const requests: AuditEntry[] = [];
  const coldMs = options.coldMs ?? 0;
  const coldConcurrency = options.coldConcurrency ?? 2;
  let epoch = randomUUID();
  let warmAt = performance.now() + coldMs;
  let upAt = 0;
  let running = 0;
  let peak = 0;
  let peakWhileCold = 0;
  let crashes = 0;

  const isCold = () => performance.now() < warmAt;
  const isOverloaded = () => isCold() && running > coldConcurrency;
  const makeCold = (durationMs = coldMs) => {
    warmAt = performance.now() + durationMs;
  };
  const crash = () => {
    crashes++;
    epoch = randomUUID();
    upAt = performance.now() + (options.restartMs ?? 0);
    warmAt = upAt + coldMs;
    reset();
  };
  const recordRequest = ({request, body}: RouteContext) => {
    if (requests.length >= MAX_AUDIT_ENTRIES) requests.shift();
    requests.push({
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: body.toString('utf8').slice(0, MAX_AUDIT_BODY_CHARS),
      epoch,
      atMs: Date.now(),
    });
  };
  return {
    getEpoch: () => epoch,
    isCold,
    isDown: () => performance.now() < upAt,
    isStalled: isOverloaded,
    beginRequest: context => {
      recordRequest(context);
      running++;
      peak = Math.max(peak, running);
      if (isCold()) peakWhileCold = Math.max(peakWhileCold, running);
      const isMarked =
        options.crashMarker !== undefined &&
        context.body.includes(options.crashMarker);
      const isCrash =
        isMarked || (isOverloaded() && options.coldOverload !== 'stall');
      if (isCrash) crash();
      return !isCrash;
    },
    endRequest: () => {
      running--;
    },
    crash,
    makeCold,
    getAudit: () => ({requests, peak, peakWhileCold, crashes, epoch}),
  };
}
