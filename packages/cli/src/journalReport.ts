import {fail, ok, parseJson} from '@vanillacross/common';
import type {Result} from '@vanillacross/common';
import {readFileSync, writeFileSync} from 'node:fs';
import {z} from 'zod';

import {EXIT} from './constants.js';
import {formatTable} from './textTable.js';
import type {CommandResult} from './types.js';

const ENTRY_TIME_LENGTH = 16;
const COMMIT_LENGTH = 8;
const FRACTION_DIGITS = 3;

const daySchema = z.object({
  name: z.string(),
  /**
   * Score of the day: the value earned minus the prices charged, as a fraction
   * of the value that could be earned.
   */
  G: z.number().nullish(),
  served: z.number().nullish(),
  failed: z.number().nullish(),
  /** Violated rules of the benchmark with the number of violations. */
  rules: z.record(z.string(), z.unknown()).default({}),
  /**
   * Reason why the day has no valid score, for example that a program did not
   * start.
   */
  fault: z.string().nullish(),
});

const entrySchema = z.object({
  id: z.string(),
  /** Start and end time of the run. */
  at: z.array(z.string()).min(1),
  cmd: z.string(),
  head: z.string().default(''),
  site: z.string().nullish(),
  days: z.array(daySchema).default([]),
});

type JournalEntry = z.infer<typeof entrySchema>;

/** Result of one benchmark day in one entry of the benchmark's journal. */
export interface DayResult {
  site: string;
  day: string;
  startedAt: string;
  entry: string;
  commit: string;
  /** Score of the day, field `G` of the entry; null if it has none. */
  worth: number | null;
  /**
   * Difference of `worth` from the previous run of the same day at the same
   * site; null if there is none.
   */
  change: number | null;
  served: number | null;
  failed: number | null;
  /** Names of the violated rules, and `fault` if the day has no valid score. */
  brokenRules: string[];
}

/** Parses one entry of the benchmark's journal. */
export function parseJournalEntry(text: string): Result<JournalEntry, string> {
  const parsed = parseJson(text);
  if (!parsed.ok) return fail(parsed.error.detail);
  const entry = entrySchema.safeParse(parsed.value);
  if (entry.success) return ok(entry.data);
  const {path, message} = entry.error.issues[0];
  return fail(`${path.join('.')}: ${message}`);
}

/**
 * Returns the days of all score entries, sorted by site, day and start time.
 */
export function listDayResults(entries: readonly JournalEntry[]): DayResult[] {
  const days = entries
    .filter(entry => entry.cmd === 'score' && entry.site)
    .flatMap(entry => entry.days.map(day => createDayResult(entry, day)))
    .sort(compareDayResults);
  return days.map((day, index) => {
    const previous = days[index - 1];
    const isSameDay = previous?.site === day.site && previous.day === day.day;
    if (!isSameDay || previous.worth === null || day.worth === null) return day;
    return {...day, change: day.worth - previous.worth};
  });
}

function createDayResult(
  entry: JournalEntry,
  day: JournalEntry['days'][number],
): DayResult {
  return {
    site: entry.site ?? '',
    day: day.name,
    startedAt: entry.at[0],
    entry: entry.id,
    commit: entry.head.slice(0, COMMIT_LENGTH),
    worth: day.G ?? null,
    change: null,
    served: day.served ?? null,
    failed: day.failed ?? null,
    brokenRules: [...Object.keys(day.rules), ...(day.fault ? ['fault'] : [])],
  };
}

function compareDayResults(a: DayResult, b: DayResult): number {
  const getKey = (day: DayResult) => [day.site, day.day, day.startedAt];
  const [keyA, keyB] = [getKey(a).join('\n'), getKey(b).join('\n')];
  return keyA < keyB ? -1 : Number(keyA > keyB);
}

/**
 * Compares the results of each benchmark day between journal entries.
 */
export function reportJournal(
  files: readonly string[],
  plotFile: string | undefined,
): CommandResult {
  const entries: JournalEntry[] = [];
  for (const file of files) {
    const entry = readJournalEntry(file);
    if (!entry.ok) return fail({tag: 'usage', message: entry.error});
    entries.push(entry.value);
  }
  const days = listDayResults(entries);
  if (plotFile) {
    try {
      writeFileSync(plotFile, formatCsv(days));
    } catch (error) {
      return fail({tag: 'usage', message: (error as Error).message});
    }
  }
  return ok({data: days, text: formatDayTable(days), status: EXIT.done});
}

function readJournalEntry(file: string): Result<JournalEntry, string> {
  try {
    const entry = parseJournalEntry(readFileSync(file, 'utf8'));
    return entry.ok ? entry : fail(`${file}: ${entry.error}`);
  } catch (error) {
    return fail((error as Error).message);
  }
}

function formatNumber(value: number | null): string {
  return value === null ? '-' : value.toFixed(FRACTION_DIGITS);
}

function formatDayTable(days: readonly DayResult[]): string {
  const headers = [
    'site',
    'day',
    'started',
    'entry',
    'commit',
    'worth',
    'change',
    'served',
    'failed',
    'problems',
  ];
  const rows = days.map(day => [
    day.site,
    day.day,
    day.startedAt.slice(0, ENTRY_TIME_LENGTH),
    day.entry,
    day.commit,
    formatNumber(day.worth),
    formatNumber(day.change),
    formatNumber(day.served),
    formatNumber(day.failed),
    day.brokenRules.join(' ') || '-',
  ]);
  return formatTable(headers, rows);
}

/** Formats days as comma-separated values with a header line. */
function formatCsv(days: readonly DayResult[]): string {
  const lines = days.map(day =>
    [day.startedAt, day.site, day.day, day.entry, day.commit]
      .concat([day.worth, day.served, day.failed].map(v => String(v ?? '')))
      .join(','),
  );
  const header = 'started,site,day,entry,commit,worth,served,failed';
  return `${[header, ...lines].join('\n')}\n`;
}
