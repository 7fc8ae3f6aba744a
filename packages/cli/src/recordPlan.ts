import {parseRecordKey, parseRecordBody} from '@vanillacross/domain';

import type {Declaration} from './declarations.js';
import type {RecordChange, ConfigurationRecord} from './types.js';

/** Converts a body to the newest schema version and fills in defaults. */
function normalizeBody(key: string, version: number, body: unknown): unknown {
  const parsed = parseRecordKey(key);
  if (!parsed.ok || body === null) return body;
  const normalized = parseRecordBody(parsed.value.kind, version, body);
  return normalized.ok ? normalized.value : body;
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(sortKeys(a)) === JSON.stringify(sortKeys(b));
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, v]) => [key, sortKeys(v)]));
}

/**
 * Plans the changes from the current records to the declared ones.
 * @param shouldPrune also deletes records of the declared kinds that have no
 *     file.
 */
export function planChanges(
  declarations: readonly Declaration[],
  records: readonly ConfigurationRecord[],
  shouldPrune: boolean,
): RecordChange[] {
  const current = new Map(records.map(record => [record.key, record]));
  const changes: RecordChange[] = [];
  for (const declared of declarations) {
    const record = current.get(declared.key);
    const newBody = normalizeBody(
      declared.key,
      declared.schemaVersion,
      declared.body,
    );
    const previous = record
      ? normalizeBody(record.key, record.schemaVersion, record.body)
      : null;
    if (record && isEqual(newBody, previous)) continue;
    changes.push({
      key: declared.key,
      baseRevision: record?.revision ?? 0,
      schemaVersion: declared.schemaVersion,
      body: declared.body,
      previous,
    });
  }
  if (!shouldPrune) return changes;
  const declaredKeys = new Set(declarations.map(d => d.key));
  const kinds = new Set(declarations.map(d => d.key.split('/')[0]));
  for (const record of records) {
    const isDeclared = declaredKeys.has(record.key);
    const isDeclaredKind = kinds.has(record.key.split('/')[0]);
    if (isDeclared || !isDeclaredKind || record.body === null) continue;
    changes.push({
      key: record.key,
      baseRevision: record.revision,
      schemaVersion: record.schemaVersion,
      body: null,
      previous: record.body,
    });
  }
  return changes;
}

function flattenBody(value: unknown, path = ''): Map<string, string> {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return new Map([[path, JSON.stringify(value)]]);
  }
  const leaves = new Map<string, string>();
  for (const [key, inner] of Object.entries(value)) {
    for (const [leaf, text] of flattenBody(
      inner,
      path ? `${path}.${key}` : key,
    )) {
      leaves.set(leaf, text);
    }
  }
  return leaves;
}

/** Formats a change as text for the terminal. */
export function formatChange(change: RecordChange): string {
  if (change.body === null) return `- ${change.key}`;
  const newFields = flattenBody(
    normalizeBody(change.key, change.schemaVersion, change.body),
  );
  if (change.previous === null) {
    const lines = [...newFields].map(([path, text]) => `    ${path}: ${text}`);
    return [`+ ${change.key}`, ...lines].join('\n');
  }
  const oldFields = flattenBody(change.previous);
  const lines = [`~ ${change.key} (revision ${change.baseRevision})`];
  for (const path of new Set([...oldFields.keys(), ...newFields.keys()])) {
    const [old, next] = [oldFields.get(path), newFields.get(path)];
    if (old === next) continue;
    lines.push(`    ${path}: ${old ?? '(none)'} -> ${next ?? '(none)'}`);
  }
  return lines.join('\n');
}
