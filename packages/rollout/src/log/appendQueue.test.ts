import type {MonotonicMs, Result} from '@vanillacross/common';
import {
  Metrics,
  createLogger,
  fail,
  getDeadline,
  ok,
  systemClock,
} from '@vanillacross/common';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {
  AppendRequest,
  AppendedRange,
  LogFailure,
  SharedLog,
} from '../model/index.js';
import {FakeLog} from '../testing/fakeLog.js';
import {AppendQueue} from './appendQueue.js';
import {EntryAssembler, splitEntry} from './entries.js';

type AppendResult = Result<AppendedRange, LogFailure>;

/** Time after which a queue that is blocked fails its test, ms. */
const TIMEOUT_MS = 20_000;

const storedResult: AppendResult = ok({offset: 0, end: 1});
const unknownResult: AppendResult = fail({tag: 'unknown', detail: 'lost'});
const unavailable: LogFailure = {tag: 'unavailable', detail: 'down'};
const unavailableResult: AppendResult = fail(unavailable);

function createQueue(answers: AppendResult[]) {
  const appends: AppendRequest[] = [];
  const log = {
    append: (append: AppendRequest) => {
      appends.push(append);
      return Promise.resolve(answers.shift() ?? storedResult);
    },
  } as unknown as SharedLog;
  return {queue: createQueueOn(log), appends};
}

function createQueueOn(log: SharedLog): AppendQueue {
  return new AppendQueue({
    log,
    stream: 's',
    partition: 0,
    producerId: 'p',
    recordBytes: 64,
    callBytes: 1_024,
    clock: systemClock,
    logger: createLogger('test', 'silent'),
    metrics: new Metrics(),
  });
}

function getTimeAfter(spanMs: number): MonotonicMs {
  return getDeadline(systemClock.now(), spanMs);
}

describe('AppendQueue', () => {
  it('retries a lost append under the same sequence number (a new number would store the entry twice)', async () => {
    const {queue, appends} = createQueue([
      unknownResult,
      unavailableResult,
      storedResult,
    ]);
    const first = await queue.append(Buffer.from('x'), null);
    assert.equal(first.tag, 'stored');
    const sequences = appends.map(append => append.producer?.sequence);
    assert.deepEqual(sequences, [0, 0, 0]);
    await queue.append(Buffer.from('y'), null);
    assert.equal(appends.at(-1)?.producer?.sequence, 1);
  });

  it('treats an append as stored if, after a lost response, the store already expects a higher sequence number', async () => {
    const outOfSequence: AppendResult = fail({
      tag: 'out_of_sequence',
      expected: 1,
    });
    const {queue, appends} = createQueue([unknownResult, outOfSequence]);
    const outcome = await queue.append(Buffer.from('x'), null);
    assert.deepEqual(outcome, {tag: 'stored', offset: null});
    assert.equal(appends.length, 2);
  });

  it('resolves an entry as not stored at its deadline and no longer sends it, if it cannot have been stored', async () => {
    const down = Array.from({length: 50}, () => unavailableResult);
    const {queue, appends} = createQueue(down);
    const outcome = await queue.append(Buffer.from('x'), getTimeAfter(200));
    assert.equal(outcome.tag, 'not_stored');
    const before = appends.length;
    await systemClock.waitUntil(getTimeAfter(600));
    assert.ok(
      appends.length <= before + 1,
      'an entry resolved as not stored must not be sent',
    );
  });

  it('resolves an entry as unknown at its deadline if a response was lost', async () => {
    const lost = Array.from({length: 50}, () => unknownResult);
    const {queue} = createQueue(lost);
    const outcome = await queue.append(Buffer.from('x'), getTimeAfter(200));
    assert.equal(outcome.tag, 'unknown');
    queue.close();
  });
});

/** A store that refuses appends with an entry, and takes all others. */
function createStrictLog(refused: string, failure: LogFailure) {
  return new FakeLog(({records}, index) => {
    if (index === 0) return 'append_lost';
    const isRefused = records.some(r => r.toString('utf8', 1) === refused);
    return isRefused ? failure : 'none';
  });
}

function createFakeQueue(fake: FakeLog) {
  return createQueueOn(fake.log);
}

/** Appends entries in one turn, so that those after the first share a batch. */
function appendAll(queue: AppendQueue, texts: readonly string[]) {
  return Promise.all(
    texts.map(text => queue.append(Buffer.from(text), null)),
  ).then(outcomes => outcomes.map(({tag}) => tag));
}

const rejected: LogFailure = {tag: 'rejected', detail: 'status 413'};
const failed: LogFailure = {tag: 'failed', detail: 'status 500'};

