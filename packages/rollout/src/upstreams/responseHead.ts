import {isFinalStatus, isSendableHeader} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

/**
 * Returns why the head of a response is unusable, or null. Every head that is
 * passed on, to a caller or to a sample, has passed this check. What the client
 * accepts and the server can't write depends on the release of Node.
 */
export function getHeadFault(response: IncomingMessage): string | null {
  const {statusCode = 0, rawHeaders} = response;
  if (!isFinalStatus(statusCode)) return `status ${statusCode}`;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (!isSendableHeader(name, rawHeaders[index + 1])) {
      return `header ${JSON.stringify(name)}`;
    }
  }
  return null;
}
