// What a script saw, and its exit status.
import {performance} from 'node:perf_hooks';
import * as fs from 'node:fs';
import * as path from 'node:path';

export const HELD = 0;
export const BROKEN = 1;
export const FAILED = 2;

/** Whether the disruption is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes lines with the time since the start to `record.txt` of a case. */
export class Record {
  startedAt = performance.now();
  lines = [];

  constructor(folder) {
    this.path = path.join(folder, 'record.txt');
  }

  /** Notes a line; `at` is a time of `performance.now()`. */
  note(text, at = performance.now()) {
    const seconds = (at - this.startedAt) / 1_000;
    this.lines.push({seconds, text});
  }

  save() {
    const sorted = [...this.lines].sort((a, b) => a.seconds - b.seconds);
    const text = sorted.map(
      ({seconds, text}) => `${seconds.toFixed(3).padStart(8)} ${text}`,
    );
    fs.writeFileSync(this.path, `${text.join('\n')}\n`);
  }
}

/** Runs a case, closes what it started and exits with its status. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const closers = [];
  let status = FAILED;
  // Ends what was started also if the script itself is ended.
  const closeAll = async () => {
    for (const close of closers.splice(0)) await close();
  };
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(
      signal,
      () => void closeAll().then(() => process.exit(FAILED)),
    );
  }
  try {
    const isBroken = await play(record, closer => closers.unshift(closer));
    status = isBroken ? BROKEN : HELD;
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
  }
  await closeAll();
  const verdict = ['the rule held', 'the rule was broken', 'could not run'];
  record.note(verdict[status]);
  record.save();
  process.stdout.write(`${verdict[status]}\n`);
  process.exit(status);
}
