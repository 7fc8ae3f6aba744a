import type {Result} from '@vanillacross/common';
import {fail, readBody} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

import {createNotRunRefusal} from './refusals.js';
import type {Refusal} from './types.js';

/** Creates the refusal of a body that exceeds the byte limit of its account. */
export function createBodyLimitRefusal(): Refusal {
  const message = 'too many bytes of requests of the account are held';
  return createNotRunRefusal('account_limit', message, 1);
}

/**
 * Reads a request body up to a limit in bytes. `reserve` is called with the
 * size of each chunk; if it returns false, the body is refused.
 */
export async function readCallerBody(
  request: IncomingMessage,
  limitBytes: number,
  signal: AbortSignal,
  reserve: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer, Refusal>> {
  const body = await readBody(request, limitBytes, signal, reserve);
  if (body.ok) return body;
  if (body.error.tag === 'no_room') return fail(createBodyLimitRefusal());
  if (body.error.tag === 'too_large') {
    const message = `the body is longer than ${limitBytes} bytes`;
    return fail(createNotRunRefusal('too_large', message));
  }
  return fail(createNotRunRefusal('cancelled', 'the caller disconnected'));
}

/** Bytes reserved for one request body. */
export interface BodyReservation {
  /** Reserves bytes; false if that would exceed the limit of the account. */
  reserve(bytes: number): boolean;
  /** Releases all reserved bytes. */
  release(): void;
}

/** Limits the memory for buffered request bodies of each account. */
export interface BodyBudget {
  openReservation(account: string): BodyReservation;
}

/** Creates a budget with a limit in bytes per account. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  const heldBytes = new Map<string, number>();
  return {
    openReservation: account => {
      let reserved = 0;
      return {
        reserve: bytes => {
          const before = heldBytes.get(account) ?? 0;
          if (before + bytes > limitBytes) return false;
          heldBytes.set(account, before + bytes);
          reserved += bytes;
          return true;
        },
        release: () => {
          const remaining = (heldBytes.get(account) ?? 0) - reserved;
          reserved = 0;
          if (remaining > 0) heldBytes.set(account, remaining);
          else heldBytes.delete(account);
        },
      };
    },
  };
}
