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

/**
 * Response to `control.status` without an offset: the offsets that an entry and
 * its agents have reached.
 */
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

/** Membership of an entry, with the state that operators can query. */
export interface EntryMembership extends Membership {
  getEntryStatus(): EntryStatus;
  /**
   * Resolves to the offsets that this entry and the agents it reports for have
   * reached; waits up to `query.waitMs` for them to reach `query.offset`.
   */
  getOffsetStatus(query: OffsetQuery): Promise<OffsetStatus>;
  /** All known agents, including leaving and unreachable ones. */
  getAgents(): readonly AgentPresence[];
  /** History of the instance list, for `dedup.history`. */
  instanceListHistory: InstanceListHistory;
  /** Marks this entry as leaving in its pings and status. */
  setLeaving(): void;
  /** Failure domains with contact within `CONTACT_TIMEOUT_MS`. */
  getReachableDomains(): readonly string[];
}

interface Member {
  instance: AgentInstance;
  epoch: Epoch | null;
  load: Load | null;
  offset: number;
  lastSeenAt: MonotonicMs | null;
  /** Time of the last poll; responses to requests do not count. */
  polledAt: MonotonicMs | null;
  /** True if the agent itself announced that it is leaving. */
  hasAnnouncedLeaving: boolean;
  failures: number;
  ejections: number;
  ejectedUntil: MonotonicMs | null;
  /** Ends the poll of this agent that is currently held. */
  releasePoll: () => void;
}

interface MemberList {
  instances: readonly AgentInstance[];
  /** Undefined for an empty list. */
  hash: string | undefined;
}

interface RecentEntry {
  instance: Instance;
  lastSeenAt: MonotonicMs;
}

const MAX_POLL_HOLD_MS = 10_000;
const TICK_MS = 1_000;
/** Interval at which weight sources are selected again for a held poll, ms. */
const SOURCE_RETRY_MS = 250;
/**
 * Time without a message after which an agent or peer is no longer alive, ms.
 */
const LIVENESS_MS = 30_000;
/**
 * Time without contact after which the log or a failure domain no longer counts
 * as reachable, ms.
 */
const CONTACT_TIMEOUT_MS = 5_000;
/**
 * Time without a message from a failure domain after which one of its
 * instances is pinged, ms.
 */
