import type {MonotonicMs, RpcMethods} from '@vanillacross/common';
import {defineMethod, getDeadline} from '@vanillacross/common';
import type {
  AgentInstance,
  AgentView,
  CrashReport,
  Instance,
  Load,
  ControlPullRequest,
  ControlPullResponse,
  UsageCell,
  WeightSources,
} from '@vanillacross/domain';
import {
  getEntriesOfAgent,
  controlPullResponseSchema,
} from '@vanillacross/domain';
import {setMaxListeners} from 'node:events';
import {z} from 'zod';

import type {CallPeer} from './peerCalls.js';
import {createCallPeer} from './peerCalls.js';
import type {Context, Component} from './types.js';

/** What an agent sends to an entry with each poll. */
export interface PullReport {
  load: Load;
  cells: UsageCell[];
  crashes: CrashReport[];
}

export interface AgentLinkOptions<Report extends PullReport = PullReport> {
  /** Returns the known entries that are not leaving. */
  getEntries: () => readonly Instance[];
  /** Returns the report for one entry; called once per poll. */
  getReport: (entry: Instance) => Report;
  /** Called when an entry has answered the poll that carried a report. */
  onReportDelivered: (report: Report, entry: Instance) => void;
  /** Called while no known entry answers. */
  onEntriesUnreachable?: () => void;
  instance: AgentInstance;
  /** Returns the weight version for which the agent needs a source. */
  getWantedVersion?: () => number | undefined;
  /** Called when an entry sends sources from which weights can be fetched. */
  onWeightSources?: (sources: WeightSources) => void;
  callPeer?: CallPeer;
}

/** Polls the entries for the control view and reports to them. */
export interface AgentLink extends Component {
  /** Returns the newest view, or null before the first. */
  getView(): AgentView | null;
  /**
   * Registers a listener for new views; returns a function that unsubscribes.
   */
  subscribe(listener: (view: AgentView) => void): () => void;
  /** Highest fencing number received from any entry; -1 if none. */
  getHighestFencing(): number;
  /** Highest control offset received from any entry; -1 if none. */
  getHighestOffset(): number;
  /** Returns the entries that this agent currently polls. */
  getEntries(): readonly Instance[];
  /** Time of the last answer from any entry; null before the first. */
  getLastContact(): MonotonicMs | null;
  /** Polls all entries immediately, for example to deliver a crash report. */
  pollNow(): void;
  /**
   * Tells all entries that this agent is leaving; resolves when each entry was
   * polled or after a timeout.
   */
  announceLeaving(): Promise<void>;
  /** RPC methods for the peer listener: `member.ping`. */
  rpcMethods: RpcMethods;
}

/** Poll loop for one entry. */
interface Poller {
  entry: Instance;
  stopped: AbortController;
  /** Aborts the poll in flight, so that the next one starts immediately. */
  interrupt: AbortController;
  /** Called after each poll, whether it succeeded or not. */
  onPolled: Set<() => void>;
  /** True from a failed poll until the next successful one. */
  isFailing: boolean;
  /**
   * Hash of the last member list from the entry, sent back so that the entry can
   * omit an unchanged list.
   */
  membersHash: string | undefined;
  loop: Promise<void>;
}

/**
 * Timeout of a poll, ms. Entries hold a poll for up to 10 s; the remainder
 * allows for network delay.
 */
const POLL_TIMEOUT_MS = 15_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/**
 * Minimum delay between polls, ms; limits the rate if an entry does not hold
 * them.
 */
const MIN_POLL_INTERVAL_MS = 50;
const LEAVING_POLL_INTERVAL_MS = 1_000;
const POLLER_UPDATE_INTERVAL_MS = 500;
/** Maximum time to wait for the entries before leaving, ms. */
const LEAVING_TIMEOUT_MS = 2_000;

