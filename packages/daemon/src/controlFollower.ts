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
  /** Entries from which a snapshot may be fetched. */
  getPeers?: () => readonly Instance[];
  /**
   * Shared by all writers of this process, so that one rate limit covers them.
   */
  logClient?: LogClient;
  callPeer?: CallPeer;
}

/** How a complete state is rebuilt at start and after a gap in the log. */
type Rebuild =
  /** Reads the log from `start` until the records show a complete state. */
  | {tag: 'log'; start: number; records: LogRecord[]}
  /**
   * Starts from a snapshot and reads the log up to the highest known offset.
   */
  | {tag: 'snapshot'; state: ControlState};

const CONTROL_STREAM = 'control';
/**
 * Long-poll wait, ms. Shorter than the log timeout of `hasAuthority`, so that
 * a log without new records still counts as reachable.
 */
const LONG_POLL_MS = 2_000;
const SNAPSHOT_TIMEOUT_MS = 3_000;
const PEER_INTERVAL_MS = 1_000;
/** Maximum number of peers queried for a snapshot at the same time. */
const MAX_SNAPSHOT_PEERS = 3;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
/**
 * Time without a response from the log after which newer state is fetched from
 * peers, ms.
 */
const LOG_UNREACHABLE_MS = 5_000;
/** Longest wait until the outcome of an append is read back, ms. */
const APPEND_OUTCOME_TIMEOUT_MS = 5_000;
/** Largest batch for which the state is published after each record. */
const MAX_INDIVIDUAL_UPDATES = 64;
/**
 * Maximum number of append outcomes in a snapshot. The outcomes are needed to
 * detect duplicate appends.
 */
const MAX_SNAPSHOT_OUTCOMES = 512;

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
  const outcomes = [...state.outcomes].slice(-MAX_SNAPSHOT_OUTCOMES);
  return {...(serializeControlState(state) as object), outcomes};
}

function readSnapshot(data: unknown): ControlState | null {
  const state = restoreControlState(data);
  const parsed = snapshotOutcomesSchema.safeParse(data);
  if (!state || !parsed.success) return null;
  return {...state, outcomes: new Map(parsed.data.outcomes)};
}

/**
 * Adds to a received state what only this process has: append outcomes, and
 * the last body of records whose newer schema it cannot read.
 */
