import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';

import {reportJournal} from './journalReport.js';

function createEntry(id: string, at: string, score: number, rules = {}) {
  return {
    id,
    at: [at, at],
    cmd: 'score',
    head: 'abcdef0123456789',
    site: 'site-a',
    days: [{name: 'quiet-1', G: score, served: 0.9, failed: 0, rules}],
  };
}

describe('reportJournal', () => {
  let directory: string;
  before(() => {
    directory = mkdtempSync(join(tmpdir(), 'vanillacross-journal-'));
  });
  after(() => rmSync(directory, {recursive: true}));

  function write(name: string, content: unknown): string {
    const file = join(directory, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
  }

  // Guards against a lower score that goes unnoticed.
  it("shows the change of a day's score since the previous entry", () => {
    const later = write(
      'b',
      createEntry('e2', '2026-12-04T11', 0.7, {LOST: 1}),
    );
    const first = write('a', createEntry('e1', '2026-12-04T10', 0.9));
    const report = reportJournal([later, first], undefined);
    assert.ok(report.ok);
    const [one, two] = report.value.text.split('\n').slice(1);
    assert.match(one, /e1\s+abcdef01\s+0\.900\s+-\s/);
    assert.match(two, /e2\s+abcdef01\s+0\.700\s+-0\.200\s.*LOST/);
  });

  it('omits entries of commands other than score', () => {
    const otherEntry = write('c', {
      ...createEntry('e3', '2026', 0.5),
      cmd: 'hunt',
    });
    const report = reportJournal([otherEntry], undefined);
    assert.ok(report.ok);
    assert.equal(report.value.text, '(none)');
  });

  it('writes a CSV file for plotting', () => {
    const entry = write('d', createEntry('e4', '2026-12-04T12', 0.8));
    const plot = join(directory, 'plot.csv');
    assert.ok(reportJournal([entry], plot).ok);
    const [header, line] = readFileSync(plot, 'utf8').split('\n');
    assert.match(header, /^started,site,day/);
    assert.match(line, /^2026-12-04T12,site-a,quiet-1,e4,abcdef01,0.8,/);
  });

  it('marks a day without a valid score', () => {
    const entry = createEntry('e5', '2026-12-04T13', 0);
    const [day] = entry.days;
    const fault = 'does not start';
    const file = write('f', {...entry, days: [{...day, fault}]});
    const report = reportJournal([file], undefined);
    assert.ok(report.ok);
    assert.match(report.value.text, /fault$/);
  });

  it('reports the path of a file that is not a journal entry', () => {
    const invalid = write('e', {id: 1});
    const report = reportJournal([invalid], undefined);
    assert.ok(!report.ok);
    assert.ok(report.error.message.startsWith(invalid));
  });
});
