import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

import {createNotRun} from './refusals.js';
import type {Refusal} from './types.js';

/** The refusal of a body for which the account has no bytes left. */
export function createBytesHeld(): Refusal {
  const message = 'too many bytes of requests of the account are held';
  return createNotRun('account_limit', message, 1);
}

function createTooLarge(limitBytes: number): Refusal {
  const message = `the body is longer than ${limitBytes} bytes`;
  return createNotRun('too_large', message);
}

/**
 * Reads a caller's body up to a limit in bytes. Unlike `readBody` it leaves
 * the connection open on failure, so that the caller gets the refusal.
 * `reserve` is asked for the bytes of each part and may refuse them.
 */
export function readCallerBody(
  request: IncomingMessage,
  limitBytes: number,
  signal: AbortSignal,
  reserve: (bytes: number) => boolean = () => true,
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
      const isReserved = size > limitBytes || reserve(chunk.length);
      if (size <= limitBytes && isReserved) {
        chunks.push(chunk);
        return;
      }
      request.pause();
      const refusal = isReserved
        ? createTooLarge(limitBytes)
        : createBytesHeld();
      settle(fail(refusal));
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

/** Bytes of one request body that are held. */
export interface BodyShare {
  /** Reserves bytes; false if the account holds too many. */
  take(bytes: number): boolean;
  /** Gives back all that was reserved. */
  release(): void;
}

/** Bytes of request bodies that are held for each account. */
export interface BodyBudget {
  open(account: string): BodyShare;
}

/** Creates a budget with a limit per account, bytes. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  const held = new Map<string, number>();
  return {
    open: account => {
      let reserved = 0;
      return {
        take: bytes => {
          const before = held.get(account) ?? 0;
          if (before + bytes > limitBytes) return false;
          held.set(account, before + bytes);
          reserved += bytes;
          return true;
        },
        release: () => {
          const left = (held.get(account) ?? 0) - reserved;
          reserved = 0;
          if (left > 0) held.set(account, left);
          else held.delete(account);
        },
      };
    },
  };
}
