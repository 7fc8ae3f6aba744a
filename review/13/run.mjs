// The operator adds a public route for batch jobs. A job that is accepted there
// must be found by the tenant that submitted it.
import {performance} from 'node:perf_hooks';
import {URL, fileURLToPath} from 'node:url';

import {BOUNDS, call, createId, sleep} from '../node-3.mjs';
import {
  HOST,
  KEYS,
  MODEL,
  addServices,
  createConfiguration,
  createItems,
  readItem,
  readJob,
  startPlatform,
} from '../platform-3.mjs';
import {hasTrouble, runCase} from '../record-3.mjs';

const ITEMS = 8;
/** Time for which the job is read, ms: the trainer's time limit. */
const READ_MS = 12_000;

/** Returns the first configuration with one more route for batch jobs. */
function addRoute(version, isPublic) {
  const configuration = createConfiguration(version);
  const {routes} = configuration;
  const jobs = routes.find(({kind}) => kind === 'rollout');
  routes.push({
    ...jobs,
    name: 'coach-open',
    path_prefix: '/open/',
    public: isPublic,
  });
  return configuration;
}

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async (record, onClose) => {
    const platform = await startPlatform(onClose);
    platform.configure(createConfiguration(1));
    await addServices(platform, {
      onRun: run => {
        const {tenant = 'none'} = run.headers;
        record.note(`${run.replica} runs ${run.id}, tenant ${tenant}`, run.at);
      },
    });
    const machines = [];
    for (const name of ['front-1', 'front-2', 'front-3']) {
      machines.push(await platform.addMachine(name));
    }
    await sleep(BOUNDS.contact_ms + 500);
    platform.configure(addRoute(2, hasTrouble));
    record.note(`version 2 adds a route, public: ${hasTrouble}`);
    await sleep(BOUNDS.config_ms + 500);

    const job = createId('b');
    const items = createItems(ITEMS).map(item => ({
      ...item,
      path: item.path.replace('/coach/', '/open/'),
    }));
    const body = {
      step: 0,
      model: MODEL,
      min_version: 1,
      target_count: 2,
      items,
    };
    const accepted = await call({
      address: machines[0].address,
      path: `/open/${job}`,
      headers: {
        Host: HOST,
        Authorization: `Token ${KEYS.desk}`,
        'Request-Id': job,
        'Content-Type': 'application/json',
      },
      body: JSON.stringify(body),
    });
    record.note(`desk submits ${job}: ${accepted.status}`, accepted.sentAt);
    if (accepted.status !== 202) throw new Error('the job was not accepted');

    let lost = 0;
    let listed = 0;
    const deadline = accepted.endedAt + READ_MS;
    for (let turn = 0; performance.now() < deadline; turn++) {
      const machine = machines[turn % machines.length];
      const answer = await readJob(machine, job, listed, {waitMs: 1_000});
      const {status, text, sentAt} = answer;
      record.note(`${machine.name} reads ${job} from ${listed}: ${status}`);
      const isLate = sentAt - accepted.endedAt > BOUNDS.settle_ms;
      if ((status === 404 || status === 410) && isLate) lost++;
      if (status === 200) listed += JSON.parse(text).results.length;
      if (listed === ITEMS) break;
      const [item] = items;
      const found = await readItem(machine, job, item.instance_id);
      record.note(`${machine.name} reads the body of an item: ${found.status}`);
      await sleep(500);
    }
    const keyless = await call({
      address: machines[0].address,
      method: 'GET',
      path: `/vanillacross/lots/${job}?after=0`,
      headers: {Host: HOST},
    });
    record.note(`without a key: ${keyless.status}`);
    record.note(`${listed} of ${ITEMS} results read, ${lost} answers of 404`);
    return lost > 0;
  },
);
