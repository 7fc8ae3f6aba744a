import type {MonotonicMs} from '@vanillacross/common';

import type {Upstream} from '../upstreams/index.js';
import type {ForwardContext, ForwardRequest} from './types.js';

/** The request that a place is searched for, and its attempts. */
export interface PlaceSeeker {
  context: ForwardContext;
  request: ForwardRequest;
  startedAt: MonotonicMs;
  /** Upstreams that were tried lately; a search may clear it. */
  tried: Set<Upstream>;
  hasOpenAttempt(): boolean;
  /** Whether it may wait for another attempt; gives up if it must not run. */
  mayWait(): boolean;
  /** Whether another attempt may be sent; gives up otherwise. */
  mayContinue(): boolean;
  /** Why the last attempt failed or none was sent. */
  getLastReason(): string;
  send(upstream: Upstream): void;
  /** Searches again. */
  sendNext(): void;
  /** Ends the request; nothing is sent for it later. */
  refuse(reason: string, retryAfterMs: number): void;
}

/** How a request finds an upstream for its next attempt. */
export interface PlaceSearch {
  /** Sends the request now or once an upstream has room, or refuses it. */
  find(): void;
  /**
   * Notes the start of an attempt. Returns a function that notes its end and
   * whether an upstream has executed it; calls after the first are ignored.
   */
  recordStart(upstream: Upstream): (isServed: boolean) => void;
  /** Whether a second attempt may be sent beside the first one. */
  mayHedge(): boolean;
  /** Ends the search; the request is not sent afterwards. */
  stop(): void;
}
