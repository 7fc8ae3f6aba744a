import type {Result} from '@vanillacross/common';
import {fail, getDeadline, ok, systemClock} from '@vanillacross/common';

import {IN_FORCE_POLL_MS, IN_FORCE_TIMEOUT_MS} from './constants.js';
import type {CommandFailure} from './errors.js';
import type {InForceStatus, PutOutcome} from './operatorClient.js';
import {getPutBatches} from './putBatches.js';
import type {RecordChange, CommandResult, CommandContext} from './types.js';

type OutcomeFailures = {
  [Tag in PutOutcome['tag']]: (
    outcome: Extract<PutOutcome, {tag: Tag}>,
  ) => CommandFailure | null;
};

const outcomeFailures: OutcomeFailures = {
  accepted: () => null,
  conflict: ({key, winner, revision}) => ({
    tag: 'conflict',
    message:
      `${key}: operator ${winner || '(unknown)'} was first, ` +
      `now at revision ${revision}; run plan again`,
  }),
  invalid: ({key, mistakes}) => ({
    tag: 'usage',
    message: mistakes.map(mistake => `${key}: ${mistake}`).join('\n'),
  }),
  log_unavailable: ({key, detail}) => ({
    tag: 'not_accepted',
    message: `${key}: not accepted, the log did not take it (${detail})`,
  }),
  unknown: ({key, detail}) => ({
    tag: 'unknown',
    message: `${key}: outcome unknown (${detail}); check with get`,
  }),
};

/** The failure that decides the exit status, worst first. */
const severity: ReadonlyArray<CommandFailure['tag']> = [
  'unknown',
  'not_accepted',
  'conflict',
  'usage',
];

function getFailure(outcome: PutOutcome): CommandFailure | null {
  return outcomeFailures[outcome.tag](outcome as never);
}

function isAccepted(
  outcome: PutOutcome,
): outcome is Extract<PutOutcome, {tag: 'accepted'}> {
  return outcome.tag === 'accepted';
}

function describeBehind({entries, agents}: InForceStatus): string {
  const names = [...entries.names, ...agents.names];
  const unnamed = entries.behind + agents.behind - names.length;
  if (unnamed > 0) names.push(`${unnamed} others`);
  return names.join(', ');
}

/** Waits until all live instances have applied an offset. */
async function waitInForce(
  session: CommandContext,
  offset: number,
): Promise<Result<string, CommandFailure>> {
  const deadline = getDeadline(systemClock.now(), IN_FORCE_TIMEOUT_MS);
  for (;;) {
    const answer = await session.client.getInForceStatus(offset);
    if (!answer.ok) {
      const message = `accepted, but in force is not known: ${answer.error.message}`;
      return fail({tag: 'not_in_force', message});
    }
    const {entries, agents} = answer.value;
    const total = entries.total + agents.total;
    const behind = entries.behind + agents.behind;
    session.showProgress(`in force at ${total - behind} of ${total} instances`);
    if (behind === 0) {
      return ok(
        `in force at all ${entries.total} entries and ${agents.total} agents`,
      );
    }
    if (systemClock.now() >= deadline) {
      const names = describeBehind(answer.value);
      const message = `accepted, but not in force at ${names}`;
      return fail({tag: 'not_in_force', message});
    }
    const next = getDeadline(systemClock.now(), IN_FORCE_POLL_MS);
    await systemClock.waitUntil(next);
  }
}

/**
 * Gives changes that create a record the revision of its tombstone. The list
 * of records leaves out deleted ones, whose revision goes on counting.
 */
async function getRecreations(
  session: CommandContext,
  changes: readonly RecordChange[],
  outcomes: readonly PutOutcome[],
): Promise<RecordChange[]> {
  const refused = new Set(
    outcomes.filter(({tag}) => tag === 'conflict').map(({key}) => key),
  );
  const recreations: RecordChange[] = [];
  for (const change of changes) {
    if (change.baseRevision !== 0 || !refused.has(change.key)) continue;
    const record = await session.client.getRecord(change.key);
    if (!record.ok || record.value?.body !== null) continue;
    recreations.push({...change, baseRevision: record.value.revision});
  }
  return recreations;
}

/** Sends one batch, and again those that recreate deleted records. */
async function sendBatch(
  session: CommandContext,
  batch: readonly RecordChange[],
): Promise<Result<PutOutcome[], CommandFailure>> {
  const {client, options} = session;
  const first = await client.putRecords(batch, options.operator);
  if (!first.ok) return first;
  const again = await getRecreations(session, batch, first.value);
  if (again.length === 0) return first;
  const second = await client.putRecords(again, options.operator);
  if (!second.ok) return second;
  const newer = new Map(second.value.map(outcome => [outcome.key, outcome]));
  return ok(first.value.map(outcome => newer.get(outcome.key) ?? outcome));
}

/** Joins failures into one whose tag is the worst of them. */
function joinFailures(
  failures: readonly CommandFailure[],
  accepted: number,
  unsent: number,
): CommandFailure {
  const tags = failures.map(({tag}) => tag);
  const tag = severity.find(candidate => tags.includes(candidate)) ?? tags[0];
  const lines = failures.map(({message}) => message);
  if (accepted > 0) lines.push(`${accepted} other changes were accepted`);
  if (unsent > 0) lines.push(`${unsent} changes were not sent`);
  return {tag, message: lines.join('\n')};
}

/**
 * Sends changes in batches, referenced records first, and waits until they
 * are in force everywhere. After a batch with a failure no other is sent,
 * because later ones may refer to what was refused.
 */
export async function publish(
  session: CommandContext,
  changes: readonly RecordChange[],
): Promise<CommandResult> {
  const outcomes: PutOutcome[] = [];
  let unsent = changes.length;
  for (const batch of getPutBatches(changes)) {
    const answer = await sendBatch(session, batch);
    unsent -= batch.length;
    const done = outcomes.filter(isAccepted).length;
    if (!answer.ok) {
      return fail(joinFailures([answer.error], done, unsent));
    }
    outcomes.push(...answer.value);
    const failures = answer.value
      .map(getFailure)
      .filter(failure => failure !== null);
    if (failures.length > 0) {
      const accepted = outcomes.filter(isAccepted).length;
      return fail(joinFailures(failures, accepted, unsent));
    }
    session.showProgress(
      `${outcomes.length} of ${changes.length} changes sent`,
    );
  }
  const offsets = outcomes.filter(isAccepted).map(({offset}) => offset);
  const inForce = await waitInForce(session, Math.max(...offsets));
  if (!inForce.ok) return inForce;
  return ok({
    data: {outcomes, inForce: true},
    text: `${outcomes.length} changes accepted, ${inForce.value}`,
  });
}
