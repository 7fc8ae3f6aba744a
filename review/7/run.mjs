// A trainer's batch job runs. Then the store loses the answers of a share of
// the writes for a while, and the tenant hands in two batch jobs that are larger
// than one append may be. Long after that, the trainer ends the first batch
// job. Its end must be acknowledged, or count as acknowledged, and then no item
// of it may reach a replica any more.

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';

import {
  MODEL,
  Nodes,
  PLATFORM,
  Trainer,
  getConfiguration,
  runScript,
} from '../deployment-2.mjs';
import {createReplica} from '../replica-2.mjs';
import {createStore} from '../store-2.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const NODES = 2;
const ITEMS = 240;
const EVENTS = 50;
const PACE_MS = 40;
/** Disruption: share of the writes that are not answered, and for how long. */
const LOST_SHARE = 0.35;
const LOST_MS = 4_500;
/** Size of an item's prompt in the large batch job. */
const LARGE_ITEM_BYTES = 60_000;
const LARGE_ITEMS = 40;
/** Bounds of the sites. */
const CONTACT_MS = 3_000;
const ACK_MS = 4_000;
const CANCEL_MS = 3_000;

await runScript(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async record => {
    const store = await createStore(PLATFORM);
    const trainer = new Trainer('tenant-0', 'key-0');
    const tenants = [{name: trainer.tenant, api_keys: [trainer.key]}];
    store.put('keyed.op', 'config', getConfiguration(1, {tenants}));
    const engines = [];
    for (let index = 0; index < 3; index++) {
      engines.push(
        await createReplica({
          store,
          id: `i-engine-${index}`,
          service: 'engines',
          model: MODEL,
          getEvents: id => (id.startsWith('small') ? 5 : EVENTS),
          paceMs: PACE_MS,
        }),
      );
    }
    const plain = await createReplica({
      store,
      id: 'i-plain',
      service: 'plain',
      slots: 20,
    });
    const nodes = new Nodes({store, record});
    for (let index = 0; index < NODES; index++) await nodes.add(`n${index}`);
    let next = 0;
    const pickNode = () => nodes.nodes[next++ % NODES];
    try {
      if (!(await nodes.whenReady())) return null;
      const id = 'job';
      const job = trainer.createJob(id, {items: ITEMS, groups: 24});
      const first = await trainer.submit(pickNode(), id, job);
      record('batch job submitted', {id, status: first.status});
      if (first.status !== 202) return null;
      await sleep(1_500);

      const troubleAt = performance.now();
      if (HAS_TROUBLE) {
        record('the store loses answers of writes', {share: LOST_SHARE});
        store.setBeforeCall(async call => {
          if (call.path !== '/vanillacross/log-append') return true;
          if (Math.random() >= LOST_SHARE) return true;
          store.appendSilently(call);
          return false;
        });
      }
      // After a refusal or no answer, a batch job arrives again at another node.
      const submitLarge = async (name, first) => {
        const large = trainer.createJob(name, {
          items: LARGE_ITEMS,
          itemBytes: LARGE_ITEM_BYTES,
          groups: 10,
        });
        for (let attempt = first; ; attempt++) {
          if (performance.now() - troubleAt > LOST_MS) return;
          const node = nodes.nodes[attempt % NODES];
          const {status} = await trainer.submit(node, name, large);
          const fields = {name, node: node.name, bytes: large.length, status};
          record('large batch job submitted', fields);
          await sleep(100);
        }
      };
      await Promise.all([submitLarge('large-a', 0), submitLarge('large-b', 1)]);
      const restMs = LOST_MS - (performance.now() - troubleAt);
      await sleep(Math.max(0, restMs));
      store.setBeforeCall(async () => true);
      record('the store answers');
      await sleep(CONTACT_MS + 1_000);

      const page = await trainer.read(pickNode(), id, 0, 0);
      record('read', {status: page.status, results: page.results?.length});
      const endAt = performance.now();
      let ackAt = endAt + ACK_MS;
      while (performance.now() < endAt + ACK_MS) {
        const {status} = await trainer.end(pickNode(), id);
        record('end was asked', {status});
        if (status === 200) {
          ackAt = performance.now();
          break;
        }
        await sleep(200);
      }
      const bound = ackAt + CANCEL_MS;
      await sleep(Math.max(0, bound + 6_000 - performance.now()));
      const late = engines
        .flatMap(({arrivals}) => arrivals)
        .filter(({id: item, at, hasRun}) => {
          return item.startsWith('job-') && hasRun && at > bound;
        });
      record('items that began to run after the end', {
        count: late.length,
        firstMs: late[0] && Math.round(late[0].at - ackAt),
      });
      const after = await trainer.read(pickNode(), id, 0, 0);
      record('read', {status: after.status, results: after.results?.length});
      const small = await trainer.submit(
        pickNode(),
        'small',
        trainer.createJob('small', {items: 8}),
      );
      record('small batch job submitted', {status: small.status});
      return late.length === 0;
    } finally {
      await nodes.close();
      for (const replica of [...engines, plain]) replica.close();
      store.close();
    }
  },
);
