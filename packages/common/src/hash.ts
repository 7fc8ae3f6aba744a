import {createHash, createHmac, timingSafeEqual} from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** SHA-256 of what makes two requests the same, in hexadecimal digits. */
export function getRequestFingerprint(
  method: string,
  target: string,
  body: Buffer,
): string {
  const hash = createHash('sha256').update(`${method}\n${target}\n`);
  return hash.update(body).digest('hex');
}

/** SHA-256 of a text in hexadecimal digits. */
export function getSha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** HMAC-SHA256 of a text in hexadecimal digits. */
export function getHmac(secret: string, text: string): string {
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Compares two strings in time that depends only on their length. */
export function isEqualSecret(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}

/** A 32-bit hash with all output bits mixed (FNV-1a, then a finalizer). */
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
 * Orders nodes by rendezvous hash for a key, best first. Removing a node
 * changes only the places of the keys that it held.
 */
export function getRendezvousOrder<Node extends string>(
  key: string,
  nodes: readonly Node[],
): Node[] {
  const scored = nodes.map(node => ({
    node,
    score: getHash32(`${key}\u0000${node}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1));
  return scored.map(entry => entry.node);
}

/**
 * Says whether a node comes before all others in the rendezvous order of a
 * key. Stops at the first better one, so it is cheap where it is not.
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
