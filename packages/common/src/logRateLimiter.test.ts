import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LogRateLimiter} from './logRateLimiter.js';
import type {Logger} from './logger.js';

function createRecorder(lines: string[]): Logger {
  const write = (message: string, fields?: Record<string, unknown>) => {
    lines.push(`${message} ${JSON.stringify(fields ?? {})}`);
  };
  const logger: Logger = {
    info: write,
    warn: write,
    error: write,
    child: () => logger,
  };
  return logger;
}

describe('LogLimit', () => {
  it('bounds each kind and tells what was left out (guards floods)', () => {
    const lines: string[] = [];
    let now = 0;
    const limit = new LogRateLimiter(() => now);
    const logger = limit.wrap(createRecorder(lines), 'callers');
    for (let i = 0; i < 1_000; i++) logger.info('request was refused');
    logger.error('request failed');
    assert.equal(lines.length, 201);
    now = 1_000;
    logger.info('request was refused');
    assert.match(lines[201], /^lines were left out .*"dropped":800/);
    assert.equal(lines.length, 203);
  });
});
