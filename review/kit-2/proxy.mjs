// TCP proxy that can silence, hold, reset or refuse connections.

import * as net from 'node:net';

import {listen, splitAddress} from './http.mjs';

export async function createProxy(target, host = '127.0.0.1') {
  const pairs = new Set();
  let isRefusing = false;
  let isDark = false;
  const server = net.createServer({allowHalfOpen: true}, client => {
    if (isRefusing) return client.resetAndDestroy();
    const upstream = net.connect({
      ...splitAddress(target),
      allowHalfOpen: true,
    });
    const pair = {client, upstream, isSilent: isDark};
    pairs.add(pair);
    const link = (from, to) => {
      from.on('data', chunk => {
        if (pair.isSilent) return;
        if (!to.write(chunk)) {
          from.pause();
          to.once('drain', () => from.resume());
        }
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => {
        if (!pair.isSilent) to.destroy();
      });
      from.on('close', () => {
        if (!pair.isSilent) to.destroy();
        pairs.delete(pair);
      });
    };
    link(client, upstream);
    link(upstream, client);
    return undefined;
  });
  const address = await listen(server, host);
  return {
    address,
    get size() {
      return pairs.size;
    },
    /** Passes nothing more on the open connections; new ones work. */
    silence() {
      for (const pair of pairs) pair.isSilent = true;
    },
    /** Passes nothing, also on new connections, until `isDark` is false. */
    setDark(value) {
      isDark = value;
      if (value) for (const pair of pairs) pair.isSilent = true;
    },
    setRefusing(value) {
      isRefusing = value;
    },
    reset() {
      for (const {client, upstream} of pairs) {
        client.resetAndDestroy();
        upstream.destroy();
      }
    },
    close() {
      server.close();
      for (const {client, upstream} of pairs) {
        client.destroy();
        upstream.destroy();
      }
    },
  };
}
