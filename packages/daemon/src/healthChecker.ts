import * as net from 'node:net';

import type {Clock} from '@vanillacross/common';
import {getDeadline, requestJson} from '@vanillacross/common';
import type {CrashReport} from '@vanillacross/domain';
import {z} from 'zod';

/** Number of consecutive failed checks after which an upstream is down. */
const DOWN_AFTER_FAILURES = 2;
/**
 * Maximum number of interrupted requests kept to be attributed to a crash; the
 * oldest are dropped first.
 */
const MAX_INTERRUPTED = 256;
/**
 * Time after which an interrupted request is dropped if no crash was detected,
 * ms.
 */
const INTERRUPTED_RETENTION_MS = 10_000;

/** Response of `GET /v1/engine/status`. */
export const engineStatusSchema = z.object({
  epoch: z.string(),
  state: z.enum(['cold', 'warm']),
  weightVersion: z.number().int(),
  model: z.string().optional(),
  running: z.number().default(0),
  waiting: z.number().default(0),
  /** Staged versions, if the engine reports them. */
  staged: z.array(z.number().int()).optional(),
});

export type EngineStatus = z.infer<typeof engineStatusSchema>;

/** Dependencies and callbacks of a health checker. */
export interface HealthCheckerOptions {
  upstream: string;
  url: string;
  clock: Clock;
  intervalMs: number;
  timeoutMs: number;
  /** Returns the kind of the pool, or null before the first control view. */
  getKind: () => 'engine' | 'plain' | null;
  /** Called before each check is sent. */
  onCheckStart: () => void;
  /** Called with each status, before crashes are reported. */
  onStatus: (status: EngineStatus) => void;
  onCrash: (crash: CrashReport) => void;
}

interface InterruptedRequest {
  fingerprint: string;
  epoch: string;
  deadline: number;
}

/** Polls the upstream, and detects and reports its crashes. */
export class HealthChecker {
  private status: EngineStatus | null = null;
  private interrupted: InterruptedRequest[] = [];
  private failureCount = 0;
  /** Counts the processes of a plain service, which has no epoch of its own. */
  private plainEpoch = 0;
  private wake = new AbortController();
  private checkInProgress: Promise<void> | null = null;

  constructor(private readonly options: HealthCheckerOptions) {}

  /** Returns the newest status of an engine, or null before the first. */
  getStatus(): EngineStatus | null {
    return this.status;
  }

  /** Returns false after repeated failed checks. */
  isUp(): boolean {
    return this.failureCount < DOWN_AFTER_FAILURES;
  }

  /**
   * Returns the epoch of the running process. For a plain service, which has
   * none, the epoch is made from a counter.
   */
  getProcessEpoch(): string {
    return this.status?.epoch ?? `run-${this.plainEpoch}`;
  }

  /**
   * Records a request that ended without a complete response, and triggers a
   * check.
   */
  recordInterruptedRequest(fingerprint: string, epoch: string): void {
    const deadline = this.options.clock.now() + INTERRUPTED_RETENTION_MS;
    this.interrupted.push({fingerprint, epoch, deadline});
    if (this.interrupted.length > MAX_INTERRUPTED) this.interrupted.shift();
    this.wake.abort();
  }

  /** Checks periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.wake = new AbortController();
      await this.check();
      const until = getDeadline(
        this.options.clock.now(),
        this.options.intervalMs,
      );
      const wakeSignal = AbortSignal.any([signal, this.wake.signal]);
      await this.options.clock.waitUntil(until, wakeSignal);
    }
  }

  /** Checks now, or joins the check in progress. */
  check(): Promise<void> {
    this.checkInProgress ??= this.checkOnce().finally(() => {
      this.checkInProgress = null;
    });
    return this.checkInProgress;
  }

  private async checkOnce(): Promise<void> {
    const kind = this.options.getKind();
    this.options.onCheckStart();
    if (kind === 'engine') await this.checkEngine();
    else if (kind === 'plain') await this.checkPlain();
    const now = this.options.clock.now();
    // A restart may be detected before the interrupted request is recorded, so
    // each check compares the epochs of all recorded requests.
    const endedEpochs = new Set(this.interrupted.map(request => request.epoch));
    endedEpochs.delete(this.getProcessEpoch());
    for (const epoch of endedEpochs) this.reportCrash(epoch);
    this.interrupted = this.interrupted.filter(
      request => request.deadline > now,
    );
  }

  private async checkEngine(): Promise<void> {
    const answer = await requestJson({
      method: 'GET',
      url: `${this.options.url.replace(/\/$/, '')}/v1/engine/status`,
      timeoutMs: this.options.timeoutMs,
    });
    const parsed = answer.ok
      ? engineStatusSchema.safeParse(answer.value.body)
      : null;
    if (!parsed?.success) {
      this.handleFailure(!answer.ok && answer.error.tag === 'refused');
      return;
    }
    this.failureCount = 0;
    this.status = parsed.data;
    this.options.onStatus(parsed.data);
  }

  private checkPlain(): Promise<void> {
    const {hostname, port} = new URL(this.options.url);
    return new Promise(resolve => {
      const host = hostname.replace(/[[\]]/g, '');
      const socket = net.connect({host, port: Number(port || 80)});
      const timer = setTimeout(
        () => socket.destroy(new Error('timeout')),
        this.options.timeoutMs,
      );
      socket.once('connect', () => {
        if (this.failureCount >= DOWN_AFTER_FAILURES) this.plainEpoch += 1;
        this.failureCount = 0;
        socket.destroy();
      });
      socket.once('error', error => {
        this.handleFailure(
          (error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
        );
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private handleFailure(isRefused: boolean): void {
    this.failureCount += 1;
    // A refused connection shows that the process is gone; a slow response does
    // not.
    if (isRefused) this.reportCrash(this.getProcessEpoch());
  }

  /**
   * Reports the requests that were interrupted when this process of the upstream
   * ended.
   */
  private reportCrash(epoch: string): void {
    const endedRequests = this.interrupted.filter(
      request => request.epoch === epoch,
    );
    this.interrupted = this.interrupted.filter(
      request => request.epoch !== epoch,
    );
    const fingerprints = [
      ...new Set(endedRequests.map(request => request.fingerprint)),
    ];
    if (fingerprints.length === 0) return;
    this.options.onCrash({
      upstream: this.options.upstream,
      epoch,
      fingerprints,
    });
  }
}
