import type {SampleId, SoftwareVersion} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ProgressPart} from './progress.js';
import {ProgressTracker} from './progress.js';

const V1 = toBranded<SoftwareVersion>('v1');
const V2 = toBranded<SoftwareVersion>('v2');
const SAMPLE = toBranded<SampleId>('s1');
/** Texts of all parts, by the offset of their location. */
const TEXTS: string[] = [];

function createPart(
  chain: string,
  parent: string,
  after: number,
  events: string[],
  branch = after,
  software: SoftwareVersion | null = V1,
): ProgressPart {
  // The offset of the location identifies the text of the part.
  const offset = TEXTS.push(events.join('\n')) - 1;
  return {
    sample: SAMPLE,
    chain,
    parent,
    branch,
    after,
    events: events.length,
    versions: [1],
    software,
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
    parts: [createPart('a', '', 0, ['1', '2']), createPart('a', '', 2, ['3'])],
    text: '1\n2\n3',
  },
  {
    name: 'ignores a part after a gap',
    parts: [createPart('a', '', 0, ['1']), createPart('a', '', 2, ['3'])],
    text: '1',
  },
  {
    name: 'ignores a repeated part',
    parts: [createPart('a', '', 0, ['1']), createPart('a', '', 0, ['1'])],
    text: '1',
  },
  {
    name: 'continues with a chain that branched off at the end of the text',
    parts: [
      createPart('a', '', 0, ['1', '2']),
      createPart('b', 'a', 2, ['3b']),
    ],
    text: '1\n2\n3b',
  },
  {
    name: 'keeps the first of two chains that continue after the same event',
    parts: [
      createPart('a', '', 0, ['1', '2']),
      createPart('b', 'a', 2, ['3b']),
      createPart('a', '', 2, ['3a']),
      createPart('a', '', 3, ['4a'], 0),
      createPart('b', 'a', 3, ['4b'], 2),
    ],
    text: '1\n2\n3b\n4b',
  },
  {
    name: 'ignores a chain whose first part was ignored',
    parts: [
      createPart('a', '', 0, ['1', '2']),
      createPart('a', '', 2, ['3a']),
      createPart('b', 'a', 2, ['3b', '4b']),
      createPart('a', '', 3, ['4a']),
      createPart('b', 'a', 4, ['5b'], 2),
    ],
    text: '1\n2\n3a\n4a',
  },
  {
    name: 'restarts with a chain that starts from the beginning',
    parts: [
      createPart('a', '', 0, ['1', '2']),
      createPart('b', '', 0, ['1b']),
      createPart('a', '', 2, ['3'], 0),
      createPart('b', '', 1, ['2b'], 0),
    ],
    text: '1b\n2b',
  },
  {
    name: 'does not join a chain with a different parent, even if it branched off at the end of the text',
    parts: [
      createPart('a', '', 0, ['1', '2', '3']),
      createPart('c', '', 3, ['4c']),
      createPart('d', 'b', 3, ['4d']),
    ],
    text: '1\n2\n3',
  },
  {
    name: 'ignores a part of its chain by another software version',
    parts: [
      createPart('a', '', 0, ['1']),
      createPart('a', '', 1, ['2'], 1, V2),
    ],
    text: '1',
  },
  {
    name: 'ignores a chain that branched off at another software version',
    parts: [
      createPart('a', '', 0, ['1']),
      createPart('b', 'a', 1, ['2b'], 1, V2),
    ],
    text: '1',
  },
  {
    name: 'ignores a part that does not state the software version of its chain',
    parts: [
      createPart('a', '', 0, ['1']),
      createPart('a', '', 1, ['2'], 1, null),
    ],
    text: '1',
  },
  {
    name: 'replaces the text by a chain of another software version that starts from the beginning',
    parts: [
      createPart('a', '', 0, ['1', '2']),
      createPart('b', '', 0, ['1b'], 0, V2),
    ],
    text: '1b',
  },
];

describe('ProgressTracker', () => {
  describe('apply', () => {
    for (const {name, parts, text} of cases) {
      it(`${name} (a stored text must not have gaps, repeat events or mix diverging chains)`, () => {
        const tracker = new ProgressTracker();
        for (const part of parts) tracker.apply(SAMPLE, part);
        const locations = tracker.get(SAMPLE)?.texts ?? [];
        const stored = locations.map(location => TEXTS[location.offset]);
        assert.equal(stored.join('\n'), text);
        assert.equal(tracker.get(SAMPLE)?.events, text.split('\n').length);
      });
    }
  });
});
