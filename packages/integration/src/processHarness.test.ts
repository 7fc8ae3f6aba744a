import * as assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

import {createProcessHarness} from './processHarness.js';

const STANDINS_FILE = fileURLToPath(
  new URL('../../standins/dist/main.js', import.meta.url),
);

describe('process harness', {timeout: 60_000}, () => {
  const harness = createProcessHarness();
  after(() => harness.stopAll());

  // Guards against tests in which a pause has no effect.
  it('starts, pauses, resumes and kills a stand-in process', async () => {
    const process = await harness.startProcess({
      name: 'log',
      file: STANDINS_FILE,
      args: ['log', '--appends-per-second', '5'],
    });
    const url = `http://${String(process.ready.address)}/counts`;
    process.pause();
    const signal = AbortSignal.timeout(500);
    await assert.rejects(fetch(url, {signal}));
    process.resume();
    assert.equal((await fetch(url)).status, 200);
    assert.equal((await process.kill()).signal, 'SIGKILL');
    assert.equal(process.isRunning(), false);
  });

  // Guards against start failures without a message.
  it('reports the log lines of a process that does not start', async () => {
    const spec = {name: 'bad', file: STANDINS_FILE, args: ['no-such-thing']};
    await assert.rejects(harness.startProcess(spec), /unknown command/);
  });

  // Guards against flags that a stand-in's factory does not support.
  it('starts every stand-in', async () => {
    const commands: Record<string, string[]> = {
      instances: ['--lag-ms', '10'],
      ordering: ['--checks-fencing', '--domain', 'a'],
      reports: [],
      weights: ['--bytes-per-second', '1000'],
      scoring: ['--service-ms', '1'],
      engine: ['--cold-ms', '10', '--cold-overload', 'stall'],
      plain: ['--name', 'p', '--concurrency', '2'],
      proxy: ['--target', '127.0.0.1:9'],
    };
    const starts = Object.entries(commands).map(([name, args]) =>
      harness.startProcess({name, file: STANDINS_FILE, args: [name, ...args]}),
    );
    for (const {ready} of await Promise.all(starts)) {
      assert.match(String(ready.address), /^127\.0\.0\.1:\d+$/);
    }
  });
});
