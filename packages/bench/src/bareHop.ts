// A reverse proxy that only forwards, the baseline of the `passthrough` bench.
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

const target = new URL(process.argv[2]);
const agent = new http.Agent({keepAlive: true});

const server = http.createServer((request, response) => {
  const upstreamRequest = http.request(
    {
      host: target.hostname,
      port: target.port,
      method: request.method,
      path: request.url,
      headers: request.headers,
      agent,
    },
    upstreamResponse => {
      response.writeHead(
        upstreamResponse.statusCode ?? 502,
        upstreamResponse.headers,
      );
      upstreamResponse.pipe(response);
    },
  );
  upstreamRequest.on('error', () => response.destroy());
  request.pipe(upstreamRequest);
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  const ready = {ready: true, address: `127.0.0.1:${port}`};
  process.stdout.write(`${JSON.stringify(ready)}\n`);
});
