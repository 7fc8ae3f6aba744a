import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

import {createNotRun} from './refusals.js';
import type {Refusal} from './types.js';

function createTooLarge(limitBytes: number): Refusal {
  const message = `the body is longer than ${limitBytes} bytes`;
  return createNotRun('too_large', message);
}

/**
 * Reads a caller's body up to a limit in bytes. Unlike `readBody` it leaves
 * the connection open on failure, so that the caller gets the refusal.
 */
export function readCallerBody(
  request: IncomingMessage,
  limitBytes: number,
  signal: AbortSignal,
): Promise<Result<Buffer, Refusal>> {
  const stated = Number(request.headers['content-length'] ?? 0);
  if (stated > limitBytes) {
    return Promise.resolve(fail(createTooLarge(limitBytes)));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    const settle = (result: Result<Buffer, Refusal>) => {
      signal.removeEventListener('abort', onClose);
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= limitBytes) return;
      request.pause();
      settle(fail(createTooLarge(limitBytes)));
    };
    const onEnd = () => settle(ok(Buffer.concat(chunks)));
    const onClose = () => {
      request.pause();
      const message = 'the caller disconnected';
      settle(fail(createNotRun('cancelled', message)));
    };
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
    signal.addEventListener('abort', onClose);
    request.on('error', () => {});
  });
}

/** Bytes of request bodies that are held for each account. */
export interface BodyBudget {
  /** Reserves bytes; null if the account holds too many. */
  take(account: string, bytes: number): (() => void) | null;
}

/** Creates a budget with a limit per account, bytes. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  const held = new Map<string, number>();
  return {
    take: (account, bytes) => {
      const before = held.get(account) ?? 0;
      // One body is always accepted, however large the limit of bodies is.
      if (before > 0 && before + bytes > limitBytes) return null;
      held.set(account, before + bytes);
      return () => {
        const left = (held.get(account) ?? 0) - bytes;
        if (left > 0) held.set(account, left);
        else held.delete(account);
      };
    },
  };
}
