import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok, systemClock} from '@vanillacross/common';

import {IN_FORCE_POLL_MS, IN_FORCE_TIMEOUT_MS} from './constants.js';
import type {CommandFailure} from './errors.js';
import type {PutOutcome} from './operatorClient.js';
import type {Change, CommandResult, Session} from './types.js';

type OutcomeFailures = {
  [Tag in PutOutcome['tag']]: (
    key: string,
    outcome: Extract<PutOutcome, {tag: Tag}>,
  ) => CommandFailure | null;
};

const outcomeFailures: OutcomeFailures = {
  accepted: () => null,
  conflict: (key, outcome) => ({
    tag: 'conflict',
    message:
      `${key}: operator ${outcome.winner || '(unknown)'} was first, ` +
      `now at revision ${outcome.revision}; run plan again`,
  }),
  invalid: (key, outcome) => ({
    tag: 'usage',
    message: `${key}: ${outcome.detail}`,
  }),
  log_unavailable: (key, outcome) => ({
    tag: 'not_accepted',
    message: `${key}: not accepted, the log did not take it (${outcome.detail})`,
  }),
  append_unknown: (key, outcome) => ({
    tag: 'unknown',
    message: `${key}: outcome unknown (${outcome.detail}); check with get`,
  }),
};

function getFailure(key: string, outcome: PutOutcome): CommandFailure | null {
  return outcomeFailures[outcome.tag](key, outcome as never);
}

/** Waits until all live instances have applied an offset. */
async function waitInForce(
  session: Session,
  offset: number,
): Promise<Result<string, CommandFailure>> {
  const deadline = getDeadline(systemClock.now(), IN_FORCE_TIMEOUT_MS);
  for (;;) {
    const answer = await session.client.getInForce(offset);
    if (!answer.ok) return answer;
    const {isEverywhere, entries, agents, behind} = answer.value;
    const total = entries + agents;
    session.progress(
      `in force at ${total - behind.length} of ${total} instances`,
    );
    if (isEverywhere) {
      return ok(`in force at all ${entries} entries and ${agents} agents`);
    }
    if (systemClock.now() >= deadline) {
      const message = `accepted, but not in force at ${behind.join(', ')}`;
      return fail({tag: 'not_in_force', message});
    }
    const next = getDeadline(systemClock.now(), IN_FORCE_POLL_MS);
    await systemClock.waitUntil(next);
  }
}

/** Sends changes and waits until they are in force everywhere. */
export async function publish(
  session: Session,
  changes: readonly Change[],
): Promise<CommandResult> {
  const {client, options} = session;
  const answer = await client.putRecords(changes, options.operator);
  if (!answer.ok) return answer;
  const failures = answer.value
    .map(({key, outcome}) => getFailure(key, outcome))
    .filter(failure => failure !== null);
  const offsets = answer.value.map(({outcome}) =>
    outcome.tag === 'accepted' ? outcome.offset : -1,
  );
  const accepted = offsets.filter(offset => offset >= 0).length;
  if (failures.length > 0) {
    const lines = failures.map(failure => failure.message);
    if (accepted > 0) lines.push(`${accepted} other changes were accepted`);
    return fail({...failures[0], message: lines.join('\n')});
  }
  const inForce = await waitInForce(session, Math.max(...offsets));
  if (!inForce.ok) return inForce;
  return ok({
    data: {outcomes: answer.value, inForce: true},
    text: `${accepted} changes accepted, ${inForce.value}`,
  });
}
