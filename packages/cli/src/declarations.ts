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

/** A record declared in a file `KIND/ID.json`. */
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
  const content = fileSchema.safeParse(json.value);
  if (!content.success) {
    const errors = content.error.issues.map(
      issue => `${issue.path.map(String).join('.')} ${issue.message}`,
    );
    return `${path}: ${errors.join('; ')}`;
  }
  const parsed = parseRecordKey(key);
  if (!parsed.ok) return `${path}: ${key} is not a record key`;
  const version =
    content.data.schemaVersion ?? getNewestSchemaVersion(parsed.value.kind);
  const body = parseRecordBody(parsed.value.kind, version, content.data.body);
  if (body.ok) return {key, schemaVersion: version, body: content.data.body};
  const detail =
    body.error.tag === 'invalid_body'
      ? body.error.mistakes.join('; ')
      : `schema version ${version} is not supported`;
  return `${path}: ${detail}`;
}

/**
 * Reads the `KIND/ID.json` files of a directory and reports all their errors
 * together.
 */
export function readDeclarations(
  directory: string,
): Result<Declaration[], CommandFailure> {
  if (!existsSync(directory) || !statSync(directory).isDirectory()) {
    return fail({tag: 'usage', message: `${directory} is not a directory`});
  }
  const declarations: Declaration[] = [];
  const errors: string[] = [];
  for (const kind of readdirSync(directory).sort()) {
    const kindDirectory = join(directory, kind);
    const isDirectory = statSync(kindDirectory, {
      throwIfNoEntry: false,
    })?.isDirectory();
    if (kind.startsWith('.') || !isDirectory) continue;
    if (!isRecordKind(kind)) {
      errors.push(`${kindDirectory}: unknown record kind`);
      continue;
    }
    const files = readdirSync(kindDirectory).filter(name =>
      name.endsWith('.json'),
    );
    for (const name of files.sort()) {
      const key = `${kind}/${name.slice(0, -'.json'.length)}`;
      const declaration = readDeclaration(join(kindDirectory, name), key);
      if (typeof declaration === 'string') errors.push(declaration);
      else declarations.push(declaration);
    }
  }
  return errors.length === 0
    ? ok(declarations)
    : fail({tag: 'usage', message: errors.join('\n')});
}
