import type {MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {Instance} from '@vanillacross/domain';
import {getEntriesOfAgent} from '@vanillacross/domain';
import PQueue from 'p-queue';

import type {EntryMembership} from './membership.js';
import type {LaggingAgent, OffsetStatus} from './offsetStatus.js';
import {
  MAX_LISTED_LAGGING_AGENTS,
  MAX_STATUS_WAIT_MS,
  hasReachedOffset,
  offsetStatusSchema,
} from './offsetStatus.js';
import type {CallPeer} from './peerCalls.js';
import type {Context} from './types.js';

/** The hold of a question and the time for the exchange, ms. */
const STATUS_TIMEOUT_MS = MAX_STATUS_WAIT_MS + 1_500;
/** Entries that are asked at the same time; held ones cost little. */
const STATUS_CONCURRENCY = 512;
/**
 * Time for which an entry that had an offset is not asked again; its process
 * may have been replaced at the same address later, ms.
 */
const KNOWN_MS = 30_000;

/** Answer to `GET in-force`. */
export interface InForceStatus {
  offset: number;
  isInForce: boolean;
  entries: {
    total: number;
    behind: Array<{id: string; offset: number | null}>;
  };
  agents: {
    total: number;
    behindCount: number;
    /** The first of them by name. */
    behind: LaggingAgent[];
  };
}

/** Highest offset that an entry and its agents are known to have. */
interface KnownEntry {
  status: OffsetStatus;
  offset: number;
  until: MonotonicMs;
}

interface Answer {
  id: string;
  status: OffsetStatus | null;
}

/** Creates the question how far an offset is in force. */
export function createInForceQuery(
  context: Context,
  membership: EntryMembership,
  callPeer: CallPeer,
): (offset: number) => Promise<InForceStatus> {
  const {clock, metrics} = context;
  const queue = new PQueue({concurrency: STATUS_CONCURRENCY});
  /** By address and the entries that did not answer. */
  const known = new Map<string, KnownEntry>();
  /** Calls that run; several operators share them. */
  const running = new Map<string, Promise<OffsetStatus | null>>();
  let silent: string[] = [];

  async function call(
    peer: Instance,
    offset: number,
    without: readonly string[],
    key: string,
  ): Promise<OffsetStatus | null> {
    metrics.count('vc_status_questions_total');
    const answer = await callPeer(
      peer.peerAddress,
      'control.status',
      {offset, waitMs: MAX_STATUS_WAIT_MS, without},
      STATUS_TIMEOUT_MS,
    );
    const parsed = offsetStatusSchema.safeParse(
      answer.ok ? answer.value : null,
    );
    if (!parsed.success) return null;
    const status = parsed.data;
    if (hasReachedOffset(status, offset)) {
      // Offsets only grow, so the entry keeps what it has.
      const until = getDeadline(clock.now(), KNOWN_MS);
      known.set(key, {status, offset, until});
    }
    return status;
  }

  async function ask(
    peer: Instance,
    offset: number,
    without: readonly string[],
  ): Promise<Answer> {
    const key = [peer.peerAddress, peer.id, ...without].join();
    const had = known.get(key);
    if (had && had.offset >= offset && clock.now() < had.until) {
      return {id: peer.id, status: had.status};
    }
    const callKey = `${offset} ${key}`;
    const shared =
      running.get(callKey) ??
      queue
        .add(() => call(peer, offset, without, key))
        .then(status => status ?? null)
        .finally(() => running.delete(callKey));
    running.set(callKey, shared);
    return {id: peer.id, status: await shared};
  }

  async function askAll(offset: number, without: readonly string[]) {
    const own = membership.getOffsetStatus({
      offset,
      waitMs: MAX_STATUS_WAIT_MS,
      without: [...without],
      unheard: [],
    });
    const answers = await Promise.all(
      membership.getPeers().map(peer => ask(peer, offset, without)),
    );
    const status = await own;
    return [{id: status.id, status}, ...answers];
  }

  function getSilent(answers: readonly Answer[]): string[] {
    return answers
      .filter(answer => answer.status === null)
      .map(answer => answer.id)
      .sort();
  }

  /**
   * An agent may have lost contact to the entry that speaks for it only, so
   * its other entries are asked.
   */
  async function findReached(
    offset: number,
    unheard: readonly string[],
  ): Promise<Set<string>> {
    const agents = new Map(
      membership.getAgents().map(({instance}) => [instance.id, instance]),
    );
    const entries = [context.self, ...membership.getPeers()];
    const questions = new Map<Instance, string[]>();
    for (const id of unheard) {
      const domain = agents.get(id)?.domain ?? '';
      for (const entry of getEntriesOfAgent(id, domain, entries)) {
        questions.set(entry, [...(questions.get(entry) ?? []), id]);
      }
    }
    const answers = await Promise.all(
      [...questions].map(async ([entry, ids]) => {
        const question = {offset, waitMs: 0, without: [], unheard: ids};
        if (entry === context.self) {
          return (await membership.getOffsetStatus(question)).reached;
        }
        const answer = await callPeer(
          entry.peerAddress,
          'control.status',
          question,
          STATUS_TIMEOUT_MS,
        );
        const parsed = offsetStatusSchema.safeParse(
          answer.ok ? answer.value : null,
        );
        return parsed.data?.reached ?? [];
      }),
    );
    return new Set(answers.flat());
  }

  function prune(): void {
    for (const [key, {until}] of known) {
      if (until <= clock.now()) known.delete(key);
    }
  }

  return async offset => {
    prune();
    const before = silent;
    let answers: Answer[] = await askAll(offset, before);
    silent = getSilent(answers);
    if (silent.join() !== before.join()) {
      // Others speak for the agents of entries that do not answer.
      answers = await askAll(offset, silent);
    }
    const statuses = answers.flatMap(({status}) => status ?? []);
    const behindEntries = answers
      .map(({id, status}) => ({
        id: status?.id ?? id,
        offset: status?.isComplete ? status.highest : null,
      }))
      .filter(entry => entry.offset === null || entry.offset < offset);
    const sum = statuses.reduce((total, {agents}) => total + agents, 0);
    const expected = membership
      .getAgents()
      .filter(agent => !agent.isLeaving).length;
    // Agents for which no entry spoke, as the entries' lists differ.
    const unaccounted = Math.max(0, expected - sum);
    const named = statuses.flatMap(({behind}) => behind);
    const reached = await findReached(
      offset,
      named
        .filter(agent => agent.offset === null)
        .slice(0, MAX_LISTED_LAGGING_AGENTS)
        .map(({id}) => id),
    );
    const behindCount = statuses.reduce(
      (total, {agentsBehind}) => total + agentsBehind,
      unaccounted - reached.size,
    );
    return {
      offset,
      isInForce: behindEntries.length === 0 && behindCount === 0,
      entries: {total: answers.length, behind: behindEntries},
      agents: {
        total: Math.max(sum, expected),
        behindCount,
        behind: named
          .filter(({id}) => !reached.has(id))
          .sort((a, b) => (a.id < b.id ? -1 : 1))
          .slice(0, MAX_LISTED_LAGGING_AGENTS),
      },
    };
  };
}
