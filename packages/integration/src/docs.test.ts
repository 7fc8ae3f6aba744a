import {describeSettingsFailure, parseSettings} from '@vanillacross/common';
import {settingsSchema} from '@vanillacross/domain';
import * as assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const PACKAGES = ['common', 'daemon', 'platform', 'rollout'];

function readPage(name: string): string {
  return readFileSync(join(ROOT, 'docs', name), 'utf8');
}

/** Returns the names of all metrics in the sources, without those in tests. */
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

describe('operator documentation', () => {
  // Guards against undocumented metrics and documentation of removed metrics.
  it('describes exactly the metrics in the code', () => {
    const described = readPage('metrics.md')
      .split('\n')
      .map(line => /^\| `(vc_[a-z0-9_]+)/.exec(line)?.[1])
      .filter(name => name !== undefined);
    assert.deepEqual([...described].sort(), [...getMetricNames()].sort());
  });

  // Guards against example settings that the daemon rejects.
  it('shows settings that the daemon accepts, for both roles', () => {
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

  // Guards against log changes that make `explain` differ from the documented
  // output.
  it('explains three failed requests from recorded log lines', () => {
    const log = join(ROOT, 'docs', 'incidents', 'explained-requests.log');
    const page = readPage('OPERATIONS.md');
    const ids = [...page.matchAll(/\$ vanillacross explain (\w+)/g)].map(
      ([, id]) => id,
    );
    assert.equal(ids.length, 3);
    for (const id of ids) {
      const main = join(ROOT, 'packages', 'cli', 'dist', 'main.js');
      const command = spawnSync(process.execPath, [main, 'explain', id, log]);
      assert.equal(command.status, 0, String(command.stderr));
      const normalize = (text: string) => text.replace(/ +/g, ' ');
      const [, ...lines] = normalize(String(command.stdout)).trim().split('\n');
      assert.ok(lines.length > 0);
      for (const line of lines) assert.ok(normalize(page).includes(line), line);
    }
  });
});
