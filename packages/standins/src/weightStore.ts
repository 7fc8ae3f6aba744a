import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';

import type {RouteContext, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

export interface WeightStoreOptions extends ServiceOptions {
  /** Total rate for all readers, bytes per second. */
  bytesPerSecond?: number;
}

const publicationSchema = z.looseObject({
  version: z.number().int().min(0),
  bytes: z.number().int().min(0),
});
export interface PublishedVersion {
  version: number;
  bytes: number;
  publishedAtMs: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStoreStandIn extends Service {
  publish(model: string, version: number, bytes: number): void;
  getVersions(model: string): readonly PublishedVersion[];
  /** Bytes sent to all readers since the start. */
  getSentBytes(): number;
}

const CHUNK = Buffer.alloc(64 * 1024);
const DEFAULT_BYTES_PER_SECOND = 256 * 1024 * 1024;

/**
 * Sends a body of zeros.
 * @param waitTurn Delays each chunk of the given size.
 */
export async function sendZeros(
  {response, signal}: RouteContext,
  bytes: number,
  waitTurn: (size: number) => Promise<void> = async () => {},
): Promise<void> {
  response.writeHead(200, {
    'content-type': 'application/octet-stream',
    'content-length': bytes,
  });
  const closed = new Promise(resolve =>
    signal.addEventListener('abort', resolve, {once: true}),
  );
  for (let left = bytes; left > 0 && !signal.aborted;) {
    const size = Math.min(left, CHUNK.length);
    await waitTurn(size);
    const written = new Promise(resolve =>
      response.write(CHUNK.subarray(0, size), resolve),
    );
    await Promise.race([written, closed]);
    left -= size;
  }
  response.end();
}

export async function createWeightStore(
  options: WeightStoreOptions = {},
): Promise<WeightStoreStandIn> {
  const rate = options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND;
  const models = new Map<string, PublishedVersion[]>();
  let freeAt = 0;
  let sentBytes = 0;

  // A single schedule for all chunks makes all readers share the rate.
  const waitTurn = async (size: number) => {
    const now = performance.now();
    const startAt = Math.max(now, freeAt);
    freeAt = startAt + (size * 1_000) / rate;
    sentBytes += size;
    if (startAt - now > 1) await sleep(startAt - now);
  };
  const getVersions = (model: string) => models.get(model) ?? [];
  const publish = (model: string, version: number, bytes: number) => {
    const others = getVersions(model).filter(v => v.version !== version);
    const published = {version, bytes, publishedAtMs: Date.now()};
    models.set(model, [...others, published]);
  };
  const service = await createService(
    [
      createRoute('GET /v1/weights/:model', ({params}) => ({
        status: 200,
        body: {versions: getVersions(params[0])},
      })),
      createRoute('POST /v1/weights/:model', ({params, parse}) => {
        const {version, bytes} = parse(publicationSchema);
        publish(params[0], version, bytes);
        return {status: 200, body: {version}};
      }),
      createRoute('GET /v1/weights/:model/:version', async context => {
        const [model, version] = context.params;
        const found = getVersions(model).find(
          published => published.version === Number(version),
        );
        if (!found) return {status: 404, body: {error: 'unknown version'}};
        return sendZeros(context, found.bytes, waitTurn);
      }),
      createRoute('GET /counts', () => ({status: 200, body: {sentBytes}})),
    ],
    options,
  );
  return {...service, publish, getVersions, getSentBytes: () => sentBytes};
}