/** Creates the agent's link to its entries. */
export function createAgentLink<Report extends PullReport>(
  context: Context,
  options: AgentLinkOptions<Report>,
): AgentLink {
  const {clock, metrics} = context;
  const logger = context.logger.child('agent link');
  const callPeer = options.callPeer ?? createCallPeer(context.clusterSecret);
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const pollers = new Map<string, Poller>();
  const listeners = new Set<(view: AgentView) => void>();
  let view: AgentView | null = null;
  let highestOffset = -1;
  let highestFencing = -1;
  let lastContact: MonotonicMs | null = null;
  let isLeaving = false;
  let loop: Promise<void> | undefined;

  metrics.gauge('vc_agent_view_offset', () => view?.offset ?? -1);

  const applyAnswer = (
    poller: Poller,
    sentOffset: number,
    raw: unknown,
  ): boolean => {
    const answer = controlPullResponseSchema.safeParse(raw);
    if (!answer.success) return false;
    lastContact = clock.now();
    const {weights} = answer.data;
    applyView(poller, sentOffset, answer.data);
    if (weights) options.onWeightSources?.(weights);
    return true;
  };

  const applyView = (
    poller: Poller,
    sentOffset: number,
    answer: ControlPullResponse,
  ): void => {
    highestOffset = Math.max(highestOffset, answer.highest);
    const receivedView = answer.view;
    if (!receivedView) {
      // Without a view in the answer, the view that this agent reported is still
      // current up to the highest offset of the entry.
      const isSame = view !== null && view.offset === sentOffset;
      if (view && isSame && sentOffset >= 0) {
        const offset = Math.max(sentOffset, answer.highest);
        view = {...view, offset};
      }
      return;
    }
    highestFencing = Math.max(highestFencing, receivedView.fencing);
    highestOffset = Math.max(highestOffset, receivedView.offset);
    if (view && receivedView.offset < view.offset) {
      metrics.count('vc_agent_older_views_total');
      return;
    }
    view = receivedView;
    poller.membersHash = answer.membersHash;
    for (const listener of listeners) listener(receivedView);
  };

  const createPullRequest = (
    poller: Poller,
    report: PullReport,
  ): ControlPullRequest => ({
    instance: {...options.instance, state: isLeaving ? 'leaving' : 'live'},
    epoch: context.epoch,
    offset: view?.offset ?? -1,
    highest: highestOffset,
    membersHash: poller.membersHash,
    wantedVersion: options.getWantedVersion?.(),
    ...report,
  });

  /** Polls once; returns whether the entry answered. */
  const poll = async (poller: Poller): Promise<boolean> => {
    const report = options.getReport(poller.entry);
    const request = createPullRequest(poller, report);
    const answer = await callPeer(
      poller.entry.peerAddress,
      'control.pull',
      request,
      POLL_TIMEOUT_MS,
      poller.interrupt.signal,
    );
    if (!answer.ok) return false;
    if (!applyAnswer(poller, request.offset, answer.value)) return false;
    options.onReportDelivered(report, poller.entry);
    return true;
  };

  const handleFailure = () => {
    const hasAnswers = [...pollers.values()].some(other => !other.isFailing);
    if (!hasAnswers) options.onEntriesUnreachable?.();
  };

  const runPoller = async (poller: Poller) => {
    let backoffMs = MIN_BACKOFF_MS;
    while (!poller.stopped.signal.aborted) {
      poller.interrupt = new AbortController();
      const {interrupt} = poller;
      const isAnswered = await poll(poller);
      if (poller.stopped.signal.aborted) return;
      if (interrupt.signal.aborted) continue;
      for (const callback of poller.onPolled) callback();
      poller.isFailing = !isAnswered;
      if (!isAnswered) {
        metrics.count('vc_agent_poll_failures_total');
        handleFailure();
      }
      const pauseMs = isLeaving
        ? LEAVING_POLL_INTERVAL_MS
        : MIN_POLL_INTERVAL_MS;
      await clock.waitUntil(
        getDeadline(clock.now(), isAnswered ? pauseMs : backoffMs),
        interrupt.signal,
      );
      backoffMs = isAnswered
        ? MIN_BACKOFF_MS
        : Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  };

  const stopPoller = (poller: Poller) => {
    poller.stopped.abort();
    poller.interrupt.abort();
  };

  const addPoller = (entry: Instance) => {
    const poller: Poller = {
      entry,
      stopped: new AbortController(),
      interrupt: new AbortController(),
      onPolled: new Set(),
      isFailing: false,
      membersHash: undefined,
      loop: Promise.resolve(),
    };
    pollers.set(entry.id, poller);
    poller.loop = runPoller(poller);
  };

  const updatePollers = () => {
    const {id, domain} = options.instance;
    const chosen = getEntriesOfAgent(id, domain, options.getEntries());
    const wanted = new Map(chosen.map(entry => [entry.id, entry]));
    for (const [entryId, poller] of pollers) {
      const entry = wanted.get(entryId);
      if (entry?.peerAddress === poller.entry.peerAddress) continue;
      // Keeps the current pollers while no entry is known.
      if (wanted.size === 0) continue;
      stopPoller(poller);
      pollers.delete(entryId);
    }
    for (const entry of chosen) {
      if (!pollers.has(entry.id)) addPoller(entry);
    }
  };

  const run = async () => {
    while (!stopped.signal.aborted) {
      updatePollers();
      if (pollers.size === 0) options.onEntriesUnreachable?.();
      await clock.waitUntil(
        getDeadline(clock.now(), POLLER_UPDATE_INTERVAL_MS),
        stopped.signal,
      );
    }
  };

  const pollNow = () => {
    for (const poller of pollers.values()) poller.interrupt.abort();
  };

  return {
    name: 'agent link',
    start: () => {
      loop = run();
    },
    stop: async () => {
      stopped.abort();
      pollers.forEach(stopPoller);
      await loop;
      await Promise.all([...pollers.values()].map(poller => poller.loop));
    },
    getView: () => view,
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    getHighestFencing: () => highestFencing,
    getHighestOffset: () => highestOffset,
    getEntries: () => [...pollers.values()].map(poller => poller.entry),
    getLastContact: () => lastContact,
    pollNow,
    announceLeaving: async () => {
      isLeaving = true;
      logger.info('agent is leaving');
      const polled = [...pollers.values()].map(
        poller =>
          new Promise<void>(resolve => poller.onPolled.add(() => resolve())),
      );
      pollNow();
      const expired = new AbortController();
      await Promise.race([
        Promise.all(polled),
        clock.waitUntil(
          getDeadline(clock.now(), LEAVING_TIMEOUT_MS),
          expired.signal,
        ),
      ]);
      expired.abort();
    },
    rpcMethods: {
      'member.ping': defineMethod(z.unknown(), () => ({
        instance: {
          ...options.instance,
          state: isLeaving ? 'leaving' : 'live',
        },
        epoch: context.epoch,
        highest: highestOffset,
      })),
    },
  };
}
