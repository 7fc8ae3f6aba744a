import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline} from '@vanillacross/common';
import type {CrashCounts, CrashReport} from '@vanillacross/domain';
import {countCrashes, crashReportSchema} from '@vanillacross/domain';
import {z} from 'zod';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {ClientFactory} from './orderSender.js';
import type {Context, ControlFollower, Membership} from './types.js';

const INTERVAL_MS = 1_000;
const RELAY_TIMEOUT_MS = 2_000;
/**
 * Maximum number of crash reports waiting for a lease holder; the oldest are
 * dropped.
 */
const MAX_PENDING_REPORTS = 256;

const reportsSchema = z.object({crashes: z.array(crashReportSchema)});
const reportAnswerSchema = z.object({accepted: z.boolean()});

/**
 * Counts crash reports at the lease holder; other entries relay theirs to it.
 */
export interface CrashReports extends Loop {
  add(crashes: readonly CrashReport[]): void;
  rpcMethods: RpcMethods;
}

export function createCrashReports(
  context: Context,
  control: ControlFollower,
  membership: Membership,
  lease: LeaseTask,
  createClient: ClientFactory,
): CrashReports {
  const {clock, metrics} = context;
  const logger = context.logger.child('crashes');
  let tenureFencing = -1;
  let counts: CrashCounts = new Map();
  let pendingReports: CrashReport[] = [];
  const toQuarantine = new Set<string>();

  /** Counts crashes if this entry is the lease holder; returns whether it is. */
  function tryCount(crashes: readonly CrashReport[]): boolean {
    const tenure = lease.getTenure();
    if (!tenure) return false;
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      counts = new Map();
      toQuarantine.clear();
    }
    const counted = countCrashes(counts, crashes);
    counts = counted.counts;
    for (const fingerprint of counted.reached) toQuarantine.add(fingerprint);
    return true;
  }

  async function appendQuarantine(fingerprint: string): Promise<void> {
    if (control.getState().quarantine.has(fingerprint)) {
      toQuarantine.delete(fingerprint);
      return;
    }
    const reason = 'in flight when distinct upstreams crashed';
    const result = await control.append({
      type: 'quarantine',
      fingerprint,
      reason,
    });
    if (!result.ok) {
      metrics.count('vc_quarantine_failures', {reason: result.error.tag});
      return;
    }
    toQuarantine.delete(fingerprint);
    metrics.count('vc_quarantines');
    logger.warn('request fingerprint quarantined', {fingerprint});
  }

  async function relayToHolder(): Promise<void> {
    const crashes = pendingReports;
    if (crashes.length === 0) return;
    const {holder} = control.getState().lease;
    const target = membership.getInstances().find(({id}) => id === holder);
    if (!target || target.id === context.self.id) return;
    const answer = await createClient(target.peerAddress).call(
      'crash.report',
      {crashes},
      RELAY_TIMEOUT_MS,
    );
    const parsed = reportAnswerSchema.safeParse(
      answer.ok ? answer.value : null,
    );
    if (!parsed.success || !parsed.data.accepted) {
      metrics.count('vc_crash_relay_failures');
      return;
    }
    pendingReports = pendingReports.filter(report => !crashes.includes(report));
  }

  async function step(): Promise<MonotonicMs> {
    if (tryCount(pendingReports)) {
      pendingReports = [];
      for (const fingerprint of [...toQuarantine]) {
        await appendQuarantine(fingerprint);
      }
    } else {
      await relayToHolder();
    }
    return getDeadline(clock.now(), INTERVAL_MS);
  }

  const loop = createLoop(context, 'crashes', step);
  return {
    ...loop,
    add: crashes => {
      if (crashes.length === 0) return;
      metrics.count('vc_crash_reports', {}, crashes.length);
      pendingReports = [...pendingReports, ...crashes].slice(
        -MAX_PENDING_REPORTS,
      );
      loop.wake();
    },
    rpcMethods: {
      'crash.report': defineMethod(reportsSchema, ({crashes}) => {
        const accepted = tryCount(crashes);
        if (accepted) loop.wake();
        return {accepted};
      }),
    },
  };
}
