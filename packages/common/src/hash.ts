import {createHash, createHmac, timingSafeEqual} from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns the SHA-256 of the method, target and body of a request in
 * hexadecimal digits; requests with the same fingerprint count as equal.
 */
export function getRequestFingerprint(
  method: string,
  target: string,
  body: Buffer,
): string {
  const hash = createHash('sha256').update(`${method}\n${target}\n`);
  return hash.update(body).digest('hex');
}

/** Returns the SHA-256 of a text in hexadecimal digits. */
export function getSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the HMAC-SHA256 of a text in hexadecimal digits. */
export function getHmac(secret: string, text: string): string {
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Compares two strings in a time that depends only on their lengths. */
export function isEqualSecret(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Returns the 32-bit FNV-1a hash of a text, followed by a finalizer that mixes
 * all output bits.
 */
export function getHash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Sorts nodes by their rendezvous hash (highest random weight) for a key,
 * highest score first. Removing a node moves only the keys that were assigned
 * to it.
 */
export function getRendezvousOrder<Node extends string>(
  key: string,
  nodes: readonly Node[],
): Node[] {
  const scoredNodes = nodes.map(node => ({
    node,
    score: getHash32(`${key}\u0000${node}`),
  }));
  scoredNodes.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scoredNodes.map(entry => entry.node);
}

/**
 * Returns whether a node comes first in the rendezvous order of a key. Stops at
 * the first node with a higher score, so a negative result is cheap.
 */
export function isFirstInRendezvousOrder(
  key: string,
  node: string,
  others: readonly string[],
): boolean {
  const getScore = (other: string) => getHash32(`${key}\u0000${other}`);
  const own = getScore(node);
  return others.every(other => {
    const score = getScore(other);
    return score < own || (score === own && node <= other);
  });
}
