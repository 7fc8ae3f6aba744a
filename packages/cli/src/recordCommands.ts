import {fail, getSha256, ok} from '@vanillacross/common';
import type {Result} from '@vanillacross/common';
import {getNewestSchemaVersion, parseRecordKey} from '@vanillacross/domain';
import {randomBytes} from 'node:crypto';

import {EXIT, API_KEY_BYTES} from './constants.js';
import {readDeclarations} from './declarations.js';
import type {CommandFailure} from './errors.js';
import {publish} from './publish.js';
import {formatChange, planChanges} from './recordPlan.js';
import {formatTable} from './textTable.js';
import type {
  RecordChange,
  CommandResult,
  CommandContext,
  ConfigurationRecord,
} from './types.js';

async function findChanges(
  session: CommandContext,
  directory: string,
  isPruning: boolean,
): Promise<Result<RecordChange[], CommandFailure>> {
  const declarations = readDeclarations(directory);
  if (!declarations.ok) return declarations;
  const records = await session.client.getRecords();
  if (!records.ok) return records;
  return ok(planChanges(declarations.value, records.value, isPruning));
}

/** Shows what `apply` would change. */
export async function planRecords(
  session: CommandContext,
  directory: string,
  options: {prune: boolean; exitCode: boolean},
): Promise<CommandResult> {
  const changes = await findChanges(session, directory, options.prune);
  if (!changes.ok) return changes;
  const count = changes.value.length;
  const lines = changes.value.map(formatChange);
  lines.push(count === 0 ? 'no changes' : `${count} changes`);
  return ok({
    data: {changes: changes.value},
    text: lines.join('\n'),
    status: options.exitCode && count > 0 ? EXIT.changes : EXIT.done,
  });
}

/** Publishes what differs from the declarations. */
export async function applyRecords(
  session: CommandContext,
  directory: string,
  options: {prune: boolean},
): Promise<CommandResult> {
  const changes = await findChanges(session, directory, options.prune);
  if (!changes.ok) return changes;
  if (changes.value.length === 0) {
    return ok({data: {outcomes: []}, text: 'no changes'});
  }
  return publish(session, changes.value);
}

function getRecordRows(records: readonly ConfigurationRecord[]): string[][] {
  return records.map(record => [
    record.key,
    String(record.revision),
    String(record.offset),
    record.operator,
    record.body === null ? '(deleted)' : JSON.stringify(record.body),
  ]);
}

const RECORD_HEADERS = ['key', 'revision', 'offset', 'operator', 'body'];

/** Shows records: all, of a kind, or one by `kind/id`. */
export async function showRecords(
  session: CommandContext,
  wanted: string | undefined,
): Promise<CommandResult> {
  const kind = wanted?.split('/')[0];
  const answer = await session.client.getRecords(kind);
  if (!answer.ok) return answer;
  const records = wanted?.includes('/')
    ? answer.value.filter(record => record.key === wanted)
    : answer.value;
  if (wanted?.includes('/') && records.length === 0) {
    return fail({tag: 'refused', message: `there is no record ${wanted}`});
  }
  return ok({
    data: {records},
    text: formatTable(RECORD_HEADERS, getRecordRows(records)),
  });
}

/** Shows who changed what, newest last. */
export async function showHistory(
  session: CommandContext,
  key: string | undefined,
): Promise<CommandResult> {
  const answer = await session.client.getHistory(key);
  if (!answer.ok) return answer;
  return ok({
    data: {history: answer.value},
    text: formatTable(RECORD_HEADERS, getRecordRows(answer.value)),
  });
}

/**
 * Publishes one record after changing its present body.
 * @param change gets the present body, null if there is none, and returns
 *     the wanted body or a message that says why it can't.
 */
async function updateRecord(
  session: CommandContext,
  key: string,
  change: (body: Record<string, unknown> | null) => object | string,
): Promise<CommandResult> {
  const parsed = parseRecordKey(key);
  if (!parsed.ok) {
    return fail({tag: 'usage', message: `${key} is not a record key`});
  }
  const answer = await session.client.getRecords(parsed.value.kind);
  if (!answer.ok) return answer;
  const record = answer.value.find(found => found.key === key);
  const present = (record?.body ?? null) as Record<string, unknown> | null;
  const wanted = change(present);
  if (typeof wanted === 'string') {
    return fail({tag: 'refused', message: wanted});
  }
  return publish(session, [
    {
      key,
      baseRevision: record?.revision ?? 0,
      schemaVersion:
        record?.schemaVersion ?? getNewestSchemaVersion(parsed.value.kind),
      body: wanted,
      previous: present,
    },
  ]);
}

/** Creates a key of an account; the key itself is shown only here. */
export async function createApiKey(
  session: CommandContext,
  id: string,
  account: string,
): Promise<CommandResult> {
  const key = `vx-${randomBytes(API_KEY_BYTES).toString('base64url')}`;
  const result = await updateRecord(session, `key/${id}`, body =>
    body
      ? `key ${id} exists already`
      : {account, hash: getSha256(key), state: 'active'},
  );
  if (!result.ok) return result;
  return ok({
    data: {id, account, key},
    text: `${key}\n${result.value.text}; the key is not shown again`,
  });
}

/** Withdraws a key. */
export function withdrawApiKey(
  session: CommandContext,
  id: string,
): Promise<CommandResult> {
  return updateRecord(session, `key/${id}`, body =>
    body ? {...body, state: 'withdrawn'} : `there is no key ${id}`,
  );
}

/** Takes a failure domain in or out. */
export function setDomainState(
  session: CommandContext,
  id: string,
  state: 'in' | 'out',
): Promise<CommandResult> {
  return updateRecord(session, `domain/${id}`, body =>
    body ? {...body, state} : `there is no failure domain ${id}`,
  );
}

/** Drains an upstream, or takes it back with state `in`. */
export async function setUpstreamState(
  session: CommandContext,
  id: string,
  state: 'in' | 'draining',
): Promise<CommandResult> {
  const status = await session.client.getStatus();
  if (!status.ok) return status;
  const known = status.value.upstreams.find(upstream => upstream.id === id);
  return updateRecord(session, `upstream/${id}`, body => {
    if (body) return {...body, state};
    if (!known) return `there is no upstream ${id}`;
    return {pool: known.pool, domain: known.domain, state};
  });
}
