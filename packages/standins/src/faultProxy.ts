import {parseAddress} from '@vanillacross/common';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

import type {Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';
import {resetSocket} from './resetSocket.js';

const linkFaultSchema = z.strictObject({
  /** Delays each chunk of data, ms. */
  delayMs: z.number().min(0).optional(),
  /** Closes both sides of a connection after this number of bytes. */
  cutAfterBytes: z.number().int().min(0).optional(),
  /** Like `cutAfterBytes`, but with a reset instead of an orderly close. */
  resetAfterBytes: z.number().int().min(0).optional(),
  /** Drops all data; the connection stays open. */
  blackHole: z.boolean().optional(),
  /**
   * Holds back the data of the oldest open connection until the fault is
   * cleared, while later connections pass.
   */
  holdOldest: z.boolean().optional(),
});
/** Faults in one direction of a connection. */
export type LinkFault = z.infer<typeof linkFaultSchema>;

const proxyFaultSchema = z.strictObject({
  /** From the client to the target. */
  forward: linkFaultSchema.optional(),
  /** From the target to the client. */
  backward: linkFaultSchema.optional(),
  /** Accepts connections and never connects to the target. */
  halfOpen: z.boolean().optional(),
  /** Resets new connections at once. */
  refuse: z.boolean().optional(),
});
export type ProxyFault = z.infer<typeof proxyFaultSchema>;
type Direction = 'forward' | 'backward';

export interface FaultProxyOptions extends ServiceOptions {
  /** `ip:port` that the proxy forwards to. */
  target: string;
}

export interface ProxyCounts {
  connections: number;
  open: number;
  forwardBytes: number;
  backwardBytes: number;
  dropped: number;
}

/**
 * A TCP proxy. Tests set its faults with `setFault` or with `PUT /fault` on
 * `controlUrl`.
 */
export interface FaultProxy {
  /** `ip:port` that the proxy listens on. */
  address: string;
  url: string;
  controlUrl: string;
  setFault(fault: ProxyFault): void;
  clearFault(): void;
  getCounts(): ProxyCounts;
  /** Resets all open connections. */
  resetConnections(): void;
  close(): Promise<void>;
}

/** Interval of the check whether held data may pass, ms. */
const HOLD_POLL_INTERVAL_MS = 5;

/**
 * Delay between the last data and a reset, ms. libuv reports a reset that
 * arrives together with data as an orderly close.
 */
const RESET_DELAY_MS = 20;
/** Data buffered in one direction before the sender is paused, bytes. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

interface Link {
  client: net.Socket;
  target: net.Socket;
}

export async function createFaultProxy(
  options: FaultProxyOptions,
): Promise<FaultProxy> {
  const remote = parseAddress(options.target);
  const local = parseAddress(options.listen ?? '127.0.0.1:0');
  if (!remote || !local) throw new Error('target and listen must be ip:port');
  const counts = {
    connections: 0,
    forwardBytes: 0,
    backwardBytes: 0,
    dropped: 0,
  };
  const links = new Set<Link>();
  const halfOpen = new Set<net.Socket>();
  let fault: ProxyFault = {};

  const closeLink = (link: Link, isReset: boolean) => {
    for (const socket of [link.client, link.target]) {
      if (isReset) resetSocket(socket);
      else socket.destroySoon();
    }
    links.delete(link);
  };
  const isHeld = (link: Link, direction: Direction) => {
    const [oldest] = links;
    return Boolean(fault[direction]?.holdOldest) && link === oldest;
  };
  /** Forwards data in order; the current fault applies to each chunk. */
  const forwardData = (link: Link, direction: Direction) => {
    const isForward = direction === 'forward';
    const source = isForward ? link.client : link.target;
    const destination = isForward ? link.target : link.client;
    let passed = 0;
    let buffered = 0;
    let pending = Promise.resolve();

    const truncate = (chunk: Buffer): Buffer => {
      const {cutAfterBytes = Infinity, resetAfterBytes = Infinity} =
        fault[direction] ?? {};
      const room = Math.min(cutAfterBytes, resetAfterBytes) - passed;
      return chunk.subarray(0, Math.max(0, room));
    };
    const send = async (chunk: Buffer, releaseAt: number) => {
      const delayMs = releaseAt - performance.now();
      if (delayMs > 0) await sleep(delayMs);
      while (isHeld(link, direction)) await sleep(HOLD_POLL_INTERVAL_MS);
      if (fault[direction]?.blackHole) {
        counts.dropped += chunk.length;
        return;
      }
      const allowed = truncate(chunk);
      passed += allowed.length;
      counts[isForward ? 'forwardBytes' : 'backwardBytes'] += allowed.length;
      if (destination.writable) destination.write(allowed);
      if (allowed.length === chunk.length) return;
      counts.dropped += chunk.length - allowed.length;
      const isReset = fault[direction]?.resetAfterBytes !== undefined;
      if (isReset) await sleep(RESET_DELAY_MS);
      closeLink(link, isReset);
    };
    source.on('data', (chunk: Buffer) => {
      // Measured from arrival, so that a delay does not lower the throughput.
      const releaseAt = performance.now() + (fault[direction]?.delayMs ?? 0);
      buffered += chunk.length;
      if (buffered > MAX_BUFFERED_BYTES) source.pause();
      pending = pending
        .then(() => send(chunk, releaseAt))
        .then(() => {
          buffered -= chunk.length;
          source.resume();
        });
    });
    // A black hole also hides that the connection was closed.
    source.on('end', () => {
      pending = pending.then(() => {
        if (!fault[direction]?.blackHole) destination.end();
      });
    });
    source.on('error', () => closeLink(link, true));
    source.on('close', () => {
      pending = pending.then(() => {
        if (!fault[direction]?.blackHole) closeLink(link, false);
      });
    });
  };
  const accept = (client: net.Socket) => {
    counts.connections++;
    if (fault.refuse) return resetSocket(client);
    if (fault.halfOpen) {
      halfOpen.add(client);
      client.on('error', () => client.destroy());
      client.on('close', () => halfOpen.delete(client));
      client.resume();
      return;
    }
    const target = net.connect({...remote, allowHalfOpen: true});
    const link = {client, target};
    links.add(link);
    forwardData(link, 'forward');
    forwardData(link, 'backward');
  };
  const server = net.createServer({allowHalfOpen: true}, accept);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(local.port, local.host, resolve);
  });
  const address = `${local.host}:${(server.address() as net.AddressInfo).port}`;
  const setFault = (value: ProxyFault) => {
    fault = proxyFaultSchema.parse(value);
  };
  const getCounts = () => ({...counts, open: links.size + halfOpen.size});
  const resetConnections = () => {
    for (const link of [...links]) closeLink(link, true);
    for (const client of halfOpen) resetSocket(client);
  };
  const control: Service = await createService([
    createRoute('PUT /fault', ({parse}) => {
      setFault(parse(proxyFaultSchema));
      return {status: 200, body: fault};
    }),
    createRoute('GET /counts', () => ({status: 200, body: getCounts()})),
  ]);
  return {
    address,
    url: `http://${address}`,
    controlUrl: control.url,
    setFault,
    clearFault: () => setFault({}),
    getCounts,
    resetConnections,
    close: async () => {
      setFault({});
      resetConnections();
      await control.close();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
