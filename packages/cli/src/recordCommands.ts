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

async function computeChanges(
  context: CommandContext,
  directory: string,
  shouldPrune: boolean,
): Promise<Result<RecordChange[], CommandFailure>> {
  const declarations = readDeclarations(directory);
  if (!declarations.ok) return declarations;
  const records = await context.client.getRecords();
  if (!records.ok) return records;
  return ok(planChanges(declarations.value, records.value, shouldPrune));
}

/** Shows what `apply` would change. */
export async function planRecords(
  context: CommandContext,
  directory: string,
  options: {prune: boolean; exitCode: boolean},
): Promise<CommandResult> {
  const changes = await computeChanges(context, directory, options.prune);
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

/**
 * Publishes the changes that bring the records in line with their declarations.
 */
export async function applyRecords(
  context: CommandContext,
  directory: string,
  options: {prune: boolean},
): Promise<CommandResult> {
  const changes = await computeChanges(context, directory, options.prune);
  if (!changes.ok) return changes;
  if (changes.value.length === 0) {
    return ok({data: {outcomes: []}, text: 'no changes'});
  }
  return publish(context, changes.value);
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

/** Shows all records, those of a kind, or one record given as `kind/id`. */
export async function showRecords(
  context: CommandContext,
  selector: string | undefined,
): Promise<CommandResult> {
  const kind = selector?.split('/')[0];
  const response = await context.client.getRecords(kind);
  if (!response.ok) return response;
  const records = selector?.includes('/')
    ? response.value.filter(record => record.key === selector)
    : response.value;
  if (selector?.includes('/') && records.length === 0) {
    return fail({tag: 'refused', message: `there is no record ${selector}`});
  }
  return ok({
    data: {records},
    text: formatTable(RECORD_HEADERS, getRecordRows(records)),
  });
}

/**
 * Shows the change history of all records or one record, newest change last.
 */
export async function showHistory(
  context: CommandContext,
  key: string | undefined,
): Promise<CommandResult> {
  const response = await context.client.getHistory(key);
  if (!response.ok) return response;
  return ok({
    data: {history: response.value},
    text: formatTable(RECORD_HEADERS, getRecordRows(response.value)),
  });
}

/**
 * Publishes a change to one record.
 * @param change receives the current body, null if there is none, and returns
 *     the new body or a message that says why the change is not possible.
 */
async function updateRecord(
  context: CommandContext,
  key: string,
  change: (body: Record<string, unknown> | null) => object | string,
): Promise<CommandResult> {
  const parsed = parseRecordKey(key);
  if (!parsed.ok) {
    return fail({tag: 'usage', message: `${key} is not a record key`});
  }
  const response = await context.client.getRecords(parsed.value.kind);
  if (!response.ok) return response;
  const record = response.value.find(found => found.key === key);
  const currentBody = (record?.body ?? null) as Record<string, unknown> | null;
  const newBody = change(currentBody);
  if (typeof newBody === 'string') {
    return fail({tag: 'refused', message: newBody});
  }
  return publish(context, [
    {
      key,
      baseRevision: record?.revision ?? 0,
      schemaVersion:
        record?.schemaVersion ?? getNewestSchemaVersion(parsed.value.kind),
      body: newBody,
      previous: currentBody,
    },
  ]);
}

/**
 * Creates an API key of a client account. The key is shown only once, because
 * only its hash is stored.
 */
export async function createApiKey(
  context: CommandContext,
  id: string,
  account: string,
): Promise<CommandResult> {
  const key = `vx-${randomBytes(API_KEY_BYTES).toString('base64url')}`;
  const result = await updateRecord(context, `key/${id}`, body =>
    body
      ? `key ${id} already exists`
      : {account, hash: getSha256(key), state: 'active'},
  );
  if (!result.ok) return result;
  return ok({
    data: {id, account, key},
    text: `${key}\n${result.value.text}; the key is not shown again`,
  });
}

export function withdrawApiKey(
  context: CommandContext,
  id: string,
): Promise<CommandResult> {
  return updateRecord(context, `key/${id}`, body =>
    body ? {...body, state: 'withdrawn'} : `there is no key ${id}`,
  );
}

export function setDomainState(
  context: CommandContext,
  id: string,
  state: 'in' | 'out',
): Promise<CommandResult> {
  return updateRecord(context, `domain/${id}`, body =>
    body ? {...body, state} : `there is no failure domain ${id}`,
  );
}

/** Drains an upstream, or restores it with state `in`. */
export async function setUpstreamState(
  context: CommandContext,
  id: string,
  state: 'in' | 'draining',
): Promise<CommandResult> {
  const status = await context.client.getStatus();
  if (!status.ok) return status;
  const known = status.value.upstreams.find(upstream => upstream.id === id);
  return updateRecord(context, `upstream/${id}`, body => {
    if (body) return {...body, state};
    if (!known) return `there is no upstream ${id}`;
    return {pool: known.pool, domain: known.domain, state};
  });
}
