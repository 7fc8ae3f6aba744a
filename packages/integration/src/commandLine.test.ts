import {closeServer, getSha256, listen, readBody} from '@vanillacross/common';
import * as assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';

import type {CommandResult, RunCommand} from './commandLine.js';
import {createCommandLine, writeDeclarations} from './commandLine.js';
import type {Deployment} from './deployment.js';
import {
  createRecord,
  fetchStatus,
  startDeployment,
  waitUntil,
} from './deployment.js';

const MAX_BODY_BYTES = 1024 * 1024;
const SEATS = {
  pathPrefix: '/seats',
  pool: 'seats',
  access: ['booths'],
  repeat: 'idempotent',
};

function assertStatus(outcome: CommandResult, status: number): void {
  assert.equal(outcome.exitCode, status, `${outcome.stdout}${outcome.stderr}`);
}

/**
 * Forwards requests to an entry. `runBeforeFirstResponse` is called after the
 * entry has sent its first response and before the proxy returns it, so that
 * the state in this response is already outdated.
 */
async function startInterveningProxy(
  entry: string,
  runBeforeFirstResponse: () => Promise<void>,
): Promise<{url: string; close(): Promise<void>}> {
  let hasIntervened = false;
  const server = createServer((request, response) => {
    const forward = async () => {
      const body = await readBody(request, MAX_BODY_BYTES);
      assert.ok(body.ok);
      const entryResponse = await fetch(`${entry}${request.url}`, {
        method: request.method,
        headers: {authorization: request.headers.authorization ?? ''},
        body: request.method === 'POST' ? new Uint8Array(body.value) : null,
      });
      const text = await entryResponse.text();
      if (!hasIntervened) {
        hasIntervened = true;
        await runBeforeFirstResponse();
      }
      response.writeHead(entryResponse.status).end(text);
    };
    forward().catch(() => response.destroy());
  });
  const address = await listen(server, {host: '127.0.0.1', port: 0});
  return {url: `http://${address}`, close: () => closeServer(server)};
}

