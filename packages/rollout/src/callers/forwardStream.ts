import {getRequestFingerprint} from '@vanillacross/common';
import type {ServerResponse} from 'node:http';

import type {ForwardContext, ForwardRequest} from '../forwarding/index.js';
import type {Exchange, ExchangeEvents, Upstream} from '../upstreams/index.js';
import {chooseUpstream, startExchange} from '../upstreams/index.js';
import type {Refusal} from './refusal.js';
import {RETRY_AFTER_MS, getQuarantineRefusal} from './refusal.js';

/**
 * Passes a stream of events on as it arrives. Another upstream is asked only
 * while none can have run the request; a stream that breaks off later ends
 * with a reset, so that it does not look complete.
 */
export function forwardStream(
  context: ForwardContext,
  request: ForwardRequest,
  response: ServerResponse,
  refuse: (refusal: Refusal) => void,
): Promise<void> {
  return new Promise(resolve => {
    const tried = new Set<Upstream>();
    let exchange: Exchange | null = null;
    let isDone = false;
    const fingerprint = getRequestFingerprint(
      request.method,
      request.target,
      request.body,
    );
    const finish = (refusal?: Refusal) => {
      if (isDone) return;
      isDone = true;
      cancelDeadline();
      exchange?.abort();
      if (refusal && !response.headersSent) refuse(refusal);
      else if (refusal) response.destroy();
      resolve();
    };
    const cancelDeadline = context.clock.callAt(request.deadline, () =>
      finish({status: 504, reason: 'timeout'}),
    );
    const refuseUnrun = (reason: string) =>
      finish({status: 503, reason, retryAfterMs: RETRY_AFTER_MS});
    const getEvents = (): ExchangeEvents => {
      let isPassed = false;
      return {
        onHead: (head, headers) => {
          if (head.isNotRun || head.isMisdirected) return;
          isPassed = true;
          context.onExecutionStart(request.account);
          const passed = context.dialect.getCallerHeaders(headers);
          response.writeHead(head.status, passed);
        },
        onData: chunk => {
          if (isPassed) response.write(chunk);
        },
        onEnd: () => {
          if (!isPassed) return sendNext();
          response.end();
          finish();
        },
        onFailure: failure => {
          exchange?.upstream.recordFailure();
          if (failure.tag === 'lost' && exchange) {
            context.crashes.reportCrash(fingerprint, exchange.upstream.id);
          }
          if (failure.tag === 'not_sent') return sendNext();
          finish({status: 502, reason: `${failure.tag}: ${failure.detail}`});
        },
      };
    };
    const sendNext = () => {
      if (isDone) return;
      const upstream = chooseUpstream(
        context.directory.getUsable(request.pool.id),
        {
          pool: request.pool,
          coldShare: context.getColdShare(request.pool),
          domain: context.domain,
          tried,
          weights: null,
          maxInFlight: request.pool.maxConnections,
          isBackground: request.isBackground,
        },
      );
      if (!upstream) return refuseUnrun('no upstream has room');
      tried.add(upstream);
      exchange = startExchange(
        upstream,
        context.dialect,
        context.clock,
        {
          ...request,
          upstream: upstream.id,
          budgetMs: request.deadline - context.clock.now(),
          lastEventId: 0,
        },
        request.body,
        getEvents(),
      );
    };
    response.on('close', () => finish());
    if (context.crashes.isQuarantined(fingerprint)) {
      return finish(getQuarantineRefusal());
    }
    sendNext();
  });
}
