// A request crashes each replica that runs it and comes again. Once it has
// crashed three, machines must stop passing it on, also while they are restarted
// in turn.
import {setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

import {BOUNDS, sleep} from '../node-3.mjs';
import {
  addServices,
  createConfiguration,
  lookup,
  startPlatform,
} from '../platform-3.mjs';
import {hasTrouble, runCase} from '../record-3.mjs';

const MACHINES = 5;
const REPLICAS = 4;
/** A replica that crashed is back after this, ms ("some seconds"). */
const BACK_MS = 2_500;
/** An entry goes after three ping intervals of silence, ms. */
const ENTRY_MS = 3_600;
/** Time between the return of a machine and the next SIGTERM, ms. */
const PAUSE_MS = BOUNDS.contact_ms + 3_000;
/** The rule's bound. */
const MAX_RETRIES = 3;
const BODY = 'the request that crashes';
const PATH = '/lookup/7f31';

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async (record, onClose) => {
    const platform = await startPlatform(onClose);
    platform.configure(createConfiguration(1));
    await addServices(platform, {plainReplicas: 0});
    const crashes = [];
    let started = 0;
    const addReplica = () =>
      platform.addReplica({
        id: `job-${++started}`,
        service: 'jobboard',
        workMs: 30,
        onRun: run => {
          if (run.body !== BODY) return undefined;
          crashes.push(run);
          record.note(`${run.replica} crashes at ${run.id}`, run.at);
          return 'crash';
        },
        onCrash: ({id}) => {
          setTimeout(() => void addReplica(), BACK_MS);
          setTimeout(
            () => platform.store.put('keyed.servers', id, null),
            ENTRY_MS,
          );
        },
      });
    for (let index = 0; index < REPLICAS; index++) await addReplica();
    const machines = [];
    for (let index = 1; index <= MACHINES; index++) {
      machines.push(await platform.addMachine(`front-${index}`));
    }
    await sleep(BOUNDS.contact_ms + 500);

    const attempts = [];
    const retry = async machine => {
      const inTouchSince = machine.startedAt + BOUNDS.contact_ms;
      const before = crashes.length;
      const answer = await lookup(machine, {path: PATH, body: BODY});
      const count = crashes.length - before;
      const isInTouch = answer.sentAt > inTouchSince;
      attempts.push({sentAt: answer.sentAt, count, isInTouch});
      record.note(
        `the request at ${machine.name}: ${answer.status}, ` +
          `crashed ${count}, in touch: ${isInTouch}`,
        answer.sentAt,
      );
    };
    while (crashes.length < 3) {
      await retry(machines[0]);
      await sleep(1_000);
    }
    const thirdAt = crashes[2].at;
    await sleep(BOUNDS.contact_ms + 500);

    for (const [index, machine] of machines.entries()) {
      if (hasTrouble) {
        record.note(`SIGTERM to ${machine.name}`);
        machine.signal('SIGTERM');
        await machine.exited;
        await machine.start();
        record.note(`${machine.name} is ready again`);
      }
      await sleep(BOUNDS.contact_ms + 500);
      // The request comes again, at any machine.
      await retry(machine);
      await sleep(PAUSE_MS - BOUNDS.contact_ms - 500);
      await retry(machines[(index + 2) % MACHINES]);
    }
    const counted = attempts.filter(
      ({sentAt, count, isInTouch}) =>
        count > 0 && isInTouch && sentAt > thirdAt + BOUNDS.contact_ms,
    );
    record.note(
      `${counted.length} retries reached replicas later than contact_ms after ` +
        `the third crash; allowed are ${MAX_RETRIES}`,
    );
    return counted.length > MAX_RETRIES;
  },
);
