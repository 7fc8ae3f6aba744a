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

/** Base URL of the implementation under test. */
export type GetBaseUrl = () => Promise<string> | string;

/** One rule of an interface. */
export interface ContractCase {
  /** The rule and, in brackets, the failure that it guards against. */
  name: string;
  run(url: string): Promise<void>;
}

/** A call with an effect that can be counted, for the fault table. */
export interface EffectfulCall {
  send(url: string, key: string, timeoutMs: number): Promise<CallResult>;
  countEffects(url: string, key: string): Promise<number>;
  /** True if a repeat of the call has no second effect. */
  isIdempotent: boolean;
}

export type CallResult = Result<JsonResponse, HttpFailure>;

/** What a fault does to a call: the answer and the number of effects. */
interface FaultCase {
  fault: Pick<Fault, 'effect' | 'status' | 'delayMs'>;
  /** Status of the answer; null if there is none. */
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
/** Short, because a black hole always runs into it. */
const BLACK_HOLE_TIMEOUT_MS = 300;

/** Sends a JSON request with a wide timeout. */
export function sendRequest(
  method: JsonRequest['method'],
  url: string,
  body?: unknown,
  timeoutMs = TIMEOUT_MS,
): Promise<CallResult> {
  return requestJson({method, url, body, timeoutMs});
}

/** Sends a JSON request that must be answered; returns status and body. */
export async function expectResponse<Body>(
  method: JsonRequest['method'],
  url: string,
  body?: unknown,
): Promise<{status: number; body: Body; headers: JsonResponse['headers']}> {
  const answer = await sendRequest(method, url, body);
  assert.ok(answer.ok, `no answer from ${url}`);
  return {...answer.value, body: answer.value.body as Body};
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
  const answer = await effectful.send(url, key, timeoutMs);
  assert.equal(answer.ok ? answer.value.status : null, status);
  assert.equal(await effectful.countEffects(url, key), effects);
  const repeat = await effectful.send(url, key, TIMEOUT_MS);
  assert.ok(repeat.ok && repeat.value.status === 200);
  const expected = effectful.isIdempotent ? 1 : effects + 1;
  assert.equal(await effectful.countEffects(url, key), expected);
}

/**
 * Describes the contract of an interface. The fault table needs an
 * implementation that takes `PUT /faults`; leave `effectful` out for others.
 */
export function describeContract(
  name: string,
  getAddress: GetBaseUrl,
  cases: readonly ContractCase[],
  effectful?: EffectfulCall,
): void {
  describe(name, {timeout: 60_000}, () => {
    let url = '';
    before(async () => {
      url = await getAddress();
    });
    for (const {name: rule, run} of cases) it(rule, () => run(url));
    for (const faultCase of effectful ? faultCases : []) {
      const {effect, status = ''} = faultCase.fault;
      it(`${effect} ${status}: effects ${faultCase.effects} (guards: fault tests whose fault does something else)`, () =>
        runFaultCase(url, effectful!, faultCase));
    }
  });
}
