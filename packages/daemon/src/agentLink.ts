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

/** What an agent hands to an entry with a poll. */
export interface PullReport {
  load: Load;
  cells: UsageCell[];
  crashes: CrashReport[];
}

export interface AgentLinkOptions<Report extends PullReport = PullReport> {
  /** Entries that are known and not leaving. */
  getEntries: () => readonly Instance[];
  /** The report for one entry; called once per poll. */
  getReport: (entry: Instance) => Report;
  /** Called when an entry has answered the poll that carried a report. */
  onReportDelivered: (report: Report, entry: Instance) => void;
  /** Called while no known entry answers. */
  onEntriesUnreachable?: () => void;
  instance: AgentInstance;
  /** Weight version that the agent waits to be told a source of. */
  getWantedVersion?: () => number | undefined;
  /** Called when an entry tells where weights may be fetched from. */
  onWeightSources?: (sources: WeightSources) => void;
  callPeer?: CallPeer;
}

/** The agent's connection to its entries. */
export interface AgentLink extends Component {
  /** The newest view; null before the first. */
  getView(): AgentView | null;
  /** Calls back after each new view; returns a function that unsubscribes. */
  subscribe(listener: (view: AgentView) => void): () => void;
  /** Highest fencing number heard from any entry, -1 if none. */
  getHighestFencing(): number;
  /** Highest control offset heard from any entry, -1 if none. */
  getHighestOffset(): number;
  /** Entries that this agent polls now. */
  getEntries(): readonly Instance[];
  /** Time of the last answer of any entry; null before the first. */
  getLastContact(): MonotonicMs | null;
  /** Polls all entries at once, for example to hand over a crash report. */
  pollNow(): void;
  /** Tells all entries that this agent leaves; ends when they know or fail. */
  announceLeaving(): Promise<void>;
  /** Methods for the peer listener: `member.ping`. */
  rpcMethods: RpcMethods;
}

/** One entry that is being polled. */
interface Poller {
  entry: Instance;
  stopped: AbortController;
  /** Ends the running poll so that the next one starts at once. */
  interrupt: AbortController;
  /** Called after each poll, answered or not. */
  onPolled: Set<() => void>;
  /** True from a failed poll to the next answered one. */
  isFailing: boolean;
  /** Tells the entry which members it sent last. */
  membersHash: string | undefined;
  loop: Promise<void>;
}

/** Entries hold a poll for up to 10 s; the rest covers the network. */
const PULL_TIMEOUT_MS = 15_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/** Bounds the polls of an entry that does not hold them. */
const MIN_INTERVAL_MS = 50;
const LEAVING_INTERVAL_MS = 1_000;
const CHOICE_INTERVAL_MS = 500;
/** Longest time that leaving waits for the entries, ms. */
const LEAVING_WAIT_MS = 2_000;

/** Creates the agent's side of configuration distribution. */
export function createAgentLink<Report extends PullReport>(
  context: Context,
  options: AgentLinkOptions<Report>,
): AgentLink {
  const {clock, metrics} = context;
  const logger = context.logger.part('agent link');
  const callPeer = options.callPeer ?? createCallPeer(context.clusterSecret);
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const pollers = new Map<string, Poller>();
  const listeners = new Set<(view: AgentView) => void>();
  let view: AgentView | null = null;
  let highest = -1;
  let highestFencing = -1;
  let contact: MonotonicMs | null = null;
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
    contact = clock.now();
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
    highest = Math.max(highest, answer.highest);
    const offered = answer.view;
    if (!offered) {
      // The entry confirms the sent view up to its own offset.
      const isSame = view !== null && view.offset === sentOffset;
      if (view && isSame && sentOffset >= 0) {
        const offset = Math.max(sentOffset, answer.highest);
        view = {...view, offset};
      }
      return;
    }
    highestFencing = Math.max(highestFencing, offered.fencing);
    highest = Math.max(highest, offered.offset);
    if (view && offered.offset < view.offset) {
      metrics.count('vc_agent_older_views_total');
      return;
    }
    view = offered;
    poller.membersHash = answer.membersHash;
    for (const listener of listeners) listener(offered);
  };

  const createPull = (
    poller: Poller,
    report: PullReport,
  ): ControlPullRequest => ({
    instance: {...options.instance, state: isLeaving ? 'leaving' : 'live'},
    epoch: context.epoch,
    offset: view?.offset ?? -1,
    highest,
    membersHash: poller.membersHash,
    wantedVersion: options.getWantedVersion?.(),
    ...report,
  });

  /** One poll; returns whether the entry answered. */
  const poll = async (poller: Poller): Promise<boolean> => {
    const report = options.getReport(poller.entry);
    const pull = createPull(poller, report);
    const answer = await callPeer(
      poller.entry.peerAddress,
      'control.pull',
      pull,
      PULL_TIMEOUT_MS,
      poller.interrupt.signal,
    );
    if (!answer.ok) return false;
    if (!applyAnswer(poller, pull.offset, answer.value)) return false;
    options.onReportDelivered(report, poller.entry);
    return true;
  };

  const noteFailure = () => {
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
        noteFailure();
      }
      const pauseMs = isLeaving ? LEAVING_INTERVAL_MS : MIN_INTERVAL_MS;
      await clock.waitUntil(
        getDeadline(clock.now(), isAnswered ? pauseMs : backoffMs),
        interrupt.signal,
      );
      backoffMs = isAnswered
        ? MIN_BACKOFF_MS
        : Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  };

  const endPoller = (poller: Poller) => {
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

  const chooseEntries = () => {
    const {id, domain} = options.instance;
    const chosen = getEntriesOfAgent(id, domain, options.getEntries());
    const wanted = new Map(chosen.map(entry => [entry.id, entry]));
    for (const [entryId, poller] of pollers) {
      const entry = wanted.get(entryId);
      if (entry?.peerAddress === poller.entry.peerAddress) continue;
      // Without any known entry the last ones are the best guess.
      if (wanted.size === 0) continue;
      endPoller(poller);
      pollers.delete(entryId);
    }
    for (const entry of chosen) {
      if (!pollers.has(entry.id)) addPoller(entry);
    }
  };

  const run = async () => {
    while (!stopped.signal.aborted) {
      chooseEntries();
      if (pollers.size === 0) options.onEntriesUnreachable?.();
      await clock.waitUntil(
        getDeadline(clock.now(), CHOICE_INTERVAL_MS),
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
      pollers.forEach(endPoller);
      await loop;
      await Promise.all([...pollers.values()].map(poller => poller.loop));
    },
    getView: () => view,
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    getHighestFencing: () => highestFencing,
    getHighestOffset: () => highest,
    getEntries: () => [...pollers.values()].map(poller => poller.entry),
    getLastContact: () => contact,
    pollNow,
    announceLeaving: async () => {
      isLeaving = true;
      logger.info('this agent leaves');
      const told = [...pollers.values()].map(
        poller =>
          new Promise<void>(resolve => poller.onPolled.add(() => resolve())),
      );
      pollNow();
      const expired = new AbortController();
      await Promise.race([
        Promise.all(told),
        clock.waitUntil(
          getDeadline(clock.now(), LEAVING_WAIT_MS),
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
        highest,
      })),
    },
  };
}
