import type {SampleId} from '@vanillacross/common';
import {as} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ProgressPart} from './progress.js';
import {ProgressBook} from './progress.js';

const SAMPLE = as<SampleId>('s1');

function getPart(
  chain: string,
  parent: string,
  after: number,
  events: string[],
): ProgressPart {
  return {sample: SAMPLE, chain, parent, after, events, versions: [1]};
}

interface Case {
  name: string;
  parts: ProgressPart[];
  text: string;
}

const cases: Case[] = [
  {
    name: 'joins the parts of one chain',
    parts: [getPart('a', '', 0, ['1', '2']), getPart('a', '', 2, ['3'])],
    text: '1\n2\n3',
  },
  {
    name: 'ignores a part that leaves events out',
    parts: [getPart('a', '', 0, ['1']), getPart('a', '', 2, ['3'])],
    text: '1',
  },
  {
    name: 'ignores a repeated part',
    parts: [getPart('a', '', 0, ['1']), getPart('a', '', 0, ['1'])],
    text: '1',
  },
  {
    name: 'goes on with a chain that started at the end of the text',
    parts: [getPart('a', '', 0, ['1', '2']), getPart('b', 'a', 2, ['3b'])],
    text: '1\n2\n3b',
  },
  {
    name: 'keeps the first of two chains that go on from the same event',
    parts: [
      getPart('a', '', 0, ['1', '2']),
      getPart('b', 'a', 2, ['3b']),
      getPart('a', '', 2, ['3a']),
      getPart('a', '', 3, ['4a']),
      getPart('b', 'a', 3, ['4b']),
    ],
    text: '1\n2\n3b\n4b',
  },
  {
    name: 'does not join a run that fits by its length only',
    parts: [
      getPart('a', '', 0, ['1', '2', '3']),
      getPart('c', '', 3, ['4c']),
      getPart('d', 'b', 3, ['4d']),
    ],
    text: '1\n2\n3',
  },
];

describe('ProgressBook', () => {
  describe('apply', () => {
    for (const {name, parts, text} of cases) {
      it(`${name} (guards against joined runs)`, () => {
        const book = new ProgressBook();
        for (const part of parts) book.apply(part);
        assert.equal(book.get(SAMPLE)?.text.getOutput().toString(), text);
      });
    }
  });
});
