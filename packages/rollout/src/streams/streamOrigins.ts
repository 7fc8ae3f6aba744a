import type {
  Clock,
  Metrics,
  MonotonicMs,
  PoolId,
  RequestId,
  SoftwareVersion,
} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {MIN_STREAM_LIFE_MS, createKnownOrigin} from '@vanillacross/domain';

import type {ServedVersionsTask} from './servedVersionsTask.js';

/** Maximum number of streams whose software version is remembered. */
const MAX_STREAMS = 100_000;
/** Minimum delay within which streams that began are published together, ms. */
const MIN_PUBLISH_DELAY_MS = 100;
/**
 * Delay per process of the deployment, ms, so that all processes together append
 * 200 records a second at most.
 */
const PUBLISH_DELAY_PER_PROCESS_MS = 5;
/** Maximum number of streams in one record. */
const MAX_PUBLISHED_IDS = 500;

interface StreamOrigin {
  pool: PoolId;
  software: SoftwareVersion;
  at: MonotonicMs;
  /** Whether other processes have been told, or told this one. */
  isPublished: boolean;
}

/** Tells the other processes at which software version streams began. */
export interface StreamPublisher {
  publishStreams(
    pool: PoolId,
    software: SoftwareVersion,
    ids: readonly RequestId[],
  ): void;
}

export interface StreamOriginsOptions {
  served: ServedVersionsTask;
  publisher: StreamPublisher;
  getProcessCount: () => number;
  clock: Clock;
  metrics: Metrics;
}

/**
 * The software version at which each recent stream of a caller began. While
 * several versions can have begun a stream, processes publish theirs. Streams
 * of a process that was killed before it published them remain in doubt.
 */
export class StreamOrigins {
  /** In the order in which they became known. */
  private readonly streams = new Map<RequestId, StreamOrigin>();
  private readonly unpublished = new Set<RequestId>();
  private isPublishScheduled = false;

  constructor(private readonly options: StreamOriginsOptions) {
    options.served.onChange(pool => this.publishRecent(pool));
  }

  /** Returns what is known of the software version that began a stream. */
  getOrigin(pool: PoolId, id: RequestId | null): TextOrigin {
    const stream = id === null ? undefined : this.streams.get(id);
    if (stream?.pool === pool) return createKnownOrigin(stream.software);
    const sole = this.options.served.getSoleVersion(pool);
    return sole === null ? {tag: 'unknown'} : createKnownOrigin(sole);
  }

  /** Whether a stream of the pool may begin at this software version. */
  mayBegin(pool: PoolId, software: SoftwareVersion): boolean {
    return this.options.served.mayBegin(pool, software);
  }

  /** Notes that this process passes on a stream of this software version. */
  recordStream(pool: PoolId, id: RequestId, software: SoftwareVersion): void {
    this.add(id, {
      pool,
      software,
      at: this.options.clock.now(),
      isPublished: false,
    });
    if (this.options.served.mustPublish(pool)) this.schedulePublish(id);
  }

  /** Applies what another process has published. */
  applyStreams(
    pool: PoolId,
    software: SoftwareVersion,
    ids: readonly RequestId[],
  ): void {
    const at = this.options.clock.now();
    for (const id of ids) {
      this.add(id, {pool, software, at, isPublished: true});
    }
  }

  /** Forgets streams that no caller takes up any more. */
  removeExpired(): void {
    const oldest = this.options.clock.now() - MIN_STREAM_LIFE_MS;
    for (const [id, {at}] of this.streams) {
      if (at >= oldest && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(id);
    }
  }

  private add(id: RequestId, stream: StreamOrigin): void {
    this.streams.delete(id);
    this.streams.set(id, stream);
  }

  private schedulePublish(id: RequestId): void {
    this.unpublished.add(id);
    if (this.isPublishScheduled) return;
    this.isPublishScheduled = true;
    const {clock, getProcessCount} = this.options;
    const delayMs = Math.max(
      MIN_PUBLISH_DELAY_MS,
      getProcessCount() * PUBLISH_DELAY_PER_PROCESS_MS,
    );
    clock.callAt(getDeadline(clock.now(), delayMs), () => {
      this.isPublishScheduled = false;
      this.publish();
    });
  }

  /** Publishes the streams that began while it was clear where they began. */
  private publishRecent(pool: PoolId): void {
    if (!this.options.served.mustPublish(pool)) return;
    for (const [id, stream] of this.streams) {
      if (stream.pool === pool && !stream.isPublished) this.schedulePublish(id);
    }
  }

  private publish(): void {
    const groups = new Map<string, RequestId[]>();
    for (const id of this.unpublished) {
      const stream = this.streams.get(id);
      if (!stream) continue;
      stream.isPublished = true;
      const key = JSON.stringify([stream.pool, stream.software]);
      const group = groups.get(key) ?? [];
      group.push(id);
      groups.set(key, group);
    }
    this.unpublished.clear();
    for (const ids of groups.values()) this.publishGroup(ids);
  }

  private publishGroup(ids: readonly RequestId[]): void {
    const {pool, software} = this.streams.get(ids[0])!;
    const {publisher, metrics} = this.options;
    for (let start = 0; start < ids.length; start += MAX_PUBLISHED_IDS) {
      const part = ids.slice(start, start + MAX_PUBLISHED_IDS);
      publisher.publishStreams(pool, software, part);
      metrics.count('vc_streams_published', {}, part.length);
    }
  }
}