function mergeLocalState(own: ControlState, next: ControlState): ControlState {
  const records = new Map(next.records);
  for (const [key, record] of records) {
    const known = own.records.get(key);
    if (record.isUnderstood || record.body !== null || !known) continue;
    records.set(key, {...record, body: known.body});
  }
  const outcomes = new Map([...own.outcomes, ...next.outcomes]);
  return {...next, records, outcomes};
}

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
  let highestKnown = -1;
  let logContact: MonotonicMs | null = null;
  let isLogUp = true;
  let nextPeerIndex = 0;
  /**
   * Whether the last read reached the end of the log. If not, reads during a
   * rebuild do not long-poll.
   */
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

  const reportNewerSchemas = (previous: ControlState, next: ControlState) => {
    if (next.newerSchemas === 0) return;
    for (const [key, record] of next.records) {
      if (record.isUnderstood) continue;
      if (previous.records.get(key)?.revision === record.revision) continue;
      metrics.count('vc_control_newer_schema_total', {
        kind: key.split('/')[0],
      });
      logger.warn(
        'record has a schema version newer than this process supports',
        {
          record: key,
          schemaVersion: record.schemaVersion,
        },
      );
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
    reportNewerSchemas(previous, next);
    for (const listener of listeners) {
      try {
        listener(next, previous);
      } catch (error) {
        // An error in one listener must not affect the others.
        metrics.count('vc_control_listener_errors_total');
        logger.error('control state listener failed', {detail: String(error)});
      }
    }
  };

  /**
   * Publishes a complete state and ends the rebuild, unless a newer state is
   * known to exist.
   */
  const adoptState = (state: ControlState): boolean => {
    if (!state.isComplete) return false;
    if (state.highest < Math.max(highestKnown, published.highest)) return false;
    rebuild = null;
    publish(mergeLocalState(published, state));
    logger.info('control state is complete', {highest: state.highest});
    return true;
  };

  const getPosition = (): number => {
    if (rebuild === null) return published.highest + 1;
    if (rebuild.tag === 'snapshot') return rebuild.state.highest + 1;
    return (rebuild.records.at(-1)?.offset ?? rebuild.start - 1) + 1;
  };

  /**
   * Publishes the records of a short batch one by one, so that listeners see
   * every revision.
   */
  const publishRecords = (records: readonly LogRecord[]) => {
    if (records.length > MAX_INDIVIDUAL_UPDATES) {
      publish(applyControlRecords(published, records));
      return;
    }
    for (const record of records) {
      publish(applyControlRecords(published, [record]));
    }
  };

  const applyRange = (range: StreamRange) => {
    client.advanceNextOffset(CONTROL_STREAM, range.next);
    // If the log has lost records that were already read, the state is kept.
    if (range.next < getPosition()) {
      metrics.count('vc_control_log_behind_total');
    }
    const last = range.records.at(-1)?.offset ?? getPosition() - 1;
    hasCaughtUp = last + 1 >= range.next;
    if (rebuild === null) {
      publishRecords(range.records);
      return;
    }
    if (rebuild.tag === 'snapshot') {
      const state = applyControlRecords(rebuild.state, range.records);
      rebuild = {tag: 'snapshot', state};
      adoptState(state);
      return;
    }
    rebuild.records.push(...range.records);
    if (getPosition() < range.next) return;
    const state = rebuildControlState(rebuild.start, rebuild.records);
    if (state) adoptState(state);
  };

  /**
   * Fetches snapshots from several peers. Uses the newest one if it is newer
   * than the state or if a rebuild can continue from it.
   */
  const fetchSnapshot = async () => {
    const peers = options.getPeers?.() ?? [];
    if (peers.length === 0) return;
    const selectedPeers = Array.from(
      {length: Math.min(MAX_SNAPSHOT_PEERS, peers.length)},
      (_, index) => peers[(nextPeerIndex + index) % peers.length],
    );
    nextPeerIndex += selectedPeers.length;
    const responses = await Promise.all(
      selectedPeers.map(peer =>
        callPeer(
          peer.peerAddress,
          'control.snapshot',
          {},
          SNAPSHOT_TIMEOUT_MS,
          stopped.signal,
        ),
      ),
    );
    const snapshots = responses.flatMap(response => {
      const state = response.ok ? readSnapshot(response.value) : null;
      return state?.isComplete ? [state] : [];
    });
    const best = snapshots.sort((a, b) => b.highest - a.highest).at(0);
    if (!best) return;
    highestKnown = Math.max(highestKnown, best.highest);
    if (rebuild === null) {
      if (best.highest > published.highest) {
        publish(mergeLocalState(published, best));
      }
      return;
    }
    if (adoptState(best)) {
      metrics.count('vc_control_snapshots_total');
      return;
    }
    const isUsable =
      rebuild.tag === 'log'
        ? best.highest + 1 >= rebuild.start
        : best.highest > rebuild.state.highest;
    if (isUsable) rebuild = {tag: 'snapshot', state: best};
  };

  const restartRebuild = (earliest: number) => {
    if (published.highest >= 0 || rebuild?.tag === 'snapshot') {
      metrics.count('vc_control_gaps_total');
      logger.warn(
        'log records were removed before they were read; rebuilding the state',
        {earliest},
      );
    }
    rebuild = {tag: 'log', start: earliest, records: []};
    hasCaughtUp = false;
    if (published.isComplete) publish({...published, isComplete: false});
  };

  const recordLogStatus = (isUp: boolean, detail = '') => {
    if (isUp) logContact = clock.now();
    if (isUp === isLogUp) return;
    isLogUp = isUp;
    if (isUp) {
      logger.info('log is reachable again');
    } else {
      metrics.count('vc_control_log_outages_total');
      logger.warn('log is unreachable', {detail});
    }
  };

  const followLog = async () => {
    let backoffMs = MIN_BACKOFF_MS;
    while (!stopped.signal.aborted) {
      const position = getPosition();
      const requestedAt = clock.now();
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
        recordLogStatus(false, 'detail' in error ? error.detail : error.tag);
        await waitFor(backoffMs);
        backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
        continue;
      }
      backoffMs = MIN_BACKOFF_MS;
      recordLogStatus(true);
      // A snapshot may have moved the position during the read.
      if (position !== getPosition()) continue;
      if (!range.ok) {
        restartRebuild((range.error as {earliest: number}).earliest);
        await fetchSnapshot();
        continue;
      }
      applyRange(range.value);
      // Avoids a busy loop if the log does not support long polls.
      const isEmpty = range.value.records.length === 0;
      const wasHeld = clock.now() - requestedAt >= MIN_BACKOFF_MS;
      const mayReadAgain = waitMs === 0 && hasCaughtUp;
      if (isEmpty && !wasHeld && !mayReadAgain) await waitFor(MIN_BACKOFF_MS);
    }
  };

  const followPeers = async () => {
    while (!stopped.signal.aborted) {
      const sinceContactMs = clock.now() - (logContact ?? -Infinity);
      const isBehind =
        highestKnown > published.highest && sinceContactMs > LOG_UNREACHABLE_MS;
      if (rebuild !== null || isBehind) await fetchSnapshot();
      await waitFor(PEER_INTERVAL_MS);
    }
  };

  /** Outcome of an append of this process; null if it is not known yet. */
  const findOutcome = (
    appendId: string,
    payload: ControlPayload,
    offset: number | null,
  ): AppendOutcome | null => {
    const outcome = published.outcomes.get(appendId);
    if (outcome) return outcome;
    if (offset === null || payload.type !== 'put') return null;
    // If the state came from a snapshot without this outcome, an accepted put
    // is still recognizable by its offset.
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
    const responded = new AbortController();
    // The record may be read back before the append call returns.
    const readBack = waitForOutcome(appendId, payload, null, responded.signal);
    const response = await Promise.race([
      client.append(CONTROL_STREAM, [{appendId, payload}]),
      readBack,
    ]);
    responded.abort();
    if (response === null || 'tag' in response) {
      return response
        ? ok(response)
        : fail({tag: 'append_unknown', detail: 'stopped', appendId});
    }
    if (!response.ok && response.error.tag !== 'unknown') {
      const {error} = response;
      const detail = 'detail' in error ? error.detail : error.tag;
      if (error.tag === 'rejected') return ok({tag: 'invalid', detail});
      return fail({tag: 'log_unavailable', detail});
    }
    const offset = response.ok ? response.value[0] : null;
    const timeout = new AbortController();
    const deadline = getDeadline(clock.now(), APPEND_OUTCOME_TIMEOUT_MS);
    void clock.waitUntil(deadline, timeout.signal).then(() => timeout.abort());
    const outcome = await waitForOutcome(
      appendId,
      payload,
      offset,
      timeout.signal,
    );
    timeout.abort();
    if (outcome) return ok(outcome);
    const detail = response.ok
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
      highestKnown = Math.max(highestKnown, offset);
    },
    rpcMethods: {
      'control.snapshot': defineMethod(z.unknown(), () =>
        createSnapshot(published),
      ),
    },
  };
}