describe('command line', {timeout: 240_000}, () => {
  let deployment: Deployment;
  let run: RunCommand;
  let directory = '';
  const getDirectory = (name: string) => join(directory, name);
  const declare = (name: string, records: Record<string, unknown>) =>
    writeDeclarations(getDirectory(name), records);
  const getJson = async <Data>(...args: string[]): Promise<Data> => {
    const outcome = await run('--output', 'json', ...args);
    assertStatus(outcome, 0);
    return JSON.parse(outcome.stdout) as Data;
  };
  const getState = async (key: string) => {
    const {records} = await getJson<{records: Array<{body: {state: string}}>}>(
      'get',
      key,
    );
    return records[0].body.state;
  };

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'vanillacross-cli-'));
    deployment = await startDeployment({
      domains: ['domain-a', 'domain-b'],
      entries: 2,
      pools: [{id: 'seats', body: {kind: 'plain'}, upstreams: 2}],
      records: [createRecord('reporting', 'default', {windowMs: 2_000})],
    });
    const {entries, operatorToken: token} = deployment;
    run = createCommandLine({entry: entries[0].url, token, operator: 'ana'});
  });
  after(async () => {
    await deployment?.stop();
    await rm(directory, {recursive: true, force: true});
  });

  describe('plan and apply', () => {
    // Guards against changes that operators cannot review before they publish
    // them.
    it('show the changes and wait until they are in force everywhere', async () => {
      await declare('first', {
        'account/booths': {weight: 2},
        'route/seats': SEATS,
      });
      const plan = await run('plan', '--exit-code', getDirectory('first'));
      assertStatus(plan, 10);
      assert.match(plan.stdout, /^\+ account\/booths$/m);
      assert.match(plan.stdout, /pathPrefix: "\/seats"/);
      const applied = await run('apply', getDirectory('first'));
      assertStatus(applied, 0);
      assert.match(applied.stdout, /in force at all 2 entries and 2 agents/);
      const again = await run('plan', '--exit-code', getDirectory('first'));
      assertStatus(again, 0);
      assert.match(again.stdout, /no changes/);
      await declare('first', {'account/booths': {weight: 3}});
      const changed = await run('plan', getDirectory('first'));
      assert.match(changed.stdout, /~ account\/booths \(revision 1\)/);
      assert.match(changed.stdout, /weight: 2 -> 3/);
    });

    // Guards against an apply that fails at the record limit of one request.
    it('publish more records than one request takes', async () => {
      const names = Array.from({length: 300}, (_, index) => `a${index}`);
      const records = names.map(name => [`account/${name}`, {weight: 1}]);
      await declare('many', Object.fromEntries(records));
      assertStatus(await run('apply', getDirectory('many')), 0);
      const {records: found} = await getJson<{records: unknown[]}>(
        'get',
        'account',
      );
      assert.ok(found.length >= names.length);
    });

    // Guards against deleted records that cannot be declared again.
    it('recreate a deleted record', async () => {
      await declare('gone', {
        'trainer/t1': {account: 'booths', model: 'm', maxVersionAge: 1},
      });
      assertStatus(await run('apply', getDirectory('gone')), 0);
      const other = {account: 'booths', model: 'm', maxVersionAge: 2};
      await declare('other', {'trainer/t2': other});
      assertStatus(await run('apply', '--prune', getDirectory('other')), 0);
      assertStatus(await run('get', 'trainer/t1'), 1);
      assertStatus(await run('apply', getDirectory('gone')), 0);
      assertStatus(await run('get', 'trainer/t1'), 0);
    });

    // Guards against errors that are reported only once the first one is fixed.
    it('report every error in the declarations', async () => {
      await declare('bad', {
        'account/x': {weight: -1, size: 3},
        'route/y': {pathPrefix: 'seats'},
        'zebra/z': {},
      });
      const outcome = await run('apply', getDirectory('bad'));
      assertStatus(outcome, 2);
      for (const part of [/weight/, /size/, /pathPrefix/, /pool/, /zebra/]) {
        assert.match(outcome.stderr, part);
      }
    });

    // Guards against an operator overwriting a change made since the last read.
    it('reject a change with an outdated base revision and name the other operator', async () => {
      const records = {'domain/domain-b': {region: 'region-1', state: 'out'}};
      await declare('late', records);
      const body = {region: 'region-2', state: 'in'};
      await declare('early', {'domain/domain-b': body});
      const {url, close} = await startInterveningProxy(
        deployment.entries[1].url,
        async () => assertStatus(await run('apply', getDirectory('early')), 0),
      );
      try {
        const late = createCommandLine({
          entry: url,
          token: deployment.operatorToken,
          operator: 'ben',
        });
        const outcome = await late('apply', getDirectory('late'));
        assertStatus(outcome, 3);
        assert.match(outcome.stderr, /operator ana was first/);
      } finally {
        await close();
      }
      assert.equal(await getState('domain/domain-b'), 'in');
    });
  });

  describe('single changes', () => {
    // Guards against keys that are stored in plain text or still work after
    // withdrawal.
    it('create a key, show it once and withdraw it', async () => {
      const {key} = await getJson<{key: string}>(
        ...['key', 'create', 'booth-7', '--account', 'booths'],
      );
      const url = `${deployment.entries[1].url}/seats/1`;
      const headers = {authorization: `Bearer ${key}`};
      assert.equal(await fetchStatus(url, headers), 200);
      const shown = await run('get', 'key/booth-7');
      assert.ok(!shown.stdout.includes(key));
      assert.ok(shown.stdout.includes(getSha256(key)));
      assertStatus(await run('key', 'withdraw', 'booth-7'), 0);
      assert.equal(await fetchStatus(url, headers), 401);
      assertStatus(await run('key', 'withdraw', 'no-such-key'), 1);
    });

    // Guards against a state change that is not published.
    it('take a failure domain out and in', async () => {
      assertStatus(await run('domain', 'out', 'domain-b'), 0);
      assert.equal(await getState('domain/domain-b'), 'out');
      const status = await run('status');
      assert.match(status.stdout, /seats-2 .*domain out/);
      assertStatus(await run('domain', 'in', 'domain-b'), 0);
      assert.equal(await getState('domain/domain-b'), 'in');
    });

    // Guards against draining that works only for upstreams with a record.
    it('drain an upstream that has no record yet and restore it', async () => {
      assertStatus(await run('upstream', 'drain', 'seats-1'), 0);
      assert.match((await run('status')).stdout, /seats-1 .*draining/);
      assertStatus(await run('upstream', 'restore', 'seats-1'), 0);
      assert.equal(await getState('upstream/seats-1'), 'in');
      assertStatus(await run('upstream', 'drain', 'nothing'), 1);
    });

    // Guards against a history that does not tell who made which change.
    it('show who changed what, newest last', async () => {
      const outcome = await run('history', 'domain/domain-b');
      assertStatus(outcome, 0);
      const states = outcome.stdout.match(/"state":"(in|out)"/g);
      assert.deepEqual(states?.slice(-2), ['"state":"out"', '"state":"in"']);
      assert.match(outcome.stdout, /ana/);
    });
  });

  describe('views', () => {
    // Guards against responses that the command cannot parse.
    it('show status and findings of a healthy deployment', async () => {
      const status = await getJson<{upstreams: unknown[]; lease: object}>(
        'status',
      );
      assert.equal(status.upstreams.length, 2);
      await waitUntil('there are no findings', async () => {
        const outcome = await run('doctor');
        return outcome.exitCode === 0 && /no findings/.test(outcome.stdout);
      });
      assertStatus(await run('domain', 'out', 'domain-b'), 0);
      const doctor = await run('doctor');
      assertStatus(doctor, 1);
      assert.match(doctor.stdout, /failure domains are out: domain-b/);
      assertStatus(await run('domain', 'in', 'domain-b'), 0);
    });

    // Guards against usage reports that operators cannot look up.
    it('show the sealed windows', async () => {
      await waitUntil(
        'a window with usage of the account is shown',
        async () => /booths/.test((await run('reports')).stdout),
        60_000,
      );
      const {reports} = await getJson<{reports: unknown[]}>('reports');
      assert.ok(reports.length > 0);
    });

    // Guards against a check that stops at the first error.
    it('check settings and report each error', async () => {
      const file = join(directory, 'bad.ini');
      await writeFile(file, '[instance]\nrole=agent\nid=!\n[listen]\ndata=x\n');
      const outcome = await run('settings', 'check', file);
      assertStatus(outcome, 2);
      for (const part of [
        /\[instance\] id/,
        /\[listen\] data/,
        /\[cluster\]/,
      ]) {
        assert.match(outcome.stderr, part);
      }
    });
  });

  describe('failures', () => {
    // Guards against a refusal that looks like success.
    it('report a wrong token', async () => {
      const unauthorizedRun = createCommandLine({
        entry: deployment.entries[0].url,
        token: 'wrong',
      });
      const outcome = await unauthorizedRun('status');
      assertStatus(outcome, 1);
      assert.match(outcome.stderr, /unauthorized/);
    });

    // Guards against a change that appears accepted during a log outage.
    it('say "not accepted" during a log outage and accept afterwards', async () => {
      const {log} = deployment.platform;
      log.setOutage(true);
      try {
        const outcome = await run('domain', 'out', 'domain-b');
        assertStatus(outcome, 4);
        assert.match(outcome.stderr, /not accepted/);
        assert.equal(await getState('domain/domain-b'), 'in');
      } finally {
        log.setOutage(false);
      }
      await waitUntil('changes are accepted again', async () => {
        const outcome = await run('domain', 'in', 'domain-b');
        return outcome.exitCode === 0;
      });
    });
  });
});
