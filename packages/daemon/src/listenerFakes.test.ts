import {getSha256, ok, parseAddress} from '@vanillacross/common';
import * as http from 'node:http';
import * as net from 'node:net';

import type {CallerLimits} from './callerServer.js';
import {createCallerServer, defaultCallerLimits} from './callerServer.js';
import {createDispatcher} from './dispatcher.js';
import type {AgentHandler} from './entryFakes.test.js';
import {
  baseRecords,
  createTestContext,
  createFakeControl,
  createFakeMembership,
  sendComplete,
  startFakeAgent,
} from './entryFakes.test.js';
import type {EntryMembership} from './membership.js';
import {createOperatorActions} from './operatorActions.js';
import {createTrainerActions} from './trainerActions.js';
import type {ControlFollower} from './types.js';

export const OPERATOR_TOKEN = 'operator-token';
/** Key of the account that owns trainer `t1`. */
export const TRAINER_KEY = 'sk-two';

const cleanups: Array<() => Promise<void>> = [];
/** Stops all entries started by a test. */
export async function stopEntries(): Promise<void> {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
}

/**
 * Starts a caller listener with its interfaces for callers, trainers and
 * operators, in front of a fake agent. Tests send malformed or malicious input to
 * the listener.
 */
export async function startEntry(
  limits: Partial<CallerLimits> = {},
  handler: AgentHandler = response => sendComplete(response, 'ok'),
) {
  const agent = await startFakeAgent('u1', handler);
  const context = createTestContext();
  const control = createFakeControl({
    ...baseRecords,
    'trainer/t1': {account: 'two', model: 'm', maxVersionAge: 1},
  });
  let appends = 0;
  const follower: ControlFollower = {
    ...control,
    append: async () => {
      appends += 1;
      return ok({tag: 'accepted' as const, offset: 0});
    },
  };
  const membership = createFakeMembership([
    {id: 'u1', address: agent.address},
    {id: 'u2', address: agent.address, pool: 'engine'},
  ]);
  const dispatcher = createDispatcher(context, control, membership);
  const operator = createOperatorActions(
    context,
    follower,
    membership as unknown as EntryMembership,
    {tokenHash: getSha256(OPERATOR_TOKEN)},
  );
  const trainer = createTrainerActions(context, control, dispatcher, {
    logPort: {
      append: async () => ok([0]),
      read: async () => ok({records: [], earliest: 0, next: 0}),
    } as never,
    scoring: null,
    getNewestVersion: () => 1,
  });
  const server = createCallerServer(
    context,
    control,
    membership,
    dispatcher,
    [...operator, ...trainer.actions],
    {...defaultCallerLimits, ...limits},
  );
  await dispatcher.start();
  await server.start();
  cleanups.push(async () => {
    await trainer.component.stop(AbortSignal.abort());
    await server.stop(AbortSignal.abort());
    await dispatcher.stop(AbortSignal.abort());
    await agent.close();
  });
  const send = (path: string, key: string, body: string, method = 'POST') =>
    new Promise<{status: number; text: string}>((resolve, reject) => {
      const request = http.request(
        {
          ...parseAddress(server.getAddress()),
          path,
          method,
          headers: {authorization: `Bearer ${key}`},
        },
        response => {
          let text = '';
          response.on('data', chunk => (text += chunk));
          response.on('end', () =>
            resolve({status: response.statusCode ?? 0, text}),
          );
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  return {
    agent,
    control,
    dispatcher,
    send,
    server,
    context,
    getAppends: () => appends,
  };
}

/** Sends raw bytes on a new connection and returns everything received. */
export function sendRaw(address: string, bytes: string): Promise<string> {
  const {host, port} = parseAddress(address)!;
  return new Promise(resolve => {
    let text = '';
    const socket = net.connect(port, host, () => socket.end(bytes, 'latin1'));
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });
}
