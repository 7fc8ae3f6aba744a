import type {Epoch, MonotonicMs} from '@vanillacross/common';
import {
  toBranded,
  defineMethod,
  getDeadline,
  getHash32,
} from '@vanillacross/common';
import type {
  AgentInstance,
  ControlState,
  CrashReport,
  Instance,
  Load,
  ControlPullRequest,
  ControlPullResponse,
  UsageCell,
} from '@vanillacross/domain';
import {
  getAgentView,
  getAgentViewChangeOffset,
  getAgentsOfEntry,
  listRecords,
  getRecordBody,
  getAgentRollout,
  instanceSchema,
  isAgent,
  isRolloutComplete,
  controlPullRequestSchema,
} from '@vanillacross/domain';
import type {InstanceListPort} from '@vanillacross/platform';
import {setMaxListeners} from 'node:events';
import {z} from 'zod';

import type {InstanceListHistory} from './dedupHistory.js';
import {createDesignatedEntries} from './designatedEntries.js';
import {createInstanceDirectory, isSeed} from './instanceDirectory.js';
import type {OffsetQuery, OffsetStatus} from './offsetStatus.js';
import {
  createOffsetStatusHandler,
  isOffsetQuery,
  offsetQuerySchema,
} from './offsetStatus.js';
import type {CallPeer} from './peerCalls.js';
import {createCallPeer} from './peerCalls.js';
import type {
  AgentPresence,
  Context,
  ControlFollower,
  Membership,
} from './types.js';
import {WeightSourceSelector, isVersionMissing} from './weightSources.js';

export interface MembershipOptions {
  /** Entries from the settings, see `createSeedInstance`. */
  seeds: readonly Instance[];
  callPeer?: CallPeer;
}

/** Answer to `control.status`: what one entry and its agents have applied. */
export const entryStatusSchema = z.object({
  instance: instanceSchema,
  epoch: z.string(),
  highest: z.number().int(),
  isComplete: z.boolean(),
  agents: z.array(
    z.object({
      id: z.string(),
      upstream: z.string(),
      offset: z.number().int(),
    }),
  ),
});

export type EntryStatus = z.infer<typeof entryStatusSchema>;

/** What operators may learn from the membership of one entry. */
export interface EntryMembership extends Membership {
  getEntryStatus(): EntryStatus;
  /** How far this entry and the agents it speaks for are; held at most 2 s. */
  getOffsetStatus(question: OffsetQuery): Promise<OffsetStatus>;
  /** Every known agent, also leaving and unreachable ones. */
  getAgents(): readonly AgentPresence[];
  /** What the instance list showed, for `dedup.history`. */
  instanceListHistory: InstanceListHistory;
  /** Marks this entry as leaving in its answers to peers. */
  setLeaving(): void;
  /** Failure domains from which something was heard within the bound. */
  getReachableDomains(): readonly string[];
}

interface Member {
  instance: AgentInstance;
  epoch: Epoch | null;
  load: Load | null;
  offset: number;
  heardAt: MonotonicMs | null;
  /** Time of the last poll; answers to requests do not count. */
  polledAt: MonotonicMs | null;
  /** The agent itself said that it leaves. */
  hasAnnounced: boolean;
  failures: number;
  ejections: number;
  ejectedUntil: MonotonicMs | null;
  /** Ends the poll that is held for this agent. */
  release: () => void;
}

interface MemberList {
  instances: readonly AgentInstance[];
  /** Undefined for an empty list. */
  hash: string | undefined;
}

interface HeardEntry {
  instance: Instance;
  heardAt: MonotonicMs;
}

