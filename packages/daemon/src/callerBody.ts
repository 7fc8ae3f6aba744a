import type {Result} from '@vanillacross/common';
import {fail, readBody} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

import {createNotRun} from './refusals.js';
import type {Refusal} from './types.js';

/** Reads a caller's body up to a limit in bytes. */
export async function readCallerBody(
  request: IncomingMessage,
  limitBytes: number,
  signal: AbortSignal,
): Promise<Result<Buffer, Refusal>> {
  const body = await readBody(request, limitBytes, signal);
  if (body.ok) return body;
  if (body.error.tag === 'too_large') {
    const message = `the body is longer than ${limitBytes} bytes`;
    return fail(createNotRun('too_large', message));
  }
  return fail(createNotRun('cancelled', 'the caller disconnected'));
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
