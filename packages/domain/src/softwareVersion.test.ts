import type {SoftwareVersion} from '@vanillacross/common';
import {toBranded} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {TextOrigin} from './softwareVersion.js';
import {createKnownOrigin, mayExtendText, noText} from './softwareVersion.js';

const V1 = toBranded<SoftwareVersion>('v1');
const V2 = toBranded<SoftwareVersion>('v2');

const cases: Array<[string, TextOrigin, SoftwareVersion, boolean]> = [
  ['a text without events begins anywhere', noText, V2, true],
  ['a text goes on at its version', createKnownOrigin(V1), V1, true],
  ['a text goes on at no other version', createKnownOrigin(V1), V2, false],
  ['a text of unknown origin goes on nowhere', {tag: 'unknown'}, V1, false],
];

describe('mayExtendText', () => {
  for (const [name, origin, software, expected] of cases) {
    it(name, () => assert.equal(mayExtendText(origin, software), expected));
  }
});
