import {getRequestFingerprint} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';

import type {ForwardContext, ForwardRequest} from '../forwarding/index.js';
import {NOT_PERMITTED_REASON, chooseForRequest} from '../forwarding/index.js';
import type {ResponseHead} from '../model/index.js';
import type {Exchange, ExchangeEvents, Upstream} from '../upstreams/index.js';
import {EventBoundary, startExchange} from '../upstreams/index.js';
import type {Refusal} from './refusal.js';
import {getQuarantineRefusal} from './refusal.js';

const EVENT_STREAM_TYPE = 'text/event-stream';

/** Whether only the end of the connection ends an event stream. */
function isUnframedEventStream(
  head: ResponseHead,
  headers: IncomingHttpHeaders,
): boolean {
  const type = headers['content-type'] ?? EVENT_STREAM_TYPE;
  return (
    head.status === 200 &&
    type.startsWith(EVENT_STREAM_TYPE) &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Forwards an event stream to the caller as it arrives. Another upstream is
 * tried only while no upstream can have executed the request. If the stream
 * fails after that, the caller's connection is reset so that a truncated stream
 * cannot be mistaken for a complete one. The upstream is read only as fast as
 * the caller reads, so that the memory held for a slow caller is bounded.
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
    const startedAt = context.clock.now();
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
      logEnd(refusal?.reason ?? 'closed');
      if (refusal && !response.headersSent) refuse(refusal);
      else if (refusal) response.destroy();
      resolve();
    };
    const logStart = ({id, entry}: Upstream) =>
      context.logger.info('stream starts', {
        request: request.id,
        resumes: request.continuation?.resumes,
        after: request.continuation?.after ?? 0,
        upstream: id,
        software: entry.software,
      });
    const logEnd = (outcome: string) =>
      context.logger.info('stream ended', {
        request: request.id,
        upstream: exchange?.upstream.id,
        isStarted: response.headersSent,
        outcome,
        elapsedMs: Math.round(context.clock.now() - startedAt),
      });
    const cancelDeadline = context.clock.callAt(request.deadline, () =>
      finish({status: 504, reason: 'timeout'}),
    );
    const refuseNotExecuted = (reason: string) =>
      finish({status: 503, reason, retryAfterMs: MIN_RETRY_AFTER_MS});
    const getEvents = (): ExchangeEvents => {
      let isForwarding = false;
      let boundary: EventBoundary | null = null;
      return {
        onHead: (head, headers) => {
          if (head.isNotRun || head.isMisdirected) return;
          isForwarding = true;
          if (isUnframedEventStream(head, headers)) {
            boundary = new EventBoundary();
          }
          context.onExecution(request.account);
          const callerHeaders = context.dialect.getCallerHeaders(headers);
          response.writeHead(head.status, callerHeaders);
        },
        onData: chunk => {
          boundary?.add(chunk);
          if (isForwarding && !response.write(chunk)) exchange?.pause();
        },
        onEnd: () => {
          if (!isForwarding) return tryNext();
          if (boundary && !boundary.isBetweenEvents()) {
            exchange?.upstream.recordFailure();
            return finish({status: 502, reason: 'cut off in an event'});
          }
          response.end();
          finish();
        },
        onFailure: failure => {
          exchange?.upstream.recordFailure();
          if (failure.tag === 'lost' && exchange) {
            context.crashes.reportCrash(fingerprint, exchange.upstream.id);
          }
          if (failure.tag === 'not_sent') return tryNext();
          finish({status: 502, reason: `${failure.tag}: ${failure.detail}`});
        },
      };
    };
    const tryNext = () => {
      if (isDone) return;
      if (!request.isPermitted()) {
        return refuseNotExecuted(NOT_PERMITTED_REASON);
      }
      const usable = context.directory.getUsable(request.pool.id);
      const upstream = chooseForRequest(context, request, usable, tried);
      if (!upstream) return refuseNotExecuted('no upstream has room');
      tried.add(upstream);
      logStart(upstream);
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
    response.on('drain', () => exchange?.resume());
    response.on('close', () => finish());
    if (context.crashes.isQuarantined(fingerprint)) {
      return finish(getQuarantineRefusal());
    }
    tryNext();
  });
}