const PING_IDLE_MS = 2_000;
const PING_TIMEOUT_MS = 1_000;
/** Consecutive failed connections that eject an agent. */
const EJECTION_THRESHOLD = 3;
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
    lastSeenAt: null,
    polledAt: null,
    hasAnnouncedLeaving: false,
    failures: 0,
    ejections: 0,
    ejectedUntil: null,
    releasePoll: () => {},
  };
}

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
  /** Upstream ids by the address of their agent. */
  const idsByAddress = new Map<string, string>();
  const recentEntries = new Map<string, RecentEntry>();
  const domainsLastSeen = new Map<string, MonotonicMs>();
  const pingIndexes = new Map<string, number>();
  const reportListeners = new Set<
    (cells: UsageCell[], crashes: CrashReport[]) => void
  >();
  /** Wake-up callbacks of held polls, called on changes of state or members. */
  const heldPolls = new Set<() => void>();
  const subsets = new Map<string, {until: number; members: Member[]}>();
  /** Members of plain pools as sent to agents; cached until they change. */
  const memberLists = new Map<string, MemberList>();
  const sourceSelector = new WeightSourceSelector(clock);
  let isSelfLeaving = false;
  let unsubscribe = () => {};
  let loop: Promise<void> | undefined;

  metrics.gauge('vc_agents_known', () => members.size);
  metrics.gauge('vc_polls_held', () => heldPolls.size);

  const isRecent = (time: MonotonicMs | null | undefined, boundMs: number) =>
    time !== null && time !== undefined && clock.now() - time <= boundMs;

  /** Drops the cached subsets and makes held polls check for updates. */
  const handleControlChange = () => {
    subsets.clear();
    for (const wake of heldPolls) wake();
  };

  const handleMemberChange = () => {
    memberLists.clear();
    handleControlChange();
  };

  const isMemberLeaving = (member: Member) =>
    member.hasAnnouncedLeaving || member.instance.state === 'leaving';

  const isMemberEjected = (member: Member) =>
    member.ejectedUntil !== null && member.ejectedUntil > clock.now();

  const createPresence = (member: Member): AgentPresence => ({
    instance: member.instance,
    epoch: member.epoch,
    load: member.load,
    offset: member.offset,
    lastSeenAt: member.lastSeenAt,
    polledAt: member.polledAt,
    isLeaving: isMemberLeaving(member),
  });

  const recordDomainSeen = (domain: string) => {
    if (domain !== '') domainsLastSeen.set(domain, clock.now());
  };

  const removeMember = (upstream: string) => {
    const member = members.get(upstream);
    if (!member) return;
    member.releasePoll();
    members.delete(upstream);
    const {address} = member.instance;
    if (idsByAddress.get(address) === upstream) idsByAddress.delete(address);
  };

  /**
   * Sets the instance of a member. An address belongs to the instance seen
   * there last, so another member with the same address is removed.
   */
  const setInstance = (member: Member, instance: AgentInstance) => {
    const {id} = instance.upstream;
    const old = member.instance.address;
    if (old !== instance.address && idsByAddress.get(old) === id) {
      idsByAddress.delete(old);
    }
    const other = idsByAddress.get(instance.address);
    if (other !== undefined && other !== id) removeMember(other);
    idsByAddress.set(instance.address, id);
    member.instance = instance;
  };

  const setMember = (instance: AgentInstance): Member => {
    removeMember(instance.upstream.id);
    const member = createMember(instance);
    members.set(instance.upstream.id, member);
    setInstance(member, instance);
    return member;
  };

  const applyListed = (instance: AgentInstance) => {
    const member = members.get(instance.upstream.id);
    if (member?.instance.id === instance.id) {
      // A poll carries newer data than the instance list, so only the state is
      // taken from the list.
      const isPolling = isRecent(member.polledAt, LIVENESS_MS);
      const current = isPolling ? member.instance : instance;
      setInstance(member, {...current, state: instance.state});
      return;
    }
    if (member && isRecent(member.lastSeenAt, LIVENESS_MS)) return;
    const other = members.get(idsByAddress.get(instance.address) ?? '');
    if (other && isRecent(other.lastSeenAt, LIVENESS_MS)) return;
    setMember(instance);
  };

  const applyDirectory = () => {
    const listed = new Map<string, AgentInstance>();
    for (const instance of directory.getInstances()) {
      if (!isAgent(instance)) continue;
      const other = listed.get(instance.upstream.id);
      // Of two instances of one upstream, the listed live one is used.
      const isBetter =
        instance.state === 'live' && directory.isListed(instance.id);
      if (!other || isBetter) listed.set(instance.upstream.id, instance);
    }
    for (const instance of listed.values()) applyListed(instance);
    for (const [upstream, member] of members) {
      if (listed.has(upstream)) continue;
      if (isRecent(member.lastSeenAt, LIVENESS_MS)) continue;
      removeMember(upstream);
    }
    handleMemberChange();
  };

  const applyPoll = (
    poll: ControlPullRequest,
    instance: AgentInstance,
  ): Member => {
    const known = members.get(instance.upstream.id);
    const isNew = known?.instance.id !== instance.id;
    const isOther = isNew && known && isRecent(known.polledAt, LIVENESS_MS);
    if (isOther && instance.state === 'leaving') {
      // A leaving predecessor must not replace its live successor.
      return createMember(instance);
    }
    const wasLeaving = !known || isMemberLeaving(known);
    const member = known && !isNew ? known : setMember(instance);
    const isRestarted = member.epoch !== poll.epoch;
    if (isRestarted) {
      member.epoch = toBranded<Epoch>(poll.epoch);
      member.hasAnnouncedLeaving = false;
      member.failures = 0;
      member.ejections = 0;
      member.ejectedUntil = null;
    }
    const wasInactive = !isRecent(member.polledAt, LIVENESS_MS);
    member.hasAnnouncedLeaving ||= instance.state === 'leaving';
    const {state} = member.instance;
    setInstance(member, {...instance, state: isNew ? instance.state : state});
    const hasNewWeights = member.load?.staged !== poll.load.staged;
    member.load = poll.load;
    member.offset = poll.offset;
    member.lastSeenAt = clock.now();
    member.polledAt = member.lastSeenAt;
    recordDomainSeen(instance.domain);
    const isChanged = wasLeaving !== isMemberLeaving(member);
    if (isNew || isRestarted || wasInactive || isChanged) handleMemberChange();
    // Agents that wait for a weight source may have one now.
    else if (hasNewWeights) for (const wake of heldPolls) wake();
    return member;
  };

  /**
   * Only agents of plain pools deduplicate requests, and only for that do they
   * need the list of pool members.
   */
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

  const createPollResponse = (
    response?: Partial<ControlPullResponse>,
  ): ControlPullResponse => {
    const {isComplete, highest} = control.getState();
    return {
      entryEpoch: context.epoch,
      highest: isComplete ? highest : -1,
      view: null,
      ...response,
    };
  };

  /**
   * Weight sources for an agent; null if it does not miss the version of its
   * rollout.
   */
  const getWeights = (state: ControlState, member: Member) => {
    const agent = member.instance;
    const rollout = getAgentRollout(state, agent);
    if (!rollout || !isVersionMissing(member.load, rollout.version)) {
      return null;
    }
    const agents = [...members.values()]
      .filter(
        other =>
          getAgentRollout(state, other.instance)?.model === rollout.model,
      )
      .map(other => ({
        instance: other.instance,
        load: other.load,
        isReachable:
          isRecent(other.polledAt, LIVENESS_MS) && !isMemberLeaving(other),
      }));
    return sourceSelector.choose(agent, rollout.version, agents);
  };

  /**
   * Response to a poll that waits for weight sources; null if the poll does not
   * wait for them or none is available.
   */
  const getWantedWeights = (
    state: ControlState,
    poll: ControlPullRequest,
    member: Member,
  ): ControlPullResponse | null => {
    const rollout = getAgentRollout(state, member.instance);
    if (!rollout || poll.wantedVersion !== rollout.version) return null;
    const weights = getWeights(state, member);
    const isUsable = weights?.mayUseStore || weights?.addresses.length;
    return weights && isUsable ? createPollResponse({weights}) : null;
  };

  /**
   * If a rollout is complete but the agent still runs an older version, the log
   * offset of the last rollout step, so that the agent gets a new view and
   * swaps; otherwise -1.
   */
  const getLateRolloutChange = (state: ControlState, member: Member) => {
    const rollout = getAgentRollout(state, member.instance);
    if (!rollout || !isRolloutComplete(rollout)) return -1;
    const isLate = (member.load?.version ?? 0) < rollout.version;
    return isLate ? (rollout.steps.at(-1)?.offset ?? -1) : -1;
  };

  /** Response to send now; null if the agent's view is up to date. */
  const getPollUpdate = (
    poll: ControlPullRequest,
    member: Member,
  ): ControlPullResponse | null => {
    const state = control.getState();
    const agent = member.instance;
    if (!state.isComplete || state.highest < 0) return null;
    // The agent would discard an older view.
    if (state.highest < poll.offset) return null;
    const list = getMemberList(state, agent.upstream.pool);
    const changedAt = Math.max(
      getAgentViewChangeOffset(state, agent),
      getLateRolloutChange(state, member),
    );
    const isCurrent = poll.offset >= 0 && poll.offset >= changedAt;
    if (isCurrent && poll.membersHash === list.hash) {
      return getWantedWeights(state, poll, member);
    }
    const view = getAgentView(state, agent, list.instances);
    const weights = getWeights(state, member) ?? undefined;
    return createPollResponse({view, membersHash: list.hash, weights});
  };

  /** Resolves on a change, at the deadline, or when the poll is released. */
  const waitForChange = async (member: Member, deadline: MonotonicMs) => {
    const ended = new AbortController();
    let isReleased = false;
    const wake = () => ended.abort();
    heldPolls.add(wake);
    member.releasePoll = () => {
      isReleased = true;
      wake();
    };
    await clock.waitUntil(deadline, ended.signal);
    heldPolls.delete(wake);
    if (isReleased) return 'released';
    return clock.now() < deadline ? 'changed' : 'expired';
  };

  const handlePoll = async (
    params: ControlPullRequest,
  ): Promise<ControlPullResponse> => {
    const {instance} = params;
    metrics.count('vc_pulls_total');
    if (!isAgent(instance)) return createPollResponse();
    control.recordHighestOffset(Math.max(params.highest, params.offset));
    members.get(instance.upstream.id)?.releasePoll();
    const member = applyPoll(params, instance);
    if (params.cells.length > 0 || params.crashes.length > 0) {
      for (const listener of reportListeners) {
        listener(params.cells, params.crashes);
      }
    }
    const deadline = getDeadline(clock.now(), MAX_POLL_HOLD_MS);
    let mayHold = instance.state === 'live';
    for (;;) {
      const response = getPollUpdate(params, member);
      if (response || !mayHold || stopped.signal.aborted) {
        return response ?? createPollResponse();
      }
      const retryAt = getDeadline(clock.now(), SOURCE_RETRY_MS);
      const isWaiting = params.wantedVersion !== undefined;
      const until = isWaiting && retryAt < deadline ? retryAt : deadline;
      const end = await waitForChange(member, until);
      // The agent has sent a newer poll, or its member was removed.
      if (end === 'released') return createPollResponse();
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

  const getReachableDomains = (): string[] => {
    const known = getKnownDomains(control.getState());
    return [...known].filter(domain =>
      isRecent(domainsLastSeen.get(domain), CONTACT_TIMEOUT_MS),
    );
  };

  const hasAuthority = (): boolean => {
    const state = control.getState();
    // After a gap, the missing records may include a key withdrawal.
    if (!state.isComplete) return false;
    if (isRecent(control.getLastLogContact(), CONTACT_TIMEOUT_MS)) return true;
    const known = getKnownDomains(state);
    return getReachableDomains().length * 2 > known.size;
  };

  const isSelf = (instance: Instance) =>
    instance.id === self.id || instance.peerAddress === self.peerAddress;

  const getPeers = (): Instance[] => {
    const peers = new Map<string, Instance>();
    for (const instance of directory.getInstances()) {
      if (instance.role !== 'entry' || isSelf(instance)) continue;
      peers.set(instance.peerAddress, instance);
    }
    for (const {instance, lastSeenAt} of recentEntries.values()) {
      if (!isRecent(lastSeenAt, LIVENESS_MS)) continue;
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

  const applyPing = (ping: z.infer<typeof pingSchema>) => {
    const {instance} = ping;
    if (isSelf(instance)) return;
    control.recordHighestOffset(ping.highest);
    recordDomainSeen(instance.domain);
    if (instance.role !== 'entry') return;
    for (const [id, other] of recentEntries) {
      const isReplaced = other.instance.peerAddress === instance.peerAddress;
      if (id !== instance.id && isReplaced) recentEntries.delete(id);
    }
    recentEntries.set(instance.id, {instance, lastSeenAt: clock.now()});
  };

  const sendPing = async (target: Instance): Promise<void> => {
    const response = await callPeer(
      target.peerAddress,
      'member.ping',
      createPing(),
      PING_TIMEOUT_MS,
      stopped.signal,
    );
    const ping = response.ok ? pingSchema.safeParse(response.value) : null;
    if (ping?.success) {
      applyPing(ping.data);
    } else {
      // Pings another instance of the failure domain next time.
      const turn = pingIndexes.get(target.domain) ?? 0;
      pingIndexes.set(target.domain, turn + 1);
      metrics.count('vc_ping_failures_total');
    }
  };

  /**
   * Pings all seeds, and one instance of each failure domain that was not seen
   * within `PING_IDLE_MS`.
   */
  const pingIdleDomains = () => {
    const peers = getPeers();
    for (const peer of peers) if (isSeed(peer)) void sendPing(peer);
    const agents = [...members.values()].map(member => member.instance);
    for (const domain of getKnownDomains(control.getState())) {
      if (isRecent(domainsLastSeen.get(domain), PING_IDLE_MS)) continue;
      const targets = [...peers, ...agents].filter(
        target => target.domain === domain && !isSeed(target),
      );
      const turn = pingIndexes.get(domain) ?? 0;
      if (targets.length > 0) void sendPing(targets[turn % targets.length]);
    }
  };

  const run = async () => {
    while (!stopped.signal.aborted) {
      removeExpired();
      pingIdleDomains();
      await clock.waitUntil(getDeadline(clock.now(), TICK_MS), stopped.signal);
    }
  };

  /**
   * Removes entries that were not seen within `LIVENESS_MS`. Agents are removed
   * only if they are not listed either.
   */
  const removeExpired = () => {
    for (const [id, entry] of recentEntries) {
      if (!isRecent(entry.lastSeenAt, LIVENESS_MS)) recentEntries.delete(id);
    }
    const isExpired = [...members.values()].some(
      member =>
        !directory.isListed(member.instance.id) &&
        !isRecent(member.lastSeenAt, LIVENESS_MS),
    );
    if (isExpired) applyDirectory();
  };

  /** Whether an agent may get new work; ejection is not considered. */
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

  /**
   * The agents of a pool to which this entry sends requests; cached until the
   * members, their ejections or the control state change, or a poll expires.
   */
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
      isRecent(agent.member.polledAt, LIVENESS_MS),
    ).map(agent => agent.member);
    const ends = eligible.flatMap(member => {
      const pollEnd =
        member.polledAt === null ? [] : [member.polledAt + LIVENESS_MS + 1];
      return isMemberEjected(member)
        ? [...pollEnd, member.ejectedUntil!]
        : pollEnd;
    });
    const future = ends.filter(end => end > clock.now());
    subsets.set(pool, {until: Math.min(Infinity, ...future), members: chosen});
    return chosen;
  };

  const recordFailure = (upstream: string) => {
    const member = members.get(upstream);
    if (!member) return;
    member.failures += 1;
    // After an ejection, a single failure ejects the agent again.
    const wasEjectedBefore = member.ejections > 0;
    if (member.failures < EJECTION_THRESHOLD && !wasEjectedBefore) return;
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
    logger.warn('agent ejected after failed connections', {
      upstream,
      ejections: member.ejections,
    });
  };

  const recordLoad = (upstream: string, load: Load) => {
    const member = members.get(upstream);
    if (!member) return;
    // Only polls report staged and failed versions.
    const {staged, failedVersion} = member.load ?? {};
    member.load = {staged, failedVersion, ...load};
    member.lastSeenAt = clock.now();
    recordDomainSeen(member.instance.domain);
    member.failures = 0;
    member.ejections = 0;
    if (member.ejectedUntil === null) return;
    member.ejectedUntil = null;
    subsets.clear();
  };

  const getEntryStatus = (): EntryStatus => {
    const state = control.getState();
    const polling = [...members.values()].filter(member =>
      isRecent(member.polledAt, LIVENESS_MS),
    );
    return {
      instance: createPing().instance,
      epoch: context.epoch,
      highest: state.highest,
      isComplete: state.isComplete,
      agents: polling.map(({instance, offset}) => {
        // If the view has not changed since, the agent is as current as this
        // entry.
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
          isPolling: isRecent(member.polledAt, LIVENESS_MS),
          isLeaving: isMemberLeaving(member),
        })),
    stopped.signal,
  );

  return {
    name: 'membership',
    start: async () => {
      unsubscribe = control.subscribe(handleControlChange);
      directory.subscribe(applyDirectory);
      await directory.start();
      loop = run();
    },
    stop: async signal => {
      stopped.abort();
      unsubscribe();
      handleMemberChange();
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
    recordLoad,
    recordFailure,
    onReport: listener => void reportListeners.add(listener),
    hasAuthority,
    getEntryStatus,
    instanceListHistory: directory,
    getOffsetStatus,
    setLeaving: () => {
      isSelfLeaving = true;
    },
    getReachableDomains,
    rpcMethods: {
      'control.pull': defineMethod(controlPullRequestSchema, handlePoll),
      'control.status': defineMethod(
        z.union([offsetQuerySchema, z.strictObject({})]),
        query =>
          isOffsetQuery(query) ? getOffsetStatus(query) : getEntryStatus(),
      ),
      'member.ping': defineMethod(pingSchema, params => {
        applyPing(params);
        return createPing();
      }),
    },
  };
}
