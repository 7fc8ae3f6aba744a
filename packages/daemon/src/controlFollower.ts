import type {MonotonicMs, Result} from '@vanillacross/common';
import {defineMethod, fail, getDeadline, ok} from '@vanillacross/common';
import type {
  AppendOutcome,
  ControlPayload,
  ControlState,
  Instance,
  LogRecord,
} from '@vanillacross/domain';
import {
  applyControlRecords,
  emptyControlState,
  rebuildControlState,
  restoreControlState,
  serializeControlState,
} from '@vanillacross/domain';
import type {LogClient, LogPort, StreamRange} from '@vanillacross/platform';
import {createLogClient} from '@vanillacross/platform';
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {z} from 'zod';

import type {CallPeer} from './peerCalls.js';
import {createCallPeer} from './peerCalls.js';
import type {AppendFailure, Context, ControlFollower} from './types.js';

export interface ControlFollowerOptions {
  /** Entries that may have a snapshot. */
  getPeers?: () => readonly Instance[];
  /** Shared with other writers of this process, so that one budget counts. */
  logClient?: LogClient;
  callPeer?: CallPeer;
}

/** How the state is completed at start and after a gap. */
type Rebuild =
  /** Reads the log from `start` until the records prove completeness. */
  | {tag: 'log'; start: number; records: LogRecord[]}
  /** Reads on from a snapshot that is older than what is known to exist. */
  | {tag: 'snapshot'; state: ControlState};

const CONTROL_STREAM = 'control';
/** Below the bound of `hasAuthority`, so that a quiet log counts as heard. */
const LONG_POLL_MS = 2_000;
const SNAPSHOT_TIMEOUT_MS = 3_000;
const PEER_INTERVAL_MS = 1_000;
/** Peers that are asked for a snapshot at the same time. */
const PEERS_ASKED = 3;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
/** Without an answer for this long, newer state is fetched from peers. */
const LOG_SILENCE_MS = 5_000;
/** How long an append that the log took may wait to be read, ms. */
const OUTCOME_WAIT_MS = 5_000;
/** Records of one answer that are published one by one. */
const MAX_SINGLE_CHANGES = 64;
/** Append outcomes in a snapshot; later duplicates must be recognized. */
const SNAPSHOT_OUTCOMES = 512;

const outcomeSchema = z.discriminatedUnion('tag', [
  z.object({
    tag: z.literal('accepted'),
    offset: z.number().int(),
    revision: z.number().int().optional(),
  }),
  z.object({
    tag: z.literal('conflict'),
    winner: z.string(),
    revision: z.number().int(),
    offset: z.number().int(),
  }),
  z.object({tag: z.literal('invalid'), detail: z.string()}),
]);
const snapshotOutcomesSchema = z.object({
  outcomes: z.array(z.tuple([z.string(), outcomeSchema])),
});

function createSnapshot(state: ControlState): unknown {
  const outcomes = [...state.outcomes].slice(-SNAPSHOT_OUTCOMES);
  return {...(serializeControlState(state) as object), outcomes};
}

function readSnapshot(data: unknown): ControlState | null {
  const state = restoreControlState(data);
  const parsed = snapshotOutcomesSchema.safeParse(data);
  if (!state || !parsed.success) return null;
  return {...state, outcomes: new Map(parsed.data.outcomes)};
}

/** Keeps what only this process has: outcomes and last understood bodies. */
function mergeOwnState(own: ControlState, next: ControlState): ControlState {
  const records = new Map(next.records);
  for (const [key, record] of records) {
    const known = own.records.get(key);
    if (record.isUnderstood || record.body !== null || !known) continue;
    records.set(key, {...record, body: known.body});
  }
  const outcomes = new Map([...own.outcomes, ...next.outcomes]);
  return {...next, records, outcomes};
}

