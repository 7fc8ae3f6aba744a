import {Metrics} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {ResponseMemory} from './responseMemory.js';

const MB = 1024 * 1024;

describe('ResponseMemory', () => {
  const hold = (memory: ResponseMemory, name: string, ended: string[]) =>
    memory.hold(() => ended.push(name));

  it('gives up a response that is too large', () => {
    const memory = new ResponseMemory(new Metrics());
    const ended: string[] = [];
    const response = hold(memory, 'a', ended);
    response.add(4 * MB);
    assert.deepEqual(ended, []);
    response.add(1);
    response.add(1);
    assert.deepEqual(ended, ['a']);
    assert.equal(memory.bytes, 0);
  });

  it('gives up the largest ones over the bound of all (guards against small responses that end because of endless ones)', () => {
    const memory = new ResponseMemory(new Metrics());
    const ended: string[] = [];
    for (let index = 0; index < 20; index++) {
      hold(memory, 'small', ended).add(MB / 10);
    }
    for (let index = 0; index < 40; index++) {
      hold(memory, 'large', ended).add(3 * MB);
    }
    assert.ok(memory.bytes <= 48 * MB);
    assert.ok(ended.length >= 24);
    assert.ok(!ended.includes('small'));
  });

  it('counts a response no longer after its release', () => {
    const memory = new ResponseMemory(new Metrics());
    const ended: string[] = [];
    const response = hold(memory, 'a', ended);
    response.add(MB);
    response.release();
    response.add(9 * MB);
    response.release();
    assert.deepEqual([memory.bytes, ended], [0, []]);
  });
});
