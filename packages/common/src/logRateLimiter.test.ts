import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LogRateLimiter} from './logRateLimiter.js';
import type {Logger} from './logger.js';

function createRecordingLogger(lines: string[]): Logger {
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

describe('LogRateLimiter', () => {
  // Guards against an excessive number of log lines from a repeated event.
  it('limits the lines of each kind and logs how many were dropped', () => {
    const lines: string[] = [];
    let now = 0;
    const limiter = new LogRateLimiter(() => now);
    const logger = limiter.wrap(createRecordingLogger(lines), 'callers');
    for (let i = 0; i < 1_000; i++) logger.info('request was refused');
    logger.error('request failed');
    assert.equal(lines.length, 201);
    now = 1_000;
    logger.info('request was refused');
    assert.match(lines[201], /^lines were left out .*"dropped":800/);
    assert.equal(lines.length, 203);
  });
});
