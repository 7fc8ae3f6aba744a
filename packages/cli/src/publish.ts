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

const FAILURES_BY_OUTCOME: OutcomeFailures = {
  accepted: () => null,
  conflict: ({key, winner, revision}) => ({
    tag: 'conflict',
    message:
      `${key}: operator ${winner || '(unknown)'} was first to change it ` +
      `(now at revision ${revision}); run plan again`,
  }),
  invalid: ({key, mistakes}) => ({
    tag: 'usage',
    message: mistakes.map(mistake => `${key}: ${mistake}`).join('\n'),
  }),
  log_unavailable: ({key, detail}) => ({
    tag: 'not_accepted',
    message: `${key}: not accepted because the log did not append the change (${detail})`,
  }),
  unknown: ({key, detail}) => ({
    tag: 'unknown',
    message: `${key}: outcome unknown (${detail}); run the get command to check`,
  }),
};

/** Failure tags, worst first; the worst one determines the exit status. */
const TAGS_BY_SEVERITY: ReadonlyArray<CommandFailure['tag']> = [
  'unknown',
  'not_accepted',
  'conflict',
  'usage',
];

function getFailure(outcome: PutOutcome): CommandFailure | null {
  return FAILURES_BY_OUTCOME[outcome.tag](outcome as never);
}

function isAccepted(
  outcome: PutOutcome,
): outcome is Extract<PutOutcome, {tag: 'accepted'}> {
  return outcome.tag === 'accepted';
}

function formatLaggingInstances({entries, agents}: InForceStatus): string {
  const names = [...entries.names, ...agents.names];
  const unnamedCount = entries.behind + agents.behind - names.length;
  if (unnamedCount > 0) names.push(`${unnamedCount} more`);
  return names.join(', ');
}

/** Waits until all live instances have applied the log up to an offset. */
async function waitUntilInForce(
  context: CommandContext,
  offset: number,
): Promise<Result<string, CommandFailure>> {
  const deadline = getDeadline(systemClock.now(), IN_FORCE_TIMEOUT_MS);
  for (;;) {
    const response = await context.client.getInForceStatus(offset);
    if (!response.ok) {
      const message = `accepted, but it is unknown whether it is in force: ${response.error.message}`;
      return fail({tag: 'not_in_force', message});
    }
    const {entries, agents} = response.value;
    const total = entries.total + agents.total;
    const behind = entries.behind + agents.behind;
    context.showProgress(`in force at ${total - behind} of ${total} instances`);
    if (behind === 0) {
      return ok(
        `in force at all ${entries.total} entries and ${agents.total} agents`,
      );
    }
    if (systemClock.now() >= deadline) {
      const names = formatLaggingInstances(response.value);
      const message = `accepted, but not in force at ${names}`;
      return fail({tag: 'not_in_force', message});
    }
    const next = getDeadline(systemClock.now(), IN_FORCE_POLL_MS);
    await systemClock.waitUntil(next);
  }
}

/**
 * Returns the changes that create a deleted record again, with the revision of
 * the deleted record as their base revision. A record that is created again
 * continues the revision numbers of the deleted one, which a plan cannot know,
 * because the list of records omits deleted records.
 */
async function rebaseOnDeletedRecords(
  context: CommandContext,
  changes: readonly RecordChange[],
  outcomes: readonly PutOutcome[],
): Promise<RecordChange[]> {
  const conflictingKeys = new Set(
    outcomes.filter(({tag}) => tag === 'conflict').map(({key}) => key),
  );
  const rebasedChanges: RecordChange[] = [];
  for (const change of changes) {
    if (change.baseRevision !== 0 || !conflictingKeys.has(change.key)) continue;
    const record = await context.client.getRecord(change.key);
    if (!record.ok || record.value?.body !== null) continue;
    rebasedChanges.push({...change, baseRevision: record.value.revision});
  }
  return rebasedChanges;
}

/** Sends one batch, then resends the changes that recreate deleted records. */
async function sendBatch(
  context: CommandContext,
  batch: readonly RecordChange[],
): Promise<Result<PutOutcome[], CommandFailure>> {
  const {client, options} = context;
  const first = await client.putRecords(batch, options.operator);
  if (!first.ok) return first;
  const rebasedChanges = await rebaseOnDeletedRecords(
    context,
    batch,
    first.value,
  );
  if (rebasedChanges.length === 0) return first;
  const second = await client.putRecords(rebasedChanges, options.operator);
  if (!second.ok) return second;
  const resentOutcomes = new Map(
    second.value.map(outcome => [outcome.key, outcome]),
  );
  return ok(
    first.value.map(outcome => resentOutcomes.get(outcome.key) ?? outcome),
  );
}

/** Merges failures into one that has the worst of their tags. */
function joinFailures(
  failures: readonly CommandFailure[],
  accepted: number,
  unsent: number,
): CommandFailure {
  const tags = failures.map(({tag}) => tag);
  const tag =
    TAGS_BY_SEVERITY.find(candidate => tags.includes(candidate)) ?? tags[0];
  const lines = failures.map(({message}) => message);
  if (accepted > 0) lines.push(`changes that were accepted: ${accepted}`);
  if (unsent > 0) lines.push(`changes not sent: ${unsent}`);
  return {tag, message: lines.join('\n')};
}

/**
 * Sends changes in batches, referenced records first, and waits until they are
 * in force everywhere. Stops after a batch with a failure, because later
 * changes may reference records that were refused.
 */
export async function publish(
  context: CommandContext,
  changes: readonly RecordChange[],
): Promise<CommandResult> {
  const outcomes: PutOutcome[] = [];
  let unsent = changes.length;
  for (const batch of getPutBatches(changes)) {
    const response = await sendBatch(context, batch);
    unsent -= batch.length;
    const acceptedBefore = outcomes.filter(isAccepted).length;
    if (!response.ok) {
      return fail(joinFailures([response.error], acceptedBefore, unsent));
    }
    outcomes.push(...response.value);
    const failures = response.value
      .map(getFailure)
      .filter(failure => failure !== null);
    if (failures.length > 0) {
      const accepted = outcomes.filter(isAccepted).length;
      return fail(joinFailures(failures, accepted, unsent));
    }
    context.showProgress(
      `${outcomes.length} of ${changes.length} changes sent`,
    );
  }
  const offsets = outcomes.filter(isAccepted).map(({offset}) => offset);
  const inForce = await waitUntilInForce(context, Math.max(...offsets));
  if (!inForce.ok) return inForce;
  return ok({
    data: {outcomes, inForce: true},
    text: `accepted changes: ${outcomes.length}; they are ${inForce.value}`,
  });
}
