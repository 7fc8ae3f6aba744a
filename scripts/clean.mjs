// Removes build output so that deleted sources leave no stale tests behind.
import {readdirSync, rmSync} from 'node:fs';

const folders = readdirSync('packages').map(name => `packages/${name}`);
for (const folder of [...folders, 'platform']) {
  rmSync(`${folder}/dist`, {recursive: true, force: true});
}
rmSync('target', {recursive: true, force: true});
