import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline} from '@vanillacross/common';
import type {CrashCounts, CrashReport} from '@vanillacross/domain';
import {countCrashes, crashReportSchema} from '@vanillacross/domain';
import {z} from 'zod';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {ClientFactory} from './orderTask.js';
import type {Context, ControlFollower, Membership} from './types.js';

const INTERVAL_MS = 1_000;
const RELAY_TIMEOUT_MS = 2_000;
/** Crash reports that wait for a holder; older ones are dropped. */
const MAX_WAITING = 256;

const reportsSchema = z.object({crashes: z.array(crashReportSchema)});
const answerSchema = z.object({accepted: z.boolean()});

/** Counts crash reports at the holder; other entries relay them to it. */
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
  const logger = context.logger.part('crashes');
  let tenureFencing = -1;
  let counts: CrashCounts = new Map();
  let waiting: CrashReport[] = [];
  const reached = new Set<string>();

  /** False if this entry is not the holder. */
  function count(crashes: readonly CrashReport[]): boolean {
    const tenure = lease.getTenure();
    if (!tenure) return false;
    if (tenure.fencing !== tenureFencing) {
      tenureFencing = tenure.fencing;
      counts = new Map();
      reached.clear();
    }
    const counted = countCrashes(counts, crashes);
    counts = counted.counts;
    for (const fingerprint of counted.reached) reached.add(fingerprint);
    return true;
  }

  async function appendQuarantine(fingerprint: string): Promise<void> {
    if (control.getState().quarantine.has(fingerprint)) {
      reached.delete(fingerprint);
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
    reached.delete(fingerprint);
    metrics.count('vc_quarantines');
    logger.warn('request fingerprint quarantined', {fingerprint});
  }

  async function relay(): Promise<void> {
    const crashes = waiting;
    if (crashes.length === 0) return;
    const {holder} = control.getState().lease;
    const target = membership.getInstances().find(({id}) => id === holder);
    if (!target || target.id === context.self.id) return;
    const answer = await createClient(target.peerAddress).call(
      'crash.report',
      {crashes},
      RELAY_TIMEOUT_MS,
    );
    const parsed = answerSchema.safeParse(answer.ok ? answer.value : null);
    if (!parsed.success || !parsed.data.accepted) {
      metrics.count('vc_crash_relay_failures');
      return;
    }
    waiting = waiting.filter(report => !crashes.includes(report));
  }

  async function step(): Promise<MonotonicMs> {
    if (count(waiting)) {
      waiting = [];
      for (const fingerprint of [...reached]) {
        await appendQuarantine(fingerprint);
      }
    } else {
      await relay();
    }
    return getDeadline(clock.now(), INTERVAL_MS);
  }

  const loop = createLoop(context, 'crashes', step);
  return {
    ...loop,
    add: crashes => {
      if (crashes.length === 0) return;
      metrics.count('vc_crash_reports', {}, crashes.length);
      waiting = [...waiting, ...crashes].slice(-MAX_WAITING);
      loop.wake();
    },
    rpcMethods: {
      'crash.report': defineMethod(reportsSchema, ({crashes}) => {
        const accepted = count(crashes);
        if (accepted) loop.wake();
        return {accepted};
      }),
    },
  };
}
