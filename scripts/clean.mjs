// Removes build output, so that no stale tests of deleted sources remain.
import {readdirSync, rmSync} from 'node:fs';

const folders = readdirSync('packages').map(name => `packages/${name}`);
for (const folder of [...folders, 'platform']) {
  rmSync(`${folder}/dist`, {recursive: true, force: true});
}
rmSync('target', {recursive: true, force: true});
