import * as http from 'node:http';
import type {Socket} from 'node:net';

import {isFinalStatus} from '@vanillacross/common';

/** A request of an entry to an agent. */
export interface AgentRequest {
  /** `ip:port` of the agent's data listener. */
  address: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Aborts the request; a response in progress is cut off. */
  signal: AbortSignal;
  /** Opens a new connection instead of reusing an idle keep-alive one. */
  usesNewConnection: boolean;
}

export type AgentSendOutcome =
  /** No byte of the request was written to a connection. */
  | {tag: 'refused'; detail: string}
  /** The agent may have received the request, but no response arrived. */
  | {tag: 'unknown'; detail: string}
  | {tag: 'answer'; response: http.IncomingMessage};

/** Keep-alive connections from an entry to its agents. */
export interface AgentConnections {
  send(request: AgentRequest): Promise<AgentSendOutcome>;
  close(): void;
}

/** Maximum number of idle connections kept open per agent. */
const MAX_IDLE_PER_AGENT = 32;
/**
 * Timeout for connecting to an agent, ms. Agents are on the same network, so an
 * agent that takes longer to accept a connection is considered gone.
 */
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Time after which an idle connection is closed, ms. Shorter than the 5 s
 * default of Node servers, so that the agent does not close a connection that
 * is being reused.
 */
const IDLE_TIMEOUT_MS = 4_000;

function destroySocket(this: Socket): void {
  this.destroy();
}

function watchConnection(
  outgoing: http.ClientRequest,
  socket: Socket,
  onConnected: () => void,
): void {
  socket.setTimeout(0, destroySocket);
  if (!socket.connecting) return onConnected();
  const timer = setTimeout(
    () => outgoing.destroy(new Error('connect timeout')),
    CONNECT_TIMEOUT_MS,
  );
  socket.once('connect', () => {
    clearTimeout(timer);
    onConnected();
  });
  socket.once('close', () => clearTimeout(timer));
}

function sendRequest(
  request: AgentRequest,
  httpAgent: http.Agent | false,
  onLateResponse: () => void,
): Promise<AgentSendOutcome> {
  return new Promise(resolve => {
    if (request.signal.aborted) {
      return resolve({tag: 'refused', detail: 'cancelled before sending'});
    }
    const separator = request.address.lastIndexOf(':');
    let isConnected = false;
    let isSettled = false;
    const settle = (outcome: AgentSendOutcome) => {
      isSettled = true;
      resolve(outcome);
    };
    let outgoing: http.ClientRequest;
    try {
      outgoing = http.request({
        host: request.address.slice(0, separator).replace(/[[\]]/g, ''),
        port: Number(request.address.slice(separator + 1)),
        method: request.method,
        path: request.path,
        headers: {
          ...request.headers,
          'content-length': String(request.body.length),
        },
        agent: httpAgent,
      });
    } catch (error) {
      // Node throws on header values and paths that HTTP does not allow.
      return settle({tag: 'refused', detail: (error as Error).message});
    }
    // Handles the abort here, because the `signal` option of Node would also
    // attach an end-of-stream watcher to each request.
    const cancel = () => outgoing.destroy(new Error('cancelled'));
    request.signal.addEventListener('abort', cancel);
    outgoing.on('socket', socket =>
      watchConnection(outgoing, socket, () => {
        isConnected = true;
      }),
    );
    outgoing.on('error', error => {
      if (isSettled) return;
      // Node writes the request only after the socket has connected, so nothing
      // can have reached the agent before that.
      const tag = isConnected ? 'unknown' : 'refused';
      settle({tag, detail: error.message});
    });
    outgoing.on('close', () => {
      request.signal.removeEventListener('abort', cancel);
      if (!isSettled) settle({tag: 'unknown', detail: 'connection closed'});
    });
    outgoing.on('response', response => {
      if (isSettled || request.signal.aborted) {
        onLateResponse();
        response.destroy();
        return;
      }
      // Without a listener, an error after the body was read would be thrown.
      response.on('error', () => {});
      const {statusCode: status = 0} = response;
      if (!isFinalStatus(status)) {
        settle({tag: 'unknown', detail: `status ${status}`});
        outgoing.destroy();
        return;
      }
      settle({tag: 'answer', response});
    });
    outgoing.end(request.body);
  });
}

/**
 * Creates the connections of an entry to its agents. `onLateResponse` is called
 * for each response that arrives after its request has settled or was aborted.
 */
export function createAgentConnections(
  onLateResponse: () => void,
): AgentConnections {
  const keepAliveAgent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_PER_AGENT,
    scheduling: 'lifo',
  });
  keepAliveAgent.on('free', (socket: Socket) => {
    socket.setTimeout(IDLE_TIMEOUT_MS, destroySocket);
  });
  return {
    send: request =>
      sendRequest(
        request,
        request.usesNewConnection ? false : keepAliveAgent,
        onLateResponse,
      ),
    close: () => keepAliveAgent.destroy(),
  };
}
