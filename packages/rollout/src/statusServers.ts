import type {Metrics} from '@vanillacross/common';
import * as http from 'node:http';

import type {PlacementExplainer} from './placementExplainer.js';

/** Address that a listener binds to. */
export interface ListenAddress {
  host: string;
  port: number;
}

export interface StatusServersOptions {
  readyAddress: ListenAddress;
  readyPath: string;
  /** No metrics are served if null. */
  metricsAddress: ListenAddress | null;
  metrics: Metrics;
  explainer: Pick<PlacementExplainer, 'explain'>;
  /** Whether callers should be routed to this process. */
  isAcceptingTraffic: () => boolean;
}

const EXPLAIN_PATH = '/explain-placement';

/** Serves the readiness check, the metrics and explanations of this process. */
export class StatusServers {
  private readonly ready: http.Server;
  private readonly metrics: http.Server;

  constructor(private readonly options: StatusServersOptions) {
    this.ready = http.createServer((request, response) => {
      request.resume();
      const isKnown = request.url === options.readyPath;
      const status = options.isAcceptingTraffic() ? 200 : 503;
      response.writeHead(isKnown ? status : 404).end();
    });
    this.metrics = http.createServer((request, response) => {
      const [path, query] = (request.url ?? '').split('?', 2);
      if (path === EXPLAIN_PATH && request.method === 'GET') {
        return this.explain(new URLSearchParams(query), response);
      }
      response.setHeader('content-type', 'text/plain');
      response.end(options.metrics.render());
    });
  }

  /** Binds the listeners; rejects if an address can't be bound. */
  async start(): Promise<void> {
    const {readyAddress, metricsAddress} = this.options;
    await listenOn(this.ready, readyAddress);
    if (metricsAddress) await listenOn(this.metrics, metricsAddress);
  }

  private explain(query: URLSearchParams, response: http.ServerResponse): void {
    const send = (status: number, body: unknown) => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(body));
    };
    try {
      const answer = this.options.explainer.explain(query);
      if (answer.ok) send(200, answer.value);
      else send(answer.error.status, {error: answer.error.reason});
    } catch (error) {
      // A question must not end the process.
      send(500, {error: (error as Error).message});
    }
  }

  /** Closes the listeners and all connections immediately. */
  close(): void {
    closeImmediately(this.ready);
    closeImmediately(this.metrics);
  }
}

/** Binds a listener; rejects if the address can't be bound. */
export function listenOn(
  server: http.Server,
  address: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve());
  });
}

/** Closes a listener and all its connections immediately. */
export function closeImmediately(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}
