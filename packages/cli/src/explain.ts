import {fail, ok, parseJson} from '@vanillacross/common';
import {readFileSync} from 'node:fs';
import {z} from 'zod';

import {EXIT} from './constants.js';
import {formatTable} from './textTable.js';
import type {CommandResult} from './types.js';

const lineSchema = z.looseObject({
  time: z.number(),
  node: z.string().optional(),
  msg: z.string(),
});

type LogLine = z.infer<typeof lineSchema>;

/** Fields that have their own column or do not help to explain a request. */
const HIDDEN_FIELDS = new Set([
  'time',
  'node',
  'msg',
  'level',
  'incarnation',
  'pid',
  'hostname',
]);

/** Parses JSON log lines. Text before the first brace of a line is skipped. */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const rawLine of text.split('\n')) {
    const start = rawLine.indexOf('{');
    if (start < 0) continue;
    const parsed = parseJson(rawLine.slice(start));
    const line = parsed.ok ? lineSchema.safeParse(parsed.value) : null;
    if (line?.success) lines.push(line.data);
  }
  return lines;
}

function hasFieldEqualTo(line: LogLine, id: string): boolean {
  return Object.values(line).some(value => value === id);
}

/** Returns the lines that have a field equal to `id`, sorted by time. */
export function selectLogLines(
  lines: readonly LogLine[],
  id: string,
): LogLine[] {
  return lines
    .filter(line => hasFieldEqualTo(line, id))
    .sort((a, b) => a.time - b.time);
}

function formatFields(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

/**
 * Shows the lines about a request, rollout step or sample from all given logs.
 */
export function explainId(id: string, files: readonly string[]): CommandResult {
  const lines: LogLine[] = [];
  // Reads standard input if no files are given.
  for (const file of files.length > 0 ? files : ['/dev/stdin']) {
    try {
      lines.push(...parseLogLines(readFileSync(file, 'utf8')));
    } catch (error) {
      return fail({tag: 'usage', message: (error as Error).message});
    }
  }
  const selected = selectLogLines(lines, id);
  const rows = selected.map(line => [
    new Date(line.time).toISOString().slice(11, 23),
    line.node ?? '-',
    line.msg,
    formatFields(line),
  ]);
  return ok({
    data: selected,
    text:
      rows.length === 0
        ? `id ${id} not found in ${lines.length} log lines`
        : formatTable(['time', 'node', 'what', 'inputs'], rows),
    status: rows.length === 0 ? EXIT.failed : EXIT.done,
  });
}
