// HTTP helpers of the stand-ins and scripts.

import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/** Reads a whole body. */
export async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

export function splitAddress(address) {
  const [host, port] = address.split(':');
  return {host, port: Number(port)};
}

/**
 * Sends one request on a new connection. Resolves with the status, the headers
 * and the body; `status` is 0 with the error if there is no whole answer.
 */
export function send(address, {method, path, headers = {}, body, timeoutMs}) {
  return new Promise(resolve => {
    const request = http.request({
      ...splitAddress(address),
      method,
      path,
      headers,
      agent: false,
    });
    const finish = result => {
      clearTimeout(timer);
      resolve(result);
    };
    const timer = setTimeout(
      () => request.destroy(new Error('timeout')),
      timeoutMs ?? 10_000,
    );
    request.on('error', error =>
      finish({status: 0, error: error.message, headers: {}, body: null}),
    );
    request.on('response', response => {
      readAll(response).then(
        bytes =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            body: bytes,
          }),
        error => finish({status: 0, error: error.message, headers: {}}),
      );
    });
    request.end(body);
  });
}

/** Starts a server on a free port of a loopback address. */
export function listen(server, host = '127.0.0.1', port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () =>
      resolve(`${host}:${server.address().port}`),
    );
  });
}

export function sendJson(response, status, body, headers = {}) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}
