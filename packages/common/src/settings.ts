import {readFileSync} from 'node:fs';

import ini from 'ini';
import type {ZodType} from 'zod';

import type {Result} from './result.js';
import {fail, ok} from './result.js';

/** One error in a settings file. */
export interface SettingsMistake {
  section: string;
  key: string;
  expected: string;
}

export interface SettingsFailure {
  tag: 'settings_invalid';
  path: string;
  mistakes: SettingsMistake[];
}

/** Parses INI text with a schema and reports all errors together. */
export function parseSettings<Settings>(
  path: string,
  text: string,
  schema: ZodType<Settings>,
): Result<Settings, SettingsFailure> {
  const parsed = schema.safeParse(ini.parse(text));
  if (parsed.success) return ok(parsed.data);
  const mistakes = parsed.error.issues.map(issue => ({
    section: String(issue.path[0] ?? ''),
    key: issue.path.slice(1).map(String).join('.'),
    expected: issue.message,
  }));
  return fail({tag: 'settings_invalid', path, mistakes});
}

/** Reads an INI file and parses it with a schema. */
export function readSettings<Settings>(
  path: string,
  schema: ZodType<Settings>,
): Result<Settings, SettingsFailure> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const expected = `a readable file (${(error as Error).message})`;
    const mistakes = [{section: '', key: '', expected}];
    return fail({tag: 'settings_invalid', path, mistakes});
  }
  return parseSettings(path, text, schema);
}

/** Formats the errors of a settings file, one per line. */
export function describeSettingsFailure(failure: SettingsFailure): string {
  const lines = failure.mistakes.map(
    mistake =>
      `  [${mistake.section}] ${mistake.key}: expected ${mistake.expected}`,
  );
  return `settings file ${failure.path} is invalid:\n${lines.join('\n')}`;
}