describe(
  'an append queue whose store',
  {concurrency: true, timeout: TIMEOUT_MS},
  () => {
    describe('refuses an entry for good', {concurrency: true}, () => {
      for (const failure of [
        rejected,
        failed,
        {tag: 'conflict', end: 0} as const,
      ]) {
        it(`as ${failure.tag}, after an attempt of unknown outcome, stores the others in order (guards against a partition that is blocked for good)`, async () => {
          const fake = createStrictLog('bad', failure);
          const queue = createFakeQueue(fake);
          const first = await appendAll(queue, ['bad']);
          const tags = await appendAll(queue, ['a', 'b', 'bad', 'c']);
          assert.deepEqual(first, ['refused']);
          assert.deepEqual(tags, ['stored', 'stored', 'refused', 'stored']);
          assert.deepEqual(fake.texts, ['a', 'b', 'c']);
          assert.equal(queue.size, 0);
        });
      }

      it('does not refuse the entries that share its batch', async () => {
        const fake = createStrictLog('bad', rejected);
        const queue = createFakeQueue(fake);
        const tags = await appendAll(queue, ['x', 'bad', 'y', 'bad', 'z']);
        assert.deepEqual(tags, [
          'stored',
          'refused',
          'stored',
          'refused',
          'stored',
        ]);
        assert.deepEqual(fake.texts, ['x', 'y', 'z']);
      });

      it('never gives its sequence number to other records', async () => {
        const fake = createStrictLog('bad', rejected);
        const queue = createFakeQueue(fake);
        await appendAll(queue, ['bad']);
        await appendAll(queue, ['next']);
        const numbers = new Map<number, string>();
        for (const {producer, records} of fake.appends) {
          const content = Buffer.concat(records).toString('utf8');
          const known = numbers.get(producer!.sequence) ?? content;
          assert.equal(content, known);
          numbers.set(producer!.sequence, content);
        }
      });
    });

    describe('executes an append late, and refuses its retry', () => {
      it('stores it once and tells so if it lands before the decision', async () => {
        const fake = new FakeLog((_append, index) => {
          if (index === 0) return 'late';
          if (index === 1) {
            fake.land();
            return rejected;
          }
          return 'none';
        });
        const tags = await appendAll(createFakeQueue(fake), ['a', 'b']);
        assert.deepEqual(tags, ['stored', 'stored']);
        assert.deepEqual(fake.texts, ['a', 'b']);
      });

      it('stores nothing of it after it was refused', async () => {
        const fake = new FakeLog((_append, index) => {
          if (index === 0) return 'late';
          return index === 1 ? rejected : 'none';
        });
        const queue = createFakeQueue(fake);
        assert.deepEqual(await appendAll(queue, ['a']), ['refused']);
        fake.land();
        assert.deepEqual(fake.texts, []);
        assert.deepEqual(await appendAll(queue, ['b']), ['stored']);
        assert.deepEqual(fake.texts, ['b']);
      });

      it('tells that the outcome is unknown if the partition can not be read', async () => {
        const fake = new FakeLog((_append, index) => {
          if (index === 0) return 'answer_lost';
          return index === 1 ? rejected : 'none';
        }, false);
        const queue = createFakeQueue(fake);
        assert.deepEqual(await appendAll(queue, ['a']), ['unknown']);
        assert.deepEqual(await appendAll(queue, ['b']), ['stored']);
      });
    });

    describe(
      'refuses appends for a while after one of unknown outcome',
      {concurrency: true},
      () => {
        const failures: LogFailure[] = [
          {tag: 'full'},
          {tag: 'unavailable', detail: 'status 503'},
          failed,
        ];
        for (const failure of failures) {
          for (const fault of ['answer_lost', 'append_lost'] as const) {
            it(`as ${failure.tag} after ${fault}: stores all once and in order (guards against giving up an append that may still land)`, async () => {
              const fake = new FakeLog((_append, index) => {
                if (index === 0) return fault;
                return index < 14 ? failure : 'none';
              });
              const queue = createFakeQueue(fake);
              const tags = await appendAll(queue, ['a', 'b', 'c']);
              assert.deepEqual(tags, ['stored', 'stored', 'stored']);
              assert.deepEqual(fake.texts, ['a', 'b', 'c']);
            });
          }
        }
      },
    );

    it('refuses an append after its deadline does not get it again (guards against a queue that is blocked by an obsolete entry)', async () => {
      const fake = new FakeLog((_append, index) =>
        index === 0 ? 'none' : unavailable,
      );
      const {log} = fake;
      let isHeld = true;
      const held = {
        ...log,
        append: async (append: AppendRequest) => {
          if (!isHeld) return log.append(append);
          await systemClock.waitUntil(getTimeAfter(150));
          isHeld = false;
          return fail(unavailable);
        },
      };
      const queue = createQueueOn(held);
      const outcome = await queue.append(Buffer.from('old'), getTimeAfter(50));
      assert.equal(outcome.tag, 'unknown');
      assert.deepEqual(await appendAll(queue, ['new']), ['stored']);
      assert.deepEqual(fake.texts, ['new']);
    });

    it('could not take an entry in one append never gets it (guards against retries of an append that can not succeed)', async () => {
      const fake = new FakeLog(() => 'none');
      const queue = createFakeQueue(fake);
      // It takes 16 records; with their markers and lengths, 1,040 bytes.
      const outcome = await queue.append(Buffer.alloc(960), null);
      assert.deepEqual(outcome, {
        tag: 'too_large',
        bytes: 1_040,
        maxBytes: 1_024,
      });
      assert.equal(fake.appends.length, 0);
      assert.deepEqual(await appendAll(queue, ['a']), ['stored']);
    });
  },
);

describe('entries', () => {
  it('are reassembled from records of a limited size', () => {
    for (const size of [0, 1, 62, 63, 64, 200]) {
      const entry = Buffer.alloc(size, 'e');
      const records = splitEntry(entry, 64);
      assert.ok(records.every(record => record.length <= 64));
      const assembler = new EntryAssembler();
      const entries = records.map(record => assembler.push(record));
      assert.deepEqual(entries.at(-1), entry);
      assert.ok(entries.slice(0, -1).every(part => part === null));
    }
  });

  it('ends after it was closed (guards against a process that does not exit because it retries without pause)', async () => {
    const {queue, appends} = createQueue([]);
    queue.close();
    const outcome = await queue.append(Buffer.from('late'), null);
    assert.deepEqual(outcome, {tag: 'not_stored'});
    assert.equal(appends.length, 0);
  });
});
