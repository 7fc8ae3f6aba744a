import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {resetSocket} from './resetSocket.js';

/**
 * One fault of a stand-in. The first fault that matches a request applies; a
 * fault with `times` is removed after that number of requests.
 */
export const faultSchema = z.strictObject({
  match: z.strictObject({
    method: z.string().optional(),
    /** Prefix of the request path; `*` or no value matches all paths. */
    path: z.string().optional(),
  }),
  effect: z.enum([
    /** Resets the connection before the request takes effect. */
    'refuse',
    /** Responds with `status` before the request takes effect. */
    'status',
    /** Waits `delayMs` before the request takes effect. */
    'delay',
    /**
     * Resets the connection without a response after the request has taken
     * effect.
     */
    'lose_answer',
    /** Resets the connection in mid-body after the request has taken effect. */
    'cut_body',
    /** Never responds; the request does not take effect. */
    'black_hole',
  ]),
  times: z.number().int().positive().optional(),
  delayMs: z.number().min(0).default(0),
  status: z.number().int().default(503),
});
export type Fault = z.input<typeof faultSchema>;
type ActiveFault = z.output<typeof faultSchema>;

/**
 * Writes of a streamed response that pass before `cut_body` resets the
 * connection.
 */
const WRITES_BEFORE_CUT = 2;

/** Applies a fault; returns whether the route handler should run. */
type FaultHandler = (
  fault: ActiveFault,
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<boolean> | boolean;

function reset(response: ServerResponse): void {
  if (response.socket) resetSocket(response.socket);
}

function dropResponse(response: ServerResponse): void {
  Object.assign(response, {
    writeHead: () => response,
    flushHeaders: () => {},
    write: (_chunk: unknown, done?: () => void) => {
      done?.();
      return true;
    },
    end: () => reset(response),
  });
}

function cutBody(response: ServerResponse): void {
  const write = response.write.bind(response) as (
    chunk: string | Buffer,
    done?: () => void,
  ) => boolean;
  let writes = 0;
  const writeHalf = (chunk: string | Buffer) =>
    write(chunk.slice(0, Math.ceil(chunk.length / 2)), () => reset(response));
  Object.assign(response, {
    write: (chunk: string | Buffer, done?: () => void) =>
      ++writes > WRITES_BEFORE_CUT ? writeHalf(chunk) : write(chunk, done),
    end: (chunk?: string | Buffer) =>
      chunk?.length ? writeHalf(chunk) : reset(response),
  });
}

const faultHandlers: Record<ActiveFault['effect'], FaultHandler> = {
  refuse: (_fault, _request, response) => {
    reset(response);
    return false;
  },
  status: (fault, request, response) => {
    request.resume();
    response.writeHead(fault.status, {'content-type': 'application/json'});
    response.end(JSON.stringify({error: 'fault', retryAfterMs: fault.delayMs}));
    return false;
  },
  delay: async fault => {
    await sleep(fault.delayMs);
    return true;
  },
  lose_answer: (_fault, _request, response) => {
    dropResponse(response);
    return true;
  },
  cut_body: (_fault, _request, response) => {
    cutBody(response);
    return true;
  },
  black_hole: () => false,
};

/** The active faults of a stand-in. */
export interface FaultTable {
  set(faults: unknown): void;
  get(): readonly ActiveFault[];
  /**
   * Applies the first matching fault; returns whether the route handler should
   * run.
   */
  apply(request: IncomingMessage, response: ServerResponse): Promise<boolean>;
}

export function createFaultTable(): FaultTable {
  let faults: ActiveFault[] = [];
  const matches = (fault: ActiveFault, method: string, path: string) =>
    (!fault.match.method || fault.match.method === method) &&
    (!fault.match.path ||
      fault.match.path === '*' ||
      path.startsWith(fault.match.path));
  return {
    set: list => {
      faults = z.array(faultSchema).parse(list);
    },
    get: () => faults,
    apply: async (request, response) => {
      const fault = faults.find(candidate =>
        matches(candidate, request.method ?? '', request.url ?? ''),
      );
      if (!fault) return true;
      if (fault.times !== undefined && --fault.times === 0) {
        faults = faults.filter(other => other !== fault);
      }
      return faultHandlers[fault.effect](fault, request, response);
    },
  };
}
