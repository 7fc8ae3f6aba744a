import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {parseLogLines, selectLogLines} from './explain.js';

const LOG = `
  36.7 front-b {"level":30,"time":20,"node":"front-b","request":"r1","status":503,"msg":"callers: request was refused"}
  36.6 front-a {"level":30,"time":10,"node":"front-a","request":"r1","reason":"lost: reset","msg":"forward: attempt failed"}
  36.6 front-a {"level":30,"time":11,"node":"front-a","request":"r2","msg":"callers: request was answered"}
  broken {"level":30,
`;

describe('explain', () => {
  it('returns the lines about an id from all processes, sorted by time', () => {
    const lines = selectLogLines(parseLogLines(LOG), 'r1');
    assert.deepEqual(
      lines.map(line => line.msg),
      ['forward: attempt failed', 'callers: request was refused'],
    );
  });

  it('skips truncated lines', () => {
    assert.equal(parseLogLines(LOG).length, 3);
  });
});
