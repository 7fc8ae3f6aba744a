import {
  describeSettingsFailure,
  fail,
  ok,
  readSettings,
} from '@vanillacross/common';
import {settingsSchema} from '@vanillacross/domain';

import {EXIT} from './constants.js';
import {formatTable} from './textTable.js';
import type {SystemStatus, UpstreamStatus} from './operatorClient.js';
import type {CommandResult, CommandContext} from './types.js';

/**
 * Age of the last log response above which `doctor` reports a problem, ms.
 * Reads of the log are long polls of up to 10 s.
 */
const STALE_LOG_MS = 15_000;
/**
 * Age of an agent's last message above which `doctor` reports a problem, ms.
 * Entries hold a long poll of an agent for up to 10 s.
 */
const SILENT_AGENT_MS = 30_000;

function getUpstreamState(
  status: SystemStatus,
  upstream: UpstreamStatus,
): string {
  if (upstream.isLeaving) return 'leaving';
  if (upstream.record?.state === 'draining') return 'draining';
  const domain = status.domains.find(({id}) => id === upstream.domain);
  return domain?.state === 'out' ? 'domain out' : 'in';
}

function formatAge(ageMs: number | null): string {
  return ageMs === null ? 'never' : `${Math.round(ageMs)} ms ago`;
}

function hasController({lease}: SystemStatus): boolean {
  return lease.holder !== '' && !lease.isReleased;
}

function describeStatus(status: SystemStatus): string {
  const {instance, control, lease} = status;
  const upstreams = status.upstreams.map(upstream => [
    upstream.id,
    upstream.pool,
    upstream.domain,
    getUpstreamState(status, upstream),
    upstream.load ? `${upstream.load.running}/${upstream.load.limit}` : '-',
    upstream.load ? String(upstream.load.version) : '-',
    upstream.load?.cold ? 'cold' : '',
    formatAge(upstream.heardAgoMs),
  ]);
  const holder = hasController(status) ? lease.holder : '(none)';
  return [
    `entry ${instance.id}, offset ${control.highest}, ` +
      `last log response: ${formatAge(control.logContactAgoMs)}`,
    `controller ${holder}, fencing number ${lease.fencing}`,
    '',
    formatTable(
      ['instance', 'role', 'failure domain', 'state'],
      status.instances.map(i => [i.id, i.role, i.domain, i.state]),
    ),
    '',
    formatTable(
      [
        'upstream',
        'pool',
        'failure domain',
        'state',
        'load',
        'version',
        '',
        'heard',
      ],
      upstreams,
    ),
    '',
    formatTable(
      ['failure domain', 'region', 'state'],
      status.domains.map(domain => [domain.id, domain.region, domain.state]),
    ),
  ].join('\n');
}

/** Shows instances, upstreams, failure domains and the controller. */
export async function showStatus(
  context: CommandContext,
): Promise<CommandResult> {
  const status = await context.client.getStatus();
  if (!status.ok) return status;
  return ok({data: status.value, text: describeStatus(status.value)});
}

/** Shows the sealed usage windows. */
export async function showReports(
  context: CommandContext,
): Promise<CommandResult> {
  const reports = await context.client.getReports();
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

/** A problem that an operator should look into. */
interface Finding {
  what: string;
  advice: string;
}

function getFindings(status: SystemStatus): Finding[] {
  const findings: Finding[] = [];
  const {control} = status;
  const logContactAgoMs = control.logContactAgoMs;
  if (logContactAgoMs === null || logContactAgoMs > STALE_LOG_MS) {
    findings.push({
      what: 'the log does not respond to this entry',
      advice:
        'check the log and the network; until the log responds, traffic continues but no change is accepted',
    });
  }
  if (!control.isComplete) {
    findings.push({
      what: 'the entry does not have the complete configuration yet',
      advice:
        'it loads the configuration from the log or from another entry; check that it can reach one of them',
    });
  }
  if (!status.hasAuthority) {
    findings.push({
      what: 'the entry refuses requests with an API key (error authority_lost)',
      advice:
        'it reaches neither the log nor a majority of the failure domains; check the network',
    });
  }
  if (!hasController(status)) {
    findings.push({
      what: 'there is no controller',
      advice:
        'check the entries and the log; orders and reports wait until an entry holds the lease',
    });
  }
  if (control.newerSchemas > 0) {
    findings.push({
      what: `records with a newer schema version: ${control.newerSchemas}`,
      advice:
        'upgrade this entry; until then it uses the last revision of each record that it can read, if any',
    });
  }
  const pools = new Set(status.upstreams.map(upstream => upstream.pool));
  for (const pool of pools) {
    const usable = status.upstreams.filter(
      upstream =>
        upstream.pool === pool && getUpstreamState(status, upstream) === 'in',
    );
    if (usable.length === 0) {
      findings.push({
        what: `pool ${pool} has no usable upstream`,
        advice:
          'check the upstreams of the pool; requests to it are refused with the error no_upstream',
      });
    }
  }
  const silentUpstreams = status.upstreams.filter(
    ({heardAgoMs}) => heardAgoMs === null || heardAgoMs > SILENT_AGENT_MS,
  );
  if (silentUpstreams.length > 0) {
    findings.push({
      what: `no recent message from ${silentUpstreams.map(({id}) => id).join(', ')}`,
      advice: 'check the agents and their upstreams',
    });
  }
  const domainsOut = status.domains.filter(({state}) => state === 'out');
  if (domainsOut.length > 0) {
    findings.push({
      what: `failure domains are out: ${domainsOut.map(({id}) => id).join(', ')}`,
      advice:
        'restore them with `vanillacross domain in ID` once they may serve traffic',
    });
  }
  if (status.quarantined.length > 0) {
    findings.push({
      what: `distinct quarantined requests: ${status.quarantined.length}`,
      advice:
        'each crashed several upstreams and is now refused; check the callers that send it',
    });
  }
  return findings;
}

/**
 * Checks the state of an entry and reports each problem together with advice.
 */
export async function runDoctor(
  context: CommandContext,
): Promise<CommandResult> {
  const status = await context.client.getStatus();
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
