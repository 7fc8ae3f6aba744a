import {Metrics, createLogger, systemClock} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import * as net from 'node:net';
import {describe, it} from 'node:test';

import {CallerServer} from './callerServer.js';
import type {CallerServerOptions} from './callerServer.js';

describe('CallerServer', () => {
  it('closes the connection of a request whose head can not be decoded (guards against rejections that end the process)', async () => {
    const metrics = new Metrics();
    const {server} = new CallerServer({
      dialect: {
        readHead: () => {
          throw new Error('can not be decoded');
        },
      },
      configuration: {onChange: () => {}},
      clock: systemClock,
      logger: createLogger('test', 'silent'),
      metrics,
    } as unknown as CallerServerOptions);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const caller = net.connect(port, '127.0.0.1');
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    caller.resume();
    await once(caller, 'close');
    server.close();
    assert.match(metrics.render(), /vc_internal_errors 1/);
  });
});
