import {requestJson} from '@vanillacross/common';
import type {
  HttpFailure,
  JsonResponse,
  JsonRequest,
  Result,
} from '@vanillacross/common';
import type {Fault} from '@vanillacross/standins';
import * as assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {before, describe, it} from 'node:test';

/** Returns the base URL of the implementation under test. */
export type GetBaseUrl = () => Promise<string> | string;

/** One requirement of an interface contract. */
export interface ContractCase {
  /** The requirement, as a test title. */
  name: string;
  run(url: string): Promise<void>;
}

/** A call whose effects can be counted, for the fault cases. */
export interface EffectfulCall {
  send(url: string, key: string, timeoutMs: number): Promise<CallResult>;
  countEffects(url: string, key: string): Promise<number>;
  /** True if a repeated call has no second effect. */
  isIdempotent: boolean;
}

export type CallResult = Result<JsonResponse, HttpFailure>;

/** Expected response and number of effects of a call under a fault. */
interface FaultCase {
  fault: Pick<Fault, 'effect' | 'status' | 'delayMs'>;
  /** Status of the response; null if there is none. */
  status: number | null;
  effects: number;
}

const faultCases: FaultCase[] = [
  {fault: {effect: 'refuse'}, status: null, effects: 0},
  {fault: {effect: 'status', status: 503}, status: 503, effects: 0},
  {fault: {effect: 'status', status: 429}, status: 429, effects: 0},
  {fault: {effect: 'delay', delayMs: 20}, status: 200, effects: 1},
  {fault: {effect: 'lose_answer'}, status: null, effects: 1},
  {fault: {effect: 'cut_body'}, status: null, effects: 1},
  {fault: {effect: 'black_hole'}, status: null, effects: 0},
];

const TIMEOUT_MS = 20_000;
/** Short, because a call into a black hole always times out. */
const BLACK_HOLE_TIMEOUT_MS = 300;

/** Sends a JSON request, by default with a long timeout. */
export function sendRequest(
  method: JsonRequest['method'],
  url: string,
  body?: unknown,
  timeoutMs = TIMEOUT_MS,
): Promise<CallResult> {
  return requestJson({method, url, body, timeoutMs});
}

/**
 * Sends a JSON request and fails if there is no response, whatever its status.
 */
export async function expectResponse<Body>(
  method: JsonRequest['method'],
  url: string,
  body?: unknown,
): Promise<{status: number; body: Body; headers: JsonResponse['headers']}> {
  const response = await sendRequest(method, url, body);
  assert.ok(response.ok, `no response from ${url}`);
  return {...response.value, body: response.value.body as Body};
}

async function runFaultCase(
  url: string,
  effectful: EffectfulCall,
  {fault, status, effects}: FaultCase,
): Promise<void> {
  const key = randomUUID();
  const timeoutMs =
    fault.effect === 'black_hole' ? BLACK_HOLE_TIMEOUT_MS : TIMEOUT_MS;
  const faults = [{match: {}, times: 1, ...fault}];
  await expectResponse('PUT', `${url}/faults`, faults);
  const response = await effectful.send(url, key, timeoutMs);
  assert.equal(response.ok ? response.value.status : null, status);
  assert.equal(await effectful.countEffects(url, key), effects);
  const repeat = await effectful.send(url, key, TIMEOUT_MS);
  assert.ok(repeat.ok && repeat.value.status === 200);
  const expected = effectful.isIdempotent ? 1 : effects + 1;
  assert.equal(await effectful.countEffects(url, key), expected);
}

/**
 * Defines the contract tests of an interface. With `effectful`, they include
 * the fault cases, which need an implementation that supports `PUT /faults`.
 */
export function describeContract(
  name: string,
  getBaseUrl: GetBaseUrl,
  cases: readonly ContractCase[],
  effectful?: EffectfulCall,
): void {
  describe(name, {timeout: 60_000}, () => {
    let url = '';
    before(async () => {
      url = await getBaseUrl();
    });
    for (const {name: title, run} of cases) it(title, () => run(url));
    for (const faultCase of effectful ? faultCases : []) {
      const {effect, status = ''} = faultCase.fault;
      // Guards against a stand-in whose fault runs a call more or less often than
      // other tests assume.
      it(`fault ${effect} ${status}: the call takes effect ${faultCase.effects} time(s)`, () =>
        runFaultCase(url, effectful!, faultCase));
    }
  });
}
