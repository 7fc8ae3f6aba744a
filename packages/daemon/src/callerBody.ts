import type {Result} from '@vanillacross/common';
import {fail, readBody} from '@vanillacross/common';
import type {IncomingMessage} from 'node:http';

import {createNotRunRefusal} from './refusals.js';
import type {Refusal} from './types.js';

/** The refusal of a body for which the account has no bytes left. */
export function createBodyLimitRefusal(): Refusal {
  const message = 'too many bytes of requests of the account are held';
  return createNotRunRefusal('account_limit', message, 1);
}

/**
 * Reads a caller's body up to a limit in bytes. `reserve` is asked for the
 * bytes of each part and may refuse them.
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

/** Bytes of one request body that are held. */
export interface BodyReservation {
  /** Reserves bytes; false if the account holds too many. */
  reserve(bytes: number): boolean;
  /** Gives back all that was reserved. */
  release(): void;
}

/** Bytes of request bodies that are held for each account. */
export interface BodyBudget {
  openReservation(account: string): BodyReservation;
}

/** Creates a budget with a limit per account, bytes. */
export function createBodyBudget(limitBytes: number): BodyBudget {
  const held = new Map<string, number>();
  return {
    openReservation: account => {
      let reserved = 0;
      return {
        reserve: bytes => {
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