const HOLD_MS = 10_000;
const TICK_MS = 1_000;
/** Wait before weight sources are looked for again, ms. */
const SOURCE_RETRY_MS = 250;
/** An agent or peer that was heard within this time is alive, ms. */
const ALIVE_MS = 30_000;
/** Longest silence after which authority remains, ms. */
const AUTHORITY_MS = 5_000;
/** Silence of a failure domain after which an instance of it is asked, ms. */
const PING_AFTER_MS = 2_000;
const PING_TIMEOUT_MS = 1_000;
/** Failed connections in a row that eject an agent. */
const EJECT_AFTER = 3;
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

const pingSchema = z.object({
  instance: instanceSchema,
  epoch: z.string(),
  highest: z.number().int(),
});

const noMembers: MemberList = {instances: [], hash: undefined};

function createMember(instance: AgentInstance): Member {
  return {
    instance,
    epoch: null,
    load: null,
    offset: -1,
    heardAt: null,
    polledAt: null,
    hasAnnounced: false,
    failures: 0,
    ejections: 0,
    ejectedUntil: null,
    release: () => {},
  };
}

/** Creates the part that knows the other instances. */
export function createMembership(
  context: Context,
  control: ControlFollower,
  listPort: InstanceListPort,
  options: MembershipOptions,
): EntryMembership {
  const {clock, metrics, self} = context;
  const logger = context.logger.child('membership');
  const callPeer = options.callPeer ?? createCallPeer(context.clusterSecret);
  const directory = createInstanceDirectory(context, listPort, options);
  const stopped = new AbortController();
  setMaxListeners(0, stopped.signal);
  const members = new Map<string, Member>();
  /** Upstreams by the address of their agent. */
  const addresses = new Map<string, string>();
  const heardEntries = new Map<string, HeardEntry>();
  const heardDomains = new Map<string, MonotonicMs>();
  const pingTurns = new Map<string, number>();
  const reportListeners = new Set<
    (cells: UsageCell[], crashes: CrashReport[]) => void
  >();
  /** Held polls that wait for a change of the state or of the members. */
  const holds = new Set<() => void>();
  const subsets = new Map<string, {until: number; members: Member[]}>();
  /** Members of plain pools as sent to agents; kept until they change. */
  const memberLists = new Map<string, MemberList>();
  const sourceChoice = new WeightSourceSelector(clock);
  let isSelfLeaving = false;
  let unsubscribe = () => {};
  let loop: Promise<void> | undefined;

  metrics.gauge('vc_agents_known', () => members.size);
  metrics.gauge('vc_polls_held', () => holds.size);

  const isRecent = (time: MonotonicMs | null | undefined, boundMs: number) =>
    time !== null && time !== undefined && clock.now() - time <= boundMs;

  /** Forgets derived choices and lets held polls look again. */
  const noteControlChange = () => {
    subsets.clear();
    for (const wake of holds) wake();
  };

  const noteMemberChange = () => {
    memberLists.clear();
    noteControlChange();
  };

  const isMemberLeaving = (member: Member) =>
    member.hasAnnounced || member.instance.state === 'leaving';

  const isMemberEjected = (member: Member) =>
    member.ejectedUntil !== null && member.ejectedUntil > clock.now();

  const createPresence = (member: Member): AgentPresence => ({
    instance: member.instance,
    epoch: member.epoch,
    load: member.load,
    offset: member.offset,
    lastSeenAt: member.heardAt,
    polledAt: member.polledAt,
    isLeaving: isMemberLeaving(member),
  });

  const noteHeard = (domain: string) => {
    if (domain !== '') heardDomains.set(domain, clock.now());
  };

  const dropMember = (upstream: string) => {
    const member = members.get(upstream);
    if (!member) return;
    member.release();
    members.delete(upstream);
    const {address} = member.instance;
    if (addresses.get(address) === upstream) addresses.delete(address);
  };

  /** An address belongs to the instance that was seen there last. */
  const setInstance = (member: Member, instance: AgentInstance) => {
    const {id} = instance.upstream;
    const old = member.instance.address;
    if (old !== instance.address && addresses.get(old) === id) {
      addresses.delete(old);
    }
    const other = addresses.get(instance.address);
    if (other !== undefined && other !== id) dropMember(other);
    addresses.set(instance.address, id);
    member.instance = instance;
  };

  const setMember = (instance: AgentInstance): Member => {
    dropMember(instance.upstream.id);
    const member = createMember(instance);
    members.set(instance.upstream.id, member);
    setInstance(member, instance);
    return member;
  };

  const applyListed = (instance: AgentInstance) => {
    const member = members.get(instance.upstream.id);
    if (member?.instance.id === instance.id) {
      // Polls are newer than the list, except for the state it adds.
      const isHeard = isRecent(member.polledAt, ALIVE_MS);
      const address = isHeard ? member.instance : instance;
      setInstance(member, {...address, state: instance.state});
      return;
    }
    if (member && isRecent(member.heardAt, ALIVE_MS)) return;
    const other = members.get(addresses.get(instance.address) ?? '');
    if (other && isRecent(other.heardAt, ALIVE_MS)) return;
    setMember(instance);
  };

  const applyDirectory = () => {
    const listed = new Map<string, AgentInstance>();
    for (const instance of directory.getInstances()) {
      if (!isAgent(instance)) continue;
      const other = listed.get(instance.upstream.id);
      // Of two instances of one upstream, the live listed one counts.
      const isBetter =
        instance.state === 'live' && directory.isListed(instance.id);
      if (!other || isBetter) listed.set(instance.upstream.id, instance);
    }
    for (const instance of listed.values()) applyListed(instance);
    for (const [upstream, member] of members) {
      if (listed.has(upstream)) continue;
      if (isRecent(member.heardAt, ALIVE_MS)) continue;
      dropMember(upstream);
    }
    noteMemberChange();
  };

  const notePull = (
    pull: ControlPullRequest,
    instance: AgentInstance,
  ): Member => {
    const known = members.get(instance.upstream.id);
    const isNew = known?.instance.id !== instance.id;
    const isOther = isNew && known && isRecent(known.polledAt, ALIVE_MS);
    if (isOther && instance.state === 'leaving') {
      // A predecessor that leaves must not hide its live successor.
      return createMember(instance);
    }
    const wasLeaving = !known || isMemberLeaving(known);
    const member = known && !isNew ? known : setMember(instance);
    const isRestarted = member.epoch !== pull.epoch;
    if (isRestarted) {
      member.epoch = toBranded<Epoch>(pull.epoch);
      member.hasAnnounced = false;
      member.failures = 0;
      member.ejections = 0;
      member.ejectedUntil = null;
    }
    const isFirstPoll = !isRecent(member.polledAt, ALIVE_MS);
    member.hasAnnounced ||= instance.state === 'leaving';
    const {state} = member.instance;
    setInstance(member, {...instance, state: isNew ? instance.state : state});
    const hasNewWeights = member.load?.staged !== pull.load.staged;
    member.load = pull.load;
    member.offset = pull.offset;
    member.heardAt = clock.now();
    member.polledAt = member.heardAt;
    noteHeard(instance.domain);
    const isChanged = wasLeaving !== isMemberLeaving(member);
    if (isNew || isRestarted || isFirstPoll || isChanged) noteMemberChange();
    // Agents that wait for a source may have one now.
    else if (hasNewWeights) for (const wake of holds) wake();
    return member;
  };

  /** Only plain pools deduplicate, so only their agents need the members. */
  const getMemberList = (state: ControlState, pool: string): MemberList => {
    if (getRecordBody(state, 'pool', pool)?.kind !== 'plain') return noMembers;
    const cached = memberLists.get(pool);
    if (cached) return cached;
    const instances = [...members.values()]
      .filter(member => member.instance.upstream.pool === pool)
      .map(member => ({
        ...member.instance,
        state: isMemberLeaving(member)
          ? ('leaving' as const)
          : ('live' as const),
      }))
      .sort((a, b) => (a.upstream.id < b.upstream.id ? -1 : 1));
    const text = JSON.stringify(instances);
    const hash =
      instances.length > 0 ? getHash32(text).toString(16) : undefined;
    const list = {instances, hash};
    memberLists.set(pool, list);
    return list;
  };

  const createAnswer = (
    answer?: Partial<ControlPullResponse>,
  ): ControlPullResponse => {
    const {isComplete, highest} = control.getState();
    return {
      entryEpoch: context.epoch,
      highest: isComplete ? highest : -1,
      view: null,
      ...answer,
    };
  };

  /** Where an agent may fetch its rollout's version; null if it has it. */
  const getWeights = (state: ControlState, member: Member) => {
    const agent = member.instance;
    const rollout = getAgentRollout(state, agent);
    if (!rollout || !isVersionMissing(member.load, rollout.version)) {
      return null;
    }
    const holders = [...members.values()]
      .filter(
        other =>
          getAgentRollout(state, other.instance)?.model === rollout.model,
      )
      .map(other => ({
        instance: other.instance,
        load: other.load,
        isReachable:
          isRecent(other.polledAt, ALIVE_MS) && !isMemberLeaving(other),
      }));
    return sourceChoice.choose(agent, rollout.version, holders);
  };

  /** Sources for a poll that waits for some; null if there are none now. */
  const getWantedWeights = (
    state: ControlState,
    pull: ControlPullRequest,
    member: Member,
  ): ControlPullResponse | null => {
    const rollout = getAgentRollout(state, member.instance);
    if (!rollout || pull.wantedVersion !== rollout.version) return null;
    const weights = getWeights(state, member);
    const isUsable = weights?.mayUseStore || weights?.addresses.length;
    return weights && isUsable ? createAnswer({weights}) : null;
  };

  /** The end of the waves matters to agents that did not swap in theirs. */
  const getLateRolloutChange = (state: ControlState, member: Member) => {
    const rollout = getAgentRollout(state, member.instance);
    if (!rollout || !isRolloutComplete(rollout)) return -1;
    const isLate = (member.load?.version ?? 0) < rollout.version;
    return isLate ? (rollout.steps.at(-1)?.offset ?? -1) : -1;
  };

  /** The answer to send now; null if the agent's view is up to date. */
  const getNewAnswer = (
    pull: ControlPullRequest,
    member: Member,
  ): ControlPullResponse | null => {
    const state = control.getState();
    const agent = member.instance;
    if (!state.isComplete || state.highest < 0) return null;
    // An older view would be dropped by the agent.
    if (state.highest < pull.offset) return null;
    const list = getMemberList(state, agent.upstream.pool);
    const changedAt = Math.max(
      getAgentViewChangeOffset(state, agent),
      getLateRolloutChange(state, member),
    );
    const isCurrent = pull.offset >= 0 && pull.offset >= changedAt;
    if (isCurrent && pull.membersHash === list.hash) {
      return getWantedWeights(state, pull, member);
    }
    const view = getAgentView(state, agent, list.instances);
    const weights = getWeights(state, member) ?? undefined;
    return createAnswer({view, membersHash: list.hash, weights});
  };

  /** Resolves when something changed, the hold ended, or it was released. */
  const waitForChange = async (member: Member, deadline: MonotonicMs) => {
    const ended = new AbortController();
    let isReleased = false;
    const wake = () => ended.abort();
    holds.add(wake);
    member.release = () => {
      isReleased = true;
      wake();
    };
    await clock.waitUntil(deadline, ended.signal);
    holds.delete(wake);
    if (isReleased) return 'released';
    return clock.now() < deadline ? 'changed' : 'expired';
  };

  const pull = async (
    params: ControlPullRequest,
  ): Promise<ControlPullResponse> => {
    const {instance} = params;
    metrics.count('vc_pulls_total');
    if (!isAgent(instance)) return createAnswer();
    control.recordHighestOffset(Math.max(params.highest, params.offset));
    members.get(instance.upstream.id)?.release();
    const member = notePull(params, instance);
    if (params.cells.length > 0 || params.crashes.length > 0) {
      for (const listener of reportListeners) {
        listener(params.cells, params.crashes);
      }
    }
    const deadline = getDeadline(clock.now(), HOLD_MS);
    let mayHold = instance.state === 'live';
    for (;;) {
      const answer = getNewAnswer(params, member);
      if (answer || !mayHold || stopped.signal.aborted) {
        return answer ?? createAnswer();
      }
      const retryAt = getDeadline(clock.now(), SOURCE_RETRY_MS);
      const isWaiting = params.wantedVersion !== undefined;
      const until = isWaiting && retryAt < deadline ? retryAt : deadline;
      const end = await waitForChange(member, until);
      // A released poll was given up by its agent.
      if (end === 'released') return createAnswer();
      mayHold = clock.now() < deadline;
    }
  };

  const getKnownDomains = (state: ControlState): Set<string> => {
    const known = new Set(listRecords(state, 'domain').map(({id}) => id));
    for (const {instance} of members.values()) known.add(instance.domain);
    for (const {domain} of directory.getInstances()) known.add(domain);
    known.add(self.domain);
    known.delete('');
    return known;
  };

  const getHeardDomains = (): string[] => {
    const known = getKnownDomains(control.getState());
    return [...known].filter(domain =>
      isRecent(heardDomains.get(domain), AUTHORITY_MS),
    );
  };

  const hasAuthority = (): boolean => {
    const state = control.getState();
    // After a gap, a withdrawal of a key may be among the missing records.
    if (!state.isComplete) return false;
    if (isRecent(control.getLastLogContact(), AUTHORITY_MS)) return true;
    const known = getKnownDomains(state);
    return getHeardDomains().length * 2 > known.size;
  };

  const isSelf = (instance: Instance) =>
    instance.id === self.id || instance.peerAddress === self.peerAddress;

  const getPeers = (): Instance[] => {
    const peers = new Map<string, Instance>();
    for (const instance of directory.getInstances()) {
      if (instance.role !== 'entry' || isSelf(instance)) continue;
      peers.set(instance.peerAddress, instance);
    }
    for (const {instance, heardAt} of heardEntries.values()) {
      if (!isRecent(heardAt, ALIVE_MS)) continue;
      const listed = peers.get(instance.peerAddress);
      const state = listed?.state === 'leaving' ? 'leaving' : instance.state;
      peers.set(instance.peerAddress, {...instance, state});
    }
    return [...peers.values()].filter(peer => peer.state === 'live');
  };

  const createPing = () => ({
    instance: {
      ...self,
      state: isSelfLeaving ? ('leaving' as const) : ('live' as const),
    },
    epoch: context.epoch,
    highest: control.getState().highest,
  });

  const notePing = (ping: z.infer<typeof pingSchema>) => {
    const {instance} = ping;
    if (isSelf(instance)) return;
    control.recordHighestOffset(ping.highest);
    noteHeard(instance.domain);
    if (instance.role !== 'entry') return;
    for (const [id, other] of heardEntries) {
      const isReplaced = other.instance.peerAddress === instance.peerAddress;
      if (id !== instance.id && isReplaced) heardEntries.delete(id);
    }
    heardEntries.set(instance.id, {instance, heardAt: clock.now()});
  };

  const sendPing = async (target: Instance): Promise<void> => {
    const answer = await callPeer(
      target.peerAddress,
      'member.ping',
      createPing(),
      PING_TIMEOUT_MS,
      stopped.signal,
    );
    const ping = answer.ok ? pingSchema.safeParse(answer.value) : null;
    if (ping?.success) {
      notePing(ping.data);
    } else {
      // The next ping goes to another instance of the failure domain.
      const turn = pingTurns.get(target.domain) ?? 0;
      pingTurns.set(target.domain, turn + 1);
      metrics.count('vc_ping_failures_total');
    }
  };

  /** Asks one instance of each failure domain that was not heard lately. */
  const pingSilentDomains = () => {
    const peers = getPeers();
    for (const peer of peers) if (isSeed(peer)) void sendPing(peer);
    const agents = [...members.values()].map(member => member.instance);
    for (const domain of getKnownDomains(control.getState())) {
      if (isRecent(heardDomains.get(domain), PING_AFTER_MS)) continue;
      const targets = [...peers, ...agents].filter(
        target => target.domain === domain && !isSeed(target),
      );
      const turn = pingTurns.get(domain) ?? 0;
      if (targets.length > 0) void sendPing(targets[turn % targets.length]);
    }
  };

  const run = async () => {
    while (!stopped.signal.aborted) {
      applyExpiry();
      pingSilentDomains();
      await clock.waitUntil(getDeadline(clock.now(), TICK_MS), stopped.signal);
    }
  };

  /** Removes what was neither listed nor heard for a while. */
  const applyExpiry = () => {
    for (const [id, entry] of heardEntries) {
      if (!isRecent(entry.heardAt, ALIVE_MS)) heardEntries.delete(id);
    }
    const isExpired = [...members.values()].some(
      member =>
        !directory.isListed(member.instance.id) &&
        !isRecent(member.heardAt, ALIVE_MS),
    );
    if (isExpired) applyDirectory();
  };

  /** True if an agent may get new work now, ejection apart. */
  const isEligible = (state: ControlState, member: Member): boolean => {
    if (isMemberLeaving(member)) return false;
    const {upstream, domain} = member.instance;
    const record = getRecordBody(state, 'upstream', upstream.id);
    if (record?.state === 'draining') return false;
    const domains = [domain, record?.domain ?? domain];
    return domains.every(
      id => getRecordBody(state, 'domain', id)?.state !== 'out',
    );
  };

  /** The subset of a pool, kept until something changes or ends. */
  const getSubset = (pool: string): Member[] => {
    const cached = subsets.get(pool);
    if (cached && clock.now() < cached.until) return cached.members;
    const state = control.getState();
    const eligible = [...members.values()].filter(
      member =>
        member.instance.upstream.pool === pool && isEligible(state, member),
    );
    const usable = eligible.filter(member => !isMemberEjected(member));
    const placed = usable.map(member => ({
      id: member.instance.upstream.id,
      domain: member.instance.domain,
      member,
    }));
    const chosen = getAgentsOfEntry(self.id, placed, agent =>
      isRecent(agent.member.polledAt, ALIVE_MS),
    ).map(agent => agent.member);
    const ends = eligible.flatMap(member => {
      const pollEnd =
        member.polledAt === null ? [] : [member.polledAt + ALIVE_MS + 1];
      return isMemberEjected(member)
        ? [...pollEnd, member.ejectedUntil!]
        : pollEnd;
    });
    const future = ends.filter(end => end > clock.now());
    subsets.set(pool, {until: Math.min(Infinity, ...future), members: chosen});
    return chosen;
  };

  const noteFailure = (upstream: string) => {
    const member = members.get(upstream);
    if (!member) return;
    member.failures += 1;
    // After an ejection, one more failure is enough.
    const isProbe = member.ejections > 0;
    if (member.failures < EJECT_AFTER && !isProbe) return;
    if (isMemberEjected(member)) return;
    const spanMs = MIN_EJECTION_MS * 2 ** Math.min(member.ejections, 10);
    member.ejections += 1;
    member.failures = 0;
    member.ejectedUntil = getDeadline(
      clock.now(),
      Math.min(spanMs, MAX_EJECTION_MS),
    );
    subsets.clear();
    metrics.count('vc_ejections_total');
    logger.warn('an agent does not answer and gets no work for a while', {
      upstream,
      ejections: member.ejections,
    });
  };

  const noteAnswer = (upstream: string, load: Load) => {
    const member = members.get(upstream);
    if (!member) return;
    // Only polls tell which versions are staged.
    const {staged, failedVersion} = member.load ?? {};
    member.load = {staged, failedVersion, ...load};
    member.heardAt = clock.now();
    noteHeard(member.instance.domain);
    member.failures = 0;
    member.ejections = 0;
    if (member.ejectedUntil === null) return;
    member.ejectedUntil = null;
    subsets.clear();
  };

  const getEntryStatus = (): EntryStatus => {
    const state = control.getState();
    const heard = [...members.values()].filter(member =>
      isRecent(member.polledAt, ALIVE_MS),
    );
    return {
      instance: createPing().instance,
      epoch: context.epoch,
      highest: state.highest,
      isComplete: state.isComplete,
      agents: heard.map(({instance, offset}) => {
        // An unchanged view is in force up to the offset of this entry.
        const isCurrent =
          state.isComplete &&
          offset >= getAgentViewChangeOffset(state, instance);
        return {
          id: instance.id,
          upstream: instance.upstream.id,
          offset: isCurrent ? Math.max(offset, state.highest) : offset,
        };
      }),
    };
  };

  const getOffsetStatus = createOffsetStatusHandler(
    context,
    control,
    createDesignatedEntries(context, getPeers),
    isWanted =>
      [...members.values()]
        .filter(member => isWanted(member.instance.id))
        .map(member => ({
          instance: member.instance,
          offset: member.offset,
          isPolling: isRecent(member.polledAt, ALIVE_MS),
          isLeaving: isMemberLeaving(member),
        })),
    stopped.signal,
  );

  return {
    name: 'membership',
    start: async () => {
      unsubscribe = control.subscribe(noteControlChange);
      directory.subscribe(applyDirectory);
      await directory.start();
      loop = run();
    },
    stop: async signal => {
      stopped.abort();
      unsubscribe();
      noteMemberChange();
      await directory.stop(signal);
      await loop;
    },
    getInstances: () => {
      const byId = new Map<string, Instance>();
      for (const instance of directory.getInstances()) {
        if (instance.role === 'entry') byId.set(instance.id, instance);
      }
      for (const peer of getPeers()) byId.set(peer.id, peer);
      for (const member of members.values()) {
        byId.set(member.instance.id, member.instance);
      }
      return [...byId.values()];
    },
    getPeers,
    getPoolMembers: pool =>
      [...members.values()]
        .filter(member => member.instance.upstream.pool === pool)
        .sort((a, b) =>
          a.instance.upstream.id < b.instance.upstream.id ? -1 : 1,
        )
        .map(createPresence),
    getCandidates: pool =>
      getSubset(pool)
        .filter(member => !isMemberEjected(member))
        .map(createPresence),
    getAgent: upstream => {
      const member = members.get(upstream);
      return member ? createPresence(member) : null;
    },
    getAgents: () => [...members.values()].map(createPresence),
    recordLoad: noteAnswer,
    recordFailure: noteFailure,
    onReport: listener => void reportListeners.add(listener),
    hasAuthority,
    getEntryStatus,
    instanceListHistory: directory,
    getOffsetStatus,
    setLeaving: () => {
      isSelfLeaving = true;
    },
    getReachableDomains: getHeardDomains,
    rpcMethods: {
      'control.pull': defineMethod(controlPullRequestSchema, pull),
      'control.status': defineMethod(
        z.union([offsetQuerySchema, z.strictObject({})]),
        question =>
          isOffsetQuery(question)
            ? getOffsetStatus(question)
            : getEntryStatus(),
      ),
      'member.ping': defineMethod(pingSchema, params => {
        notePing(params);
        return createPing();
      }),
    },
  };
}
