import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {describe, it} from 'node:test';

import {EXIT_UNHANDLED} from './fatalError.js';

const INDEX = new URL('./index.js', import.meta.url).href;

/** Program text that fails in a place where nothing catches it. */
const failures: Record<string, string> = {
  'an event handler':
    "import {EventEmitter} from 'node:events'; const e = new EventEmitter(); e.on('x', () => { throw new Error('the reason'); }); setTimeout(() => e.emit('x'), 5);",
  'a timer': "setTimeout(() => { throw new Error('the reason'); }, 5);",
  'a promise': "void Promise.reject(new Error('the reason'));",
};

function run(program: string): Promise<{code: unknown; lines: string[]}> {
  const text = `
    import {createAsyncLogger, exitOnUnhandledErrors} from '${INDEX}';
    const logger = createAsyncLogger('node');
    exitOnUnhandledErrors(logger);
    logger.info('an earlier line');
    ${program}
    setInterval(() => {}, 1_000);`;
  const args = ['--input-type=module', '-e', text];
  return new Promise(resolve => {
    execFile(process.execPath, args, (error, stdout) => {
      const lines = stdout.trim().split('\n');
      resolve({code: error?.code, lines});
    });
  });
}

describe('a process with an unhandled exception', () => {
  for (const [place, program] of Object.entries(failures)) {
    it(`ends with the reason as its last log line (${place}; guards against ends that nobody can explain)`, async () => {
      const {code, lines} = await run(program);
      const [earlier, last] = lines.slice(-2).map(line => String(line));
      assert.equal(code, EXIT_UNHANDLED);
      assert.match(earlier, /an earlier line/);
      assert.match(last, /unhandled exception/);
      assert.match(last, /the reason/);
    });
  }
});
