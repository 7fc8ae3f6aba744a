import * as assert from 'node:assert/strict';
import {once} from 'node:events';
import * as net from 'node:net';
import {after, before, describe, it} from 'node:test';

import type {FaultProxy, ProxyFault} from './faultProxy.js';
import {createFaultProxy} from './faultProxy.js';

describe('fault proxy', {timeout: 30_000}, () => {
  const echo = net.createServer(socket => {
    socket.on('error', () => {});
    socket.pipe(socket);
  });
  const sockets: net.Socket[] = [];
  let proxy: FaultProxy;

  before(async () => {
    await once(echo.listen(0, '127.0.0.1'), 'listening');
    const {port} = echo.address() as net.AddressInfo;
    proxy = await createFaultProxy({target: `127.0.0.1:${port}`});
  });
  after(async () => {
    for (const socket of sockets) socket.destroy();
    await proxy.close();
    echo.close();
  });

  const open = () => {
    const port = Number(proxy.address.split(':')[1]);
    const socket = net.connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => {});
    return socket;
  };
  const connect = async () => {
    const socket = open();
    await once(socket, 'connect');
    return socket;
  };
  const send = async (socket: net.Socket, text: string) => {
    socket.write(text);
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString();
  };
  const waitUntil = async (condition: () => boolean) => {
    while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
  };

  // Guards against a proxy that itself causes faults.
  it('forwards data and counts it', async () => {
    assert.equal(await send(await connect(), 'hello'), 'hello');
    assert.equal(proxy.getCounts().forwardBytes, 5);
    assert.equal(proxy.getCounts().backwardBytes, 5);
  });

  const closingFaults: Array<[string, ProxyFault, RegExp | null]> = [
    ['cuts after N bytes', {backward: {cutAfterBytes: 2}}, null],
    ['resets after N bytes', {backward: {resetAfterBytes: 2}}, /ECONNRESET/],
    ['resets at once', {refuse: true}, /ECONNRESET/],
  ];
  for (const [name, fault, error] of closingFaults) {
    // Guards against tests in which the fault does not close the connection or
    // lets too much data through.
    it(`${name}`, async () => {
      proxy.setFault(fault);
      const socket = open();
      let received = '';
      let failure = '';
      socket.on('data', data => (received += data.toString()));
      socket.on('error', ({message}) => (failure = message));
      socket.write('hello');
      await waitUntil(() => socket.closed);
      proxy.clearFault();
      assert.ok('he'.startsWith(received));
      if (error) assert.match(failure, error);
      else assert.deepEqual([received, failure], ['he', '']);
    });
  }

  const silentFaults: Array<[string, ProxyFault]> = [
    ['black hole', {forward: {blackHole: true}}],
    ['half-open', {halfOpen: true}],
  ];
  for (const [name, fault] of silentFaults) {
    // Guards against timeout tests in which no timeout expires.
    it(`a connection under the fault ${name} gets no data and stays open`, async () => {
      proxy.setFault(fault);
      const before = proxy.getCounts().connections;
      const socket = await connect();
      socket.write('hello');
      await waitUntil(() => proxy.getCounts().connections > before);
      await new Promise(resolve => setTimeout(resolve, 50));
      assert.equal(socket.bytesRead, 0);
      assert.equal(socket.closed, false);
      proxy.clearFault();
      proxy.resetConnections();
    });
  }

  // Guards against tests of requirement R11 in which no responses are
  // reordered.
  it('lets later connections overtake a held one', async () => {
    proxy.resetConnections();
    const first = await connect();
    assert.equal(await send(first, 'a'), 'a');
    proxy.setFault({backward: {holdOldest: true}});
    const held = send(first, 'b');
    assert.equal(await send(await connect(), 'c'), 'c');
    assert.equal(first.bytesRead, 1);
    proxy.clearFault();
    assert.equal(await held, 'b');
  });
});
