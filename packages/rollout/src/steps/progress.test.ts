import type {SampleId} from '@vanillacross/common';
import {as} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ProgressPart} from './progress.js';
import {ProgressTracker} from './progress.js';

const SAMPLE = as<SampleId>('s1');
/** Texts of all parts, by the offset of their place. */
const TEXTS: string[] = [];

function getPart(
  chain: string,
  parent: string,
  after: number,
  events: string[],
  branch = after,
): ProgressPart {
  // The place stands for the text: each test names its events by texts.
  const offset = TEXTS.push(events.join('\n')) - 1;
  return {
    sample: SAMPLE,
    chain,
    parent,
    branch,
    after,
    events: events.length,
    versions: [1],
    text: {partition: 0, offset, bytes: 0},
  };
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
      getPart('a', '', 3, ['4a'], 0),
      getPart('b', 'a', 3, ['4b'], 2),
    ],
    text: '1\n2\n3b\n4b',
  },
  {
    name: 'ignores a chain whose beginning was ignored',
    parts: [
      getPart('a', '', 0, ['1', '2']),
      getPart('a', '', 2, ['3a']),
      getPart('b', 'a', 2, ['3b', '4b']),
      getPart('a', '', 3, ['4a']),
      getPart('b', 'a', 4, ['5b'], 2),
    ],
    text: '1\n2\n3a\n4a',
  },
  {
    name: 'starts again with a chain from the beginning',
    parts: [
      getPart('a', '', 0, ['1', '2']),
      getPart('b', '', 0, ['1b']),
      getPart('a', '', 2, ['3'], 0),
      getPart('b', '', 1, ['2b'], 0),
    ],
    text: '1b\n2b',
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
        const book = new ProgressTracker();
        for (const part of parts) book.apply(SAMPLE, part);
        const places = book.get(SAMPLE)?.texts ?? [];
        const stored = places.map(place => TEXTS[place.offset]);
        assert.equal(stored.join('\n'), text);
        assert.equal(book.get(SAMPLE)?.events, text.split('\n').length);
      });
    }
  });
});
