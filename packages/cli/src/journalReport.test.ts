import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';

import {reportJournal} from './journalReport.js';

function getEntry(id: string, at: string, worth: number, rules = {}) {
  return {
    id,
    at: [at, at],
    cmd: 'score',
    head: 'abcdef0123456789',
    site: 'site-a',
    days: [{name: 'quiet-1', G: worth, served: 0.9, failed: 0, rules}],
  };
}

describe('reportJournal', () => {
  let folder: string;
  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'vanillacross-journal-'));
  });
  after(() => rmSync(folder, {recursive: true}));

  function write(name: string, content: unknown): string {
    const file = join(folder, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
  }

  it('shows the change of a day from entry to entry (guards unseen regressions)', () => {
    const later = write('b', getEntry('e2', '2026-12-04T11', 0.7, {LOST: 1}));
    const first = write('a', getEntry('e1', '2026-12-04T10', 0.9));
    const report = reportJournal([later, first], undefined);
    assert.ok(report.ok);
    const [one, two] = report.value.text.split('\n').slice(1);
    assert.match(one, /e1\s+abcdef01\s+0\.900\s+-\s/);
    assert.match(two, /e2\s+abcdef01\s+0\.700\s+-0\.200\s.*LOST/);
  });

  it('leaves out entries that are no scores', () => {
    const hunt = write('c', {...getEntry('e3', '2026', 0.5), cmd: 'hunt'});
    const report = reportJournal([hunt], undefined);
    assert.ok(report.ok);
    assert.equal(report.value.text, '(none)');
  });

  it('writes a file to plot', () => {
    const entry = write('d', getEntry('e4', '2026-12-04T12', 0.8));
    const plot = join(folder, 'plot.csv');
    assert.ok(reportJournal([entry], plot).ok);
    const [header, line] = readFileSync(plot, 'utf8').split('\n');
    assert.match(header, /^started,site,day/);
    assert.match(line, /^2026-12-04T12,site-a,quiet-1,e4,abcdef01,0.8,/);
  });

  it('marks a day that was not played to its end', () => {
    const entry = getEntry('e5', '2026-12-04T13', 0);
    const [day] = entry.days;
    const fault = 'does not start';
    const file = write('f', {...entry, days: [{...day, fault}]});
    const report = reportJournal([file], undefined);
    assert.ok(report.ok);
    assert.match(report.value.text, /fault$/);
  });

  it('names the file that is no entry', () => {
    const wrong = write('e', {id: 1});
    const report = reportJournal([wrong], undefined);
    assert.ok(!report.ok);
    assert.ok(report.error.message.startsWith(wrong));
  });
});
