import {getFuzzSeed} from '@vanillacross/common';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {
  mkdirSync,
  mkdtempSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';

import {readDeclarations} from './declarations.js';

const options = {seed: getFuzzSeed(), numRuns: 150};

describe('malformed declarations', () => {
  let directory = '';
  before(() => {
    directory = mkdtempSync(join(tmpdir(), 'declarations-'));
    mkdirSync(join(directory, 'account'));
  });
  after(() => rmSync(directory, {recursive: true}));

  it('are reported as errors instead of thrown', () => {
    const body = fc.oneof(
      fc.jsonValue({maxDepth: 2}),
      fc.constantFrom({weight: -1}, {weight: 'x'}, {extra: 1}, null, []),
    );
    const text = fc.oneof(
      fc.string(),
      fc.json(),
      fc
        .record({schemaVersion: fc.constantFrom(0, 1, 2, 'x'), body})
        .map(value => JSON.stringify(value)),
    );
    const path = join(directory, 'account', 'one.json');
    fc.assert(
      fc.property(text, content => {
        writeFileSync(path, content);
        const result = readDeclarations(directory);
        if (result.ok) {
          // Of the generated files, only those with exactly these fields can be
          // valid.
          assert.deepEqual(Object.keys(JSON.parse(content) as object), [
            'schemaVersion',
            'body',
          ]);
          return;
        }
        assert.equal(result.error.tag, 'usage');
      }),
      options,
    );
    rmSync(path);
  });

  it('that cannot be read are reported with the other errors', () => {
    mkdirSync(join(directory, 'account', 'folder.json'));
    symlinkSync(join(directory, 'none'), join(directory, 'dangling'));
    writeFileSync(join(directory, 'account', 'a b.json'), '{"body":{}}');
    const result = readDeclarations(directory);
    assert.ok(!result.ok && result.error.tag === 'usage');
    assert.match(result.error.message, /folder\.json: not readable/);
    assert.match(result.error.message, /a b is not a record key/);
  });
});