/** Creates the follower of the control stream. */
export function createControlFollower(
  context: Context,
  logPort: LogPort,
  options: ControlFollowerOptions = {},
): ControlFollower {
  const {clock, metrics} = context;
  const logger = context.logger.child('control');
  const client = options.logClient ?? createLogClient(logPort, clock);
  const callPeer = options.callPeer ?? createCallPeer(context.clusterSecret);
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const listeners = new Set<
    (state: ControlState, previous: ControlState) => void
  >();

  let published: ControlState = emptyControlState;
  let rebuild: Rebuild | null = {tag: 'log', start: 0, records: []};
  let heard = -1;
  let logContact: MonotonicMs | null = null;
  let isLogUp = true;
  let peerTurn = 0;
  /** The first reads of a rebuild do not wait for new records. */
  let hasCaughtUp = false;
  let loops: Array<Promise<void>> = [];

  metrics.gauge('vc_control_highest', () => published.highest);
  metrics.gauge('vc_control_whole', () => Number(published.isComplete));
  metrics.gauge(
    'vc_control_newer_schema_records',
    () => published.newerSchemas,
  );

  const waitFor = (spanMs: number) =>
    clock.waitUntil(getDeadline(clock.now(), spanMs), stopped.signal);

  const noteNewerSchemas = (previous: ControlState, next: ControlState) => {
    if (next.newerSchemas === 0) return;
    for (const [key, record] of next.records) {
      if (record.isUnderstood) continue;
      if (previous.records.get(key)?.revision === record.revision) continue;
      metrics.count('vc_control_newer_schema_total', {
        kind: key.split('/')[0],
      });
      logger.warn('a record has a newer schema than this process knows', {
        record: key,
        schemaVersion: record.schemaVersion,
      });
    }
  };

  const publish = (next: ControlState) => {
    if (next === published) return;
    if (next.highest < published.highest) {
      metrics.count('vc_control_older_state_total');
      return;
    }
    const previous = published;
    published = next;
    noteNewerSchemas(previous, next);
    for (const listener of listeners) {
      try {
        listener(next, previous);
      } catch (error) {
        // A fault of one listener must not keep others from the change.
        metrics.count('vc_control_listener_errors_total');
        logger.error('a listener failed', {detail: String(error)});
      }
    }
  };

  /** Publishes a complete state unless a newer one is known to exist. */
  const adopt = (state: ControlState): boolean => {
    if (!state.isComplete) return false;
    if (state.highest < Math.max(heard, published.highest)) return false;
    rebuild = null;
    publish(mergeOwnState(published, state));
    logger.info('the control state is complete', {highest: state.highest});
    return true;
  };

  const getPosition = (): number => {
    if (rebuild === null) return published.highest + 1;
    if (rebuild.tag === 'snapshot') return rebuild.state.highest + 1;
    return (rebuild.records.at(-1)?.offset ?? rebuild.start - 1) + 1;
  };

  /** Publishes each change of a short batch, so that no revision is missed. */
  const applyTail = (records: readonly LogRecord[]) => {
    if (records.length > MAX_SINGLE_CHANGES) {
      publish(applyControlRecords(published, records));
      return;
    }
    for (const record of records) {
      publish(applyControlRecords(published, [record]));
    }
  };

  const applyRange = (range: StreamRange) => {
    client.advanceNextOffset(CONTROL_STREAM, range.next);
    // The log lost records that were read before; state never goes back.
    if (range.next < getPosition()) {
      metrics.count('vc_control_log_behind_total');
    }
    const last = range.records.at(-1)?.offset ?? getPosition() - 1;
    hasCaughtUp = last + 1 >= range.next;
    if (rebuild === null) {
      applyTail(range.records);
      return;
    }
    if (rebuild.tag === 'snapshot') {
      const state = applyControlRecords(rebuild.state, range.records);
      rebuild = {tag: 'snapshot', state};
      adopt(state);
      return;
    }
    rebuild.records.push(...range.records);
    if (getPosition() < range.next) return;
    const state = rebuildControlState(rebuild.start, rebuild.records);
    if (state) adopt(state);
  };

  /** Fetches snapshots; uses the newest that brings the state forward. */
  const fetchSnapshot = async () => {
    const peers = options.getPeers?.() ?? [];
    if (peers.length === 0) return;
    const asked = Array.from(
      {length: Math.min(PEERS_ASKED, peers.length)},
      (_, index) => peers[(peerTurn + index) % peers.length],
    );
    peerTurn += asked.length;
    const answers = await Promise.all(
      asked.map(peer =>
        callPeer(
          peer.peerAddress,
          'control.snapshot',
          {},
          SNAPSHOT_TIMEOUT_MS,
          stopped.signal,
        ),
      ),
    );
    const snapshots = answers.flatMap(answer => {
      const state = answer.ok ? readSnapshot(answer.value) : null;
      return state?.isComplete ? [state] : [];
    });
    const best = snapshots.sort((a, b) => b.highest - a.highest).at(0);
    if (!best) return;
    heard = Math.max(heard, best.highest);
    if (rebuild === null) {
      if (best.highest > published.highest) {
        publish(mergeOwnState(published, best));
      }
      return;
    }
    if (adopt(best)) {
      metrics.count('vc_control_snapshots_total');
      return;
    }
    const isUsable =
      rebuild.tag === 'log'
        ? best.highest + 1 >= rebuild.start
        : best.highest > rebuild.state.highest;
    if (isUsable) rebuild = {tag: 'snapshot', state: best};
  };

  const startOver = (earliest: number) => {
    if (published.highest >= 0 || rebuild?.tag === 'snapshot') {
      metrics.count('vc_control_gaps_total');
      logger.warn('records were removed before they were read', {earliest});
    }
    rebuild = {tag: 'log', start: earliest, records: []};
    hasCaughtUp = false;
    if (published.isComplete) publish({...published, isComplete: false});
  };

  const noteLog = (isUp: boolean, detail = '') => {
    if (isUp) logContact = clock.now();
    if (isUp === isLogUp) return;
    isLogUp = isUp;
    if (isUp) {
      logger.info('the log answers again');
    } else {
      metrics.count('vc_control_log_outages_total');
      logger.warn('the log does not answer', {detail});
    }
  };

  const followLog = async () => {
    let backoffMs = MIN_BACKOFF_MS;
    while (!stopped.signal.aborted) {
      const position = getPosition();
      const askedAt = clock.now();
      const waitMs = rebuild !== null && !hasCaughtUp ? 0 : LONG_POLL_MS;
      const range = await logPort.read(
        CONTROL_STREAM,
        position,
        waitMs,
        stopped.signal,
      );
      if (stopped.signal.aborted) return;
      if (!range.ok && range.error.tag !== 'gap') {
        const {error} = range;
        noteLog(false, 'detail' in error ? error.detail : error.tag);
        await waitFor(backoffMs);
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
        continue;
      }
      backoffMs = MIN_BACKOFF_MS;
      noteLog(true);
      // A snapshot may have moved the position while the read was running.
      if (position !== getPosition()) continue;
      if (!range.ok) {
        startOver((range.error as {earliest: number}).earliest);
        await fetchSnapshot();
        continue;
      }
      applyRange(range.value);
      // A log that does not hold the poll must not cause a busy loop.
      const isEmpty = range.value.records.length === 0;
      const wasHeld = clock.now() - askedAt >= MIN_BACKOFF_MS;
      const mayAskAgain = waitMs === 0 && hasCaughtUp;
      if (isEmpty && !wasHeld && !mayAskAgain) await waitFor(MIN_BACKOFF_MS);
    }
  };

  const followPeers = async () => {
    while (!stopped.signal.aborted) {
      const silenceMs = clock.now() - (logContact ?? -Infinity);
      const isBehind = heard > published.highest && silenceMs > LOG_SILENCE_MS;
      if (rebuild !== null || isBehind) await fetchSnapshot();
      await waitFor(PEER_INTERVAL_MS);
    }
  };

  /** The outcome of an own append if the state shows it. */
  const findOutcome = (
    appendId: string,
    payload: ControlPayload,
    offset: number | null,
  ): AppendOutcome | null => {
    const outcome = published.outcomes.get(appendId);
    if (outcome) return outcome;
    if (offset === null || payload.type !== 'put') return null;
    // A snapshot that passed over the append still shows an accepted put.
    const record = published.records.get(payload.key);
    if (record?.offset !== offset) return null;
    return {tag: 'accepted', offset, revision: record.revision};
  };

  const waitForOutcome = async (
    appendId: string,
    payload: ControlPayload,
    offset: number | null,
    signal: AbortSignal,
  ): Promise<AppendOutcome | null> => {
    while (!signal.aborted) {
      const outcome = findOutcome(appendId, payload, offset);
      if (outcome) return outcome;
      await new Promise<void>(resolve => {
        const done = () => {
          listeners.delete(done);
          signal.removeEventListener('abort', done);
          resolve();
        };
        listeners.add(done);
        signal.addEventListener('abort', done, {once: true});
      });
    }
    return findOutcome(appendId, payload, offset);
  };

  const append = async (
    payload: ControlPayload,
  ): Promise<Result<AppendOutcome, AppendFailure>> => {
    if (!published.isComplete) {
      const detail = 'the control state is not complete yet';
      return fail({tag: 'log_unavailable', detail});
    }
    const appendId = randomUUID();
    const seen = new AbortController();
    // The tail may show the record before the append itself is answered.
    const tailed = waitForOutcome(appendId, payload, null, seen.signal);
    const answer = await Promise.race([
      client.append(CONTROL_STREAM, [{appendId, payload}]),
      tailed,
    ]);
    seen.abort();
    if (answer === null || 'tag' in answer) {
      return answer
        ? ok(answer)
        : fail({tag: 'append_unknown', detail: 'stopped', appendId});
    }
    if (!answer.ok && answer.error.tag !== 'unknown') {
      const {error} = answer;
      const detail = 'detail' in error ? error.detail : error.tag;
      if (error.tag === 'rejected') return ok({tag: 'invalid', detail});
      return fail({tag: 'log_unavailable', detail});
    }
    const offset = answer.ok ? answer.value[0] : null;
    const expired = new AbortController();
    const deadline = getDeadline(clock.now(), OUTCOME_WAIT_MS);
    void clock.waitUntil(deadline, expired.signal).then(() => expired.abort());
    const outcome = await waitForOutcome(
      appendId,
      payload,
      offset,
      expired.signal,
    );
    expired.abort();
    if (outcome) return ok(outcome);
    const detail = answer.ok
      ? 'the log took the record, but it was not read back'
      : 'the answer of the log was lost';
    return fail({tag: 'append_unknown', detail, appendId});
  };

  return {
    name: 'control follower',
    start: () => {
      loops = [followLog(), followPeers()];
    },
    stop: async () => {
      stopped.abort();
      await Promise.all(loops);
    },
    getState: () => published,
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    append,
    getLastLogContact: () => logContact,
    recordHighestOffset: offset => {
      heard = Math.max(heard, offset);
    },
    rpcMethods: {
      'control.snapshot': defineMethod(z.unknown(), () =>
        createSnapshot(published),
      ),
    },
  };
}
