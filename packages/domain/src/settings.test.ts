import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {parseSettings} from '@vanillacross/common';

import {settingsSchema} from './settings.js';

const ENTRY = `
[instance]
role=entry
id=entry-1
domain=fd-a
[listen]
caller=127.0.0.1:0
peer=127.0.0.1:0
admin=127.0.0.1:0
[platform]
log=http://127.0.0.1:9001
instances=http://127.0.0.1:9002
reports=http://127.0.0.1:9004
[platform.ordering]
fd-a=http://127.0.0.1:9003
[cluster]
secret=0123456789abcdef
seeds=127.0.0.1:7001, 127.0.0.1:7002
[operator]
tokenHash=${'a'.repeat(64)}
`;

describe('settings', () => {
  describe('of an entry', () => {
    it('are read with defaults', () => {
      const parsed = parseSettings('x.ini', ENTRY, settingsSchema);
      assert.ok(parsed.ok);
      assert.equal(parsed.value.limits.drainMs, 30_000);
      assert.deepEqual(parsed.value.cluster.seeds, [
        '127.0.0.1:7001',
        '127.0.0.1:7002',
      ]);
    });

    // Guards against operators who find and fix only one mistake per start.
    it('report every mistake at once with section and key', () => {
      const text = ENTRY.replace('id=entry-1', 'id=!')
        .replace('secret=0123456789abcdef', 'secret=x')
        .replace('caller=127.0.0.1:0', 'caller=nowhere')
        .replace('[operator]', '[operator]\nextra=1');
      const parsed = parseSettings('x.ini', text, settingsSchema);
      assert.ok(!parsed.ok);
      const places = parsed.error.mistakes.map(m => `${m.section}.${m.key}`);
      assert.deepEqual(places.sort(), [
        'cluster.secret',
        'instance.id',
        'listen.caller',
        'operator.',
      ]);
    });
  });

  describe('of an unknown role', () => {
    it('are rejected with the valid roles', () => {
      const parsed = parseSettings(
        'x.ini',
        ENTRY.replace('role=entry', 'role=boss'),
        settingsSchema,
      );
      assert.ok(!parsed.ok);
      assert.equal(parsed.error.mistakes[0].expected, 'entry or agent');
    });
  });
});
