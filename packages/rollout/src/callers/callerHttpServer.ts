import * as http from 'node:http';
import type {Socket} from 'node:net';

/** What is in progress on a connection. */
interface ConnectionState {
  /** Responses that have not been written to the socket in full. */
  openResponses: number;
  /**
   * Bytes that were read when the last request was complete; null while a
   * request is being received.
   */
  bytesAtRequestEnd: number | null;
}

/**
 * HTTP server that counts a connection as idle only once its responses have been
 * written to the socket. Node counts it as idle when `response.end()` is called,
 * also while bytes wait for a slow caller, and `close` would discard these.
 */
export class CallerHttpServer extends http.Server {
  private readonly states = new Map<Socket, ConnectionState>();

  constructor(options: http.ServerOptions, listener: http.RequestListener) {
    super(options);
    this.on('connection', (socket: Socket) => {
      this.states.set(socket, {openResponses: 0, bytesAtRequestEnd: null});
      socket.on('close', () => this.states.delete(socket));
    });
    const handle: http.RequestListener = (request, response) => {
      this.track(request, response);
      listener(request, response);
    };
    this.on('request', handle);
    this.on('checkContinue', (request, response) => {
      response.writeContinue();
      handle(request, response);
    });
  }

  /**
   * Closes the connections without a request and with no bytes left to write.
   * `close` calls this too.
   */
  override closeIdleConnections(): void {
    for (const [socket, state] of this.states) {
      const {openResponses, bytesAtRequestEnd} = state;
      const isIdle =
        openResponses === 0 && socket.bytesRead === bytesAtRequestEnd;
      if (isIdle) socket.destroy();
    }
  }

  private track(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const {socket} = request;
    const state = this.states.get(socket);
    if (!state) return;
    state.openResponses++;
    state.bytesAtRequestEnd = null;
    request.on('end', () => (state.bytesAtRequestEnd = socket.bytesRead));
    // Emitted after all bytes were written, or when the connection is closed.
    response.on('close', () => state.openResponses--);
  }
}
