import {
  describeSettingsFailure,
  fail,
  ok,
  readSettings,
} from '@vanillacross/common';
import {settingsSchema} from '@vanillacross/domain';

import {EXIT} from './constants.js';
import {formatTable} from './textTable.js';
import type {SystemStatus} from './operatorClient.js';
import type {CommandResult, Session} from './types.js';

/** Age of the last answer of the log that `doctor` reports, ms. */
const STALE_LOG_MS = 5_000;

function describeStatus(status: SystemStatus): string {
  const upstreams = status.upstreams.map(upstream => [
    upstream.id,
    upstream.pool,
    upstream.domain,
    upstream.state,
    upstream.load ? `${upstream.load.running}/${upstream.load.limit}` : '-',
    upstream.load ? String(upstream.load.version) : '-',
    upstream.load?.cold ? 'cold' : '',
  ]);
  const contact =
    status.logContactAgoMs === null
      ? 'never'
      : `${Math.round(status.logContactAgoMs)} ms ago`;
  return [
    `entry ${status.entry}, offset ${status.highest}, log answered ${contact}`,
    `controller ${status.lease.holder || '(none)'}, fencing number ${status.lease.fencing}`,
    '',
    formatTable(
      ['instance', 'role', 'failure domain', 'state'],
      status.instances.map(i => [i.id, i.role, i.domain, i.state]),
    ),
    '',
    formatTable(
      ['upstream', 'pool', 'failure domain', 'state', 'load', 'version', ''],
      upstreams,
    ),
    '',
    formatTable(
      ['failure domain', 'state'],
      status.domains.map(domain => [domain.id, domain.state]),
    ),
  ].join('\n');
}

/** Shows instances, upstreams, failure domains and the controller. */
export async function showStatus(session: Session): Promise<CommandResult> {
  const status = await session.client.getStatus();
  if (!status.ok) return status;
  return ok({data: status.value, text: describeStatus(status.value)});
}

/** Shows the sealed usage windows. */
export async function showReports(session: Session): Promise<CommandResult> {
  const reports = await session.client.getReports();
  if (!reports.ok) return reports;
  const rows = reports.value.flatMap(report =>
    Object.entries(report.figures).map(([account, figures]) => [
      String(report.window),
      account,
      String(figures.requests),
      String(figures.promptTokens),
      String(figures.generatedTokens),
    ]),
  );
  const headers = [
    'window',
    'client account',
    'requests',
    'prompt',
    'generated',
  ];
  return ok({data: {reports: reports.value}, text: formatTable(headers, rows)});
}

/** One thing that an operator should look at. */
interface Finding {
  what: string;
  advice: string;
}

function getFindings(status: SystemStatus): Finding[] {
  const findings: Finding[] = [];
  const contact = status.logContactAgoMs;
  if (contact === null || contact > STALE_LOG_MS) {
    findings.push({
      what: 'the log does not answer this entry',
      advice: 'traffic goes on; no change is accepted until it answers',
    });
  }
  if (!status.hasAuthority) {
    findings.push({
      what: 'the entry refuses requests with keys (authority_lost)',
      advice: 'it hears neither the log nor most failure domains; check links',
    });
  }
  if (status.lease.holder === '') {
    findings.push({
      what: 'there is no controller',
      advice: 'orders and reports wait until an entry holds the lease',
    });
  }
  if (status.newerSchemas > 0) {
    findings.push({
      what: `${status.newerSchemas} records have a newer schema version`,
      advice: 'the last understood versions are in force; upgrade this entry',
    });
  }
  const pools = new Set(status.upstreams.map(upstream => upstream.pool));
  for (const pool of pools) {
    const usable = status.upstreams.filter(
      upstream => upstream.pool === pool && upstream.state === 'in',
    );
    if (usable.length === 0) {
      findings.push({
        what: `pool ${pool} has no usable upstream`,
        advice: 'requests to it are refused as no_upstream',
      });
    }
  }
  return findings;
}

/** Checks an entry and says what needs a look. */
export async function runDoctor(session: Session): Promise<CommandResult> {
  const status = await session.client.getStatus();
  if (!status.ok) return status;
  const findings = getFindings(status.value);
  const lines = findings.map(({what, advice}) => `! ${what}\n    ${advice}`);
  return ok({
    data: {findings},
    text: findings.length === 0 ? 'no findings' : lines.join('\n'),
    status: findings.length === 0 ? EXIT.done : EXIT.failed,
  });
}

/** Checks a settings file of the daemon. */
export function checkSettings(path: string): CommandResult {
  const settings = readSettings(path, settingsSchema);
  if (!settings.ok) {
    const message = describeSettingsFailure(settings.error);
    return fail({tag: 'usage', message});
  }
  const {role, id} = settings.value.instance;
  return ok({data: {role, id}, text: `${path}: settings of ${role} ${id}`});
}
