import * as http from 'node:http';
import type {Socket} from 'node:net';

/** One HTTP request to an agent. */
export interface AgentRequest {
  /** `ip:port` of the agent's data listener. */
  address: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** Ends the exchange; a running answer is cut. */
  signal: AbortSignal;
  /** Uses a connection of its own instead of a kept one. */
  usesNewConnection: boolean;
}

export type AgentSendOutcome =
  /** No byte of the request was written to a connection. */
  | {tag: 'refused'; detail: string}
  /** The request may have arrived; no answer came. */
  | {tag: 'unknown'; detail: string}
  | {tag: 'answer'; response: http.IncomingMessage};

/** Connections to agents, kept for further requests. */
export interface AgentConnections {
  send(exchange: AgentRequest): Promise<AgentSendOutcome>;
  close(): void;
}

/** Idle connections that are kept to one agent. */
const MAX_IDLE_PER_AGENT = 32;
/** Own agents are near; a longer connect means that the instance is gone, ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * How long an idle connection is kept, ms. Shorter than Node's server default
 * of 5 s, so that the agent does not close a connection that is being used.
 */
const IDLE_TIMEOUT_MS = 4_000;

function destroyIdle(this: Socket): void {
  this.destroy();
}

function watchConnect(
  outgoing: http.ClientRequest,
  socket: Socket,
  connected: () => void,
): void {
  socket.setTimeout(0, destroyIdle);
  if (!socket.connecting) return connected();
  const timer = setTimeout(
    () => outgoing.destroy(new Error('connect timeout')),
    CONNECT_TIMEOUT_MS,
  );
  socket.once('connect', () => {
    clearTimeout(timer);
    connected();
  });
  socket.once('close', () => clearTimeout(timer));
}

function sendExchange(
  exchange: AgentRequest,
  agent: http.Agent | false,
  onLate: () => void,
): Promise<AgentSendOutcome> {
  return new Promise(resolve => {
    if (exchange.signal.aborted) {
      return resolve({tag: 'refused', detail: 'cancelled before sending'});
    }
    const separator = exchange.address.lastIndexOf(':');
    let isConnected = false;
    let isSettled = false;
    const settle = (outcome: AgentSendOutcome) => {
      isSettled = true;
      resolve(outcome);
    };
    let outgoing: http.ClientRequest;
    try {
      outgoing = http.request({
        host: exchange.address.slice(0, separator).replace(/[[\]]/g, ''),
        port: Number(exchange.address.slice(separator + 1)),
        method: exchange.method,
        path: exchange.path,
        headers: {
          ...exchange.headers,
          'content-length': String(exchange.body.length),
        },
        agent,
      });
    } catch (error) {
      // Node refuses header values and paths that HTTP does not allow.
      return settle({tag: 'refused', detail: (error as Error).message});
    }
    // Own listener, as Node's `signal` option watches the end of the stream.
    const cancel = () => outgoing.destroy(new Error('cancelled'));
    exchange.signal.addEventListener('abort', cancel);
    outgoing.on('socket', socket =>
      watchConnect(outgoing, socket, () => {
        isConnected = true;
      }),
    );
    outgoing.on('error', error => {
      if (isSettled) return;
      // Node writes the request only to a connected socket, so before that
      // nothing can have reached the agent.
      const tag = isConnected ? 'unknown' : 'refused';
      settle({tag, detail: error.message});
    });
    outgoing.on('close', () => {
      exchange.signal.removeEventListener('abort', cancel);
      if (!isSettled) settle({tag: 'unknown', detail: 'connection closed'});
    });
    outgoing.on('response', response => {
      if (isSettled || exchange.signal.aborted) {
        onLate();
        response.destroy();
        return;
      }
      // Without a listener a cut after the end of reading would be thrown.
      response.on('error', () => {});
      settle({tag: 'answer', response});
    });
    outgoing.end(exchange.body);
  });
}

/** Creates the connections of an entry to its agents. */
export function createAgentConnections(onLate: () => void): AgentConnections {
  const kept = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_PER_AGENT,
    scheduling: 'lifo',
  });
  kept.on('free', (socket: Socket) => {
    socket.setTimeout(IDLE_TIMEOUT_MS, destroyIdle);
  });
  return {
    send: exchange =>
      sendExchange(exchange, exchange.usesNewConnection ? false : kept, onLate),
    close: () => kept.destroy(),
  };
}
