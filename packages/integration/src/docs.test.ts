import {describeSettingsFailure, parseSettings} from '@vanillacross/common';
import {settingsSchema} from '@vanillacross/domain';
import * as assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const PACKAGES = ['common', 'daemon', 'platform', 'rollout'];

function readPage(name: string): string {
  return readFileSync(join(ROOT, 'docs', name), 'utf8');
}

/** Names of all metrics in the sources that are not tests. */
function getMetricNames(): Set<string> {
  const names = new Set<string>();
  for (const name of PACKAGES) {
    const folder = join(ROOT, 'packages', name, 'src');
    for (const file of readdirSync(folder, {
      recursive: true,
      encoding: 'utf8',
    })) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue;
      const text = readFileSync(join(folder, file), 'utf8');
      for (const [, found] of text.matchAll(/['"`](vc_[a-z0-9_]+)/g)) {
        names.add(found);
      }
    }
  }
  return names;
}

describe('pages for operators', () => {
  // Guards against metrics that nobody can interpret, and removed ones.
  it('describe exactly the metrics in the code', () => {
    const described = readPage('metrics.md')
      .split('\n')
      .map(line => /^\| `(vc_[a-z0-9_]+)/.exec(line)?.[1])
      .filter(name => name !== undefined);
    assert.deepEqual([...described].sort(), [...getMetricNames()].sort());
  });

  // Guards against example settings that the daemon refuses.
  it('show settings that the daemon takes, for both roles', () => {
    const blocks = [
      ...readPage('OPERATIONS.md').matchAll(/```ini\n([\s\S]*?)```/g),
    ];
    const roles = blocks.map(([, text]) => {
      const parsed = parseSettings('OPERATIONS.md', text, settingsSchema);
      assert.ok(
        parsed.ok,
        parsed.ok ? '' : describeSettingsFailure(parsed.error),
      );
      return parsed.value.instance.role;
    });
    assert.deepEqual(roles.sort(), ['agent', 'entry']);
  });
});
