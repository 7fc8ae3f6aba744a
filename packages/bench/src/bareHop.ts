// A pass-through hop without any function, the baseline of `passthrough`.
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

const target = new URL(process.argv[2]);
const agent = new http.Agent({keepAlive: true});

const server = http.createServer((request, response) => {
  const outgoing = http.request(
    {
      host: target.hostname,
      port: target.port,
      method: request.method,
      path: request.url,
      headers: request.headers,
      agent,
    },
    answer => {
      response.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(response);
    },
  );
  outgoing.on('error', () => response.destroy());
  request.pipe(outgoing);
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  const ready = {ready: true, address: `127.0.0.1:${port}`};
  process.stdout.write(`${JSON.stringify(ready)}\n`);
});
