import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';

import type {Result} from '@vanillacross/common';
import {fail, ok, parseJson} from '@vanillacross/common';
import {
  getNewestSchemaVersion,
  isRecordKind,
  parseRecordKey,
  parseRecordBody,
} from '@vanillacross/domain';
import {z} from 'zod';

import type {CommandFailure} from './errors.js';

/** A record as declared in a file `KIND/ID.json`. */
export interface Declaration {
  key: string;
  schemaVersion: number;
  body: unknown;
}

const fileSchema = z.strictObject({
  schemaVersion: z.number().int().min(1).optional(),
  body: z.record(z.string(), z.unknown()),
});

function readDeclaration(path: string, key: string): Declaration | string {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return `${path}: not readable: ${(error as Error).message}`;
  }
  const json = parseJson(text);
  if (!json.ok) return `${path}: not JSON: ${json.error.detail}`;
  const file = fileSchema.safeParse(json.value);
  if (!file.success) {
    const mistakes = file.error.issues.map(
      issue => `${issue.path.map(String).join('.')} ${issue.message}`,
    );
    return `${path}: ${mistakes.join('; ')}`;
  }
  const parsed = parseRecordKey(key);
  if (!parsed.ok) return `${path}: ${key} is not a record key`;
  const version =
    file.data.schemaVersion ?? getNewestSchemaVersion(parsed.value.kind);
  const body = parseRecordBody(parsed.value.kind, version, file.data.body);
  if (body.ok) return {key, schemaVersion: version, body: file.data.body};
  const detail =
    body.error.tag === 'invalid_body'
      ? body.error.mistakes.join('; ')
      : `schema version ${version} is not known here`;
  return `${path}: ${detail}`;
}

/** Reads `KIND/ID.json` files and reports every mistake at once. */
export function readDeclarations(
  directory: string,
): Result<Declaration[], CommandFailure> {
  if (!existsSync(directory) || !statSync(directory).isDirectory()) {
    return fail({tag: 'usage', message: `${directory} is not a directory`});
  }
  const found: Declaration[] = [];
  const mistakes: string[] = [];
  for (const kind of readdirSync(directory).sort()) {
    const folder = join(directory, kind);
    const isFolder = statSync(folder, {throwIfNoEntry: false})?.isDirectory();
    if (kind.startsWith('.') || !isFolder) continue;
    if (!isRecordKind(kind)) {
      mistakes.push(`${folder}: no such record kind`);
      continue;
    }
    const files = readdirSync(folder).filter(name => name.endsWith('.json'));
    for (const name of files.sort()) {
      const key = `${kind}/${name.slice(0, -'.json'.length)}`;
      const declaration = readDeclaration(join(folder, name), key);
      if (typeof declaration === 'string') mistakes.push(declaration);
      else found.push(declaration);
    }
  }
  return mistakes.length === 0
    ? ok(found)
    : fail({tag: 'usage', message: mistakes.join('\n')});
}
