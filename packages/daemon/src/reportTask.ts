import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {ControlState, Reporting, Seal} from '@vanillacross/domain';
import {
  listRecords,
  getSealContent,
  getNextWindowToSeal,
  reportingSchema,
} from '@vanillacross/domain';
import type {ReportPort} from '@vanillacross/platform';

import type {LeaseTask} from './leaseTask.js';
import type {Loop} from './loop.js';
import {createLoop} from './loop.js';
import type {Context, ControlFollower} from './types.js';
import type {UsageCollection} from './usageCollection.js';

const INTERVAL_MS = 1_000;
/**
 * Time from the end of a window until it may be sealed, so that late cells are
 * included, ms.
 */
const SEAL_GRACE_MS = 15_000;
/** Time after which unresponsive entries no longer delay a seal, ms. */
const COLLECT_TIMEOUT_MS = 30_000;
/**
 * Timeout of a report, ms; at most `LEASE_MARGIN_MS`, the time between the
 * expiry of a lease and the earliest claim by another entry.
 */
const REPORT_TIMEOUT_MS = 2_000;
/**
 * Maximum number of reports sent per iteration of the loop, so that a new holder
 * does not resend all sealed windows at once.
 */
const REPORTS_PER_ITERATION = 8;

/** Settings of usage reports; the defaults if there is no record. */
export function getReportingSettings(state: ControlState): Reporting {
  return listRecords(state, 'reporting')[0]?.body ?? reportingSchema.parse({});
}

/** Creates the task that seals ended windows and reports their figures. */
export function createReportTask(
  context: Context,
  control: ControlFollower,
  lease: LeaseTask,
  usage: UsageCollection,
  port: ReportPort,
): Loop {
  const {clock, metrics} = context;
  const logger = context.logger.child('reports');
  let tenureFencing = -1;
  let collector = usage.createCollector();
  let confirmed = new Set<number>();
  let collectUntil: {window: number; deadline: MonotonicMs} | null = null;

  function reset(fencing: number): void {
    tenureFencing = fencing;
    collector = usage.createCollector();
    confirmed = new Set();
    collectUntil = null;
  }

  function getNewestSealableWindow(state: ControlState): number {
    const {windowMs} = getReportingSettings(state);
    return Math.floor((clock.wallNow() - SEAL_GRACE_MS) / windowMs) - 1;
  }

  /**
   * Collects the usage of a window. Returns the epochs of the entries whose usage
   * is included once all entries have answered or the timeout has passed, else
   * null.
   */
  async function collect(window: number): Promise<string[] | null> {
    if (collectUntil?.window !== window) {
      const deadline = getDeadline(clock.now(), COLLECT_TIMEOUT_MS);
      collectUntil = {window, deadline};
    }
    const {deadline} = collectUntil;
    const {sources, isComplete} = await collector.collect(window);
    if (isComplete || clock.now() >= deadline) return sources;
    return null;
  }

  async function seal(window: number, sources: string[]): Promise<void> {
    const {seals, lastSealed} = control.getState();
    const tenure = lease.getTenure();
    if (tenure?.fencing !== tenureFencing || lastSealed >= window) return;
    const content = getSealContent(
      collector.windows,
      seals,
      lastSealed,
      window,
    );
    const result = await control.append({
      type: 'seal',
      window,
      fencing: tenureFencing,
      figures: content.figures,
      sources,
      late: content.late,
    });
    // Not retried here: if only the response was lost, the control state shows
    // later that the window was sealed.
    if (!result.ok) {
      metrics.count('vc_seal_failures', {reason: result.error.tag});
    } else if (result.value.tag === 'accepted') {
      metrics.count('vc_seals');
      logger.info('window sealed', {window});
    } else {
      metrics.count('vc_seal_failures', {reason: 'lost_race'});
    }
  }

  async function sealNext(): Promise<void> {
    const state = control.getState();
    const newest = getNewestSealableWindow(state);
    const window = getNextWindowToSeal(
      collector.windows,
      state.lastSealed,
      newest,
    );
    if (window === null) return;
    const sources = await collect(window);
    // Collection may have found usage in an older unsealed window.
    const {lastSealed} = control.getState();
    const nextWindow = getNextWindowToSeal(
      collector.windows,
      lastSealed,
      newest,
    );
    if (sources && nextWindow === window) await seal(window, sources);
    collector.windows.prune(control.getState().lastSealed);
  }

  async function report(item: Seal & {offset: number}): Promise<void> {
    const {window, figures, offset} = item;
    const sent = await lease.runFenced(REPORT_TIMEOUT_MS, (_, mayWrite) =>
      port.report(window, figures, offset, REPORT_TIMEOUT_MS, mayWrite),
    );
    if (!sent.ok) return;
    if (sent.value.ok) {
      confirmed.add(window);
      metrics.count('vc_reports');
      return;
    }
    const {tag} = sent.value.error;
    metrics.count('vc_report_failures', {reason: tag});
    if (tag !== 'rejected') return;
    // Not retried: the platform already has other figures for the window.
    confirmed.add(window);
    logger.error('report rejected', {window});
  }

  /** Reports sealed figures exactly as recorded in the log. */
  async function reportSealed(): Promise<void> {
    const unconfirmed = [...control.getState().seals.values()]
      .filter(item => !confirmed.has(item.window))
      .sort((a, b) => a.window - b.window)
      .slice(0, REPORTS_PER_ITERATION);
    for (const item of unconfirmed) await report(item);
  }

  async function step(): Promise<MonotonicMs> {
    const tenure = lease.getTenure();
    if (tenure) {
      if (tenure.fencing !== tenureFencing) reset(tenure.fencing);
      await sealNext();
      await reportSealed();
    }
    return getDeadline(clock.now(), INTERVAL_MS);
  }

  return createLoop(context, 'reports', step);
}
