// A TCP proxy on loopback whose channels can go silent or be cut.
import * as net from 'node:net';

export async function startProxy(target) {
  const [host, port] = target.split(':');
  const channels = new Set();
  const server = net.createServer({allowHalfOpen: true}, inner => {
    const outer = net.connect({host, port: Number(port), allowHalfOpen: true});
    const channel = {inner, outer, isSilent: false, openedAt: Date.now()};
    channels.add(channel);
    const pass = (from, to) => {
      from.on('data', chunk => {
        if (!channel.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!channel.isSilent) to.end();
      });
      from.on('error', () => {
        if (!channel.isSilent) to.destroy();
      });
      from.on('close', () => {
        if (channel.isSilent) return;
        channels.delete(channel);
        to.destroy();
      });
    };
    pass(inner, outer);
    pass(outer, inner);
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Number of channels that pass bytes on. */
    getOpenCount: () => [...channels].filter(({isSilent}) => !isSilent).length,
    /** Lets all open channels go silent for good; new ones work. */
    silence: () => {
      for (const channel of channels) channel.isSilent = true;
    },
    close: () => {
      server.close();
      for (const {inner, outer} of channels) {
        inner.destroy();
        outer.destroy();
      }
    },
  };
}
