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

/** A log line of a process. */
type LogLine = z.infer<typeof lineSchema>;

/** Fields that are shown in columns of their own or tell nothing here. */
const HIDDEN_FIELDS = new Set([
  'time',
  'node',
  'msg',
  'level',
  'incarnation',
  'pid',
  'hostname',
]);

/** Reads the JSON lines of a log; other text before the brace is skipped. */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const raw of text.split('\n')) {
    const start = raw.indexOf('{');
    if (start < 0) continue;
    const parsed = parseJson(raw.slice(start));
    const line = parsed.ok ? lineSchema.safeParse(parsed.value) : null;
    if (line?.success) lines.push(line.data);
  }
  return lines;
}

function isAbout(line: LogLine, id: string): boolean {
  return Object.values(line).some(value => value === id);
}

/** Lines about an id in the order of time, from all processes. */
export function selectLogLines(
  lines: readonly LogLine[],
  id: string,
): LogLine[] {
  return lines
    .filter(line => isAbout(line, id))
    .sort((a, b) => a.time - b.time);
}

function describeFields(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' ');
}

/** Shows the way of a request, step or sample through all processes. */
export function explainId(id: string, files: readonly string[]): CommandResult {
  const lines: LogLine[] = [];
  // Without files the log comes on standard input.
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
    describeFields(line),
  ]);
  return ok({
    data: selected,
    text:
      rows.length === 0
        ? `no line about ${id} in ${lines.length} lines`
        : formatTable(['time', 'node', 'what', 'inputs'], rows),
    status: rows.length === 0 ? EXIT.failed : EXIT.done,
  });
}
