import * as net from 'node:net';

import type {Clock} from '@vanillacross/common';
import {getDeadline, requestJson} from '@vanillacross/common';
import type {CrashReport} from '@vanillacross/domain';
import {z} from 'zod';

/** Failed checks in a row after which an upstream counts as down. */
const DOWN_AFTER = 2;
/** Requests that were cut and may belong to a crash. */
const MAX_CUTS = 256;
/** A cut that no crash explains within this time is forgotten, ms. */
const CUT_MEMORY_MS = 10_000;

/** Answer of `GET /v1/engine/status`. */
export const engineStatusSchema = z.object({
  epoch: z.string(),
  state: z.enum(['cold', 'warm']),
  weightVersion: z.number().int(),
  model: z.string().optional(),
  running: z.number().default(0),
  waiting: z.number().default(0),
  /** Versions that are staged, where the engine tells. */
  staged: z.array(z.number().int()).optional(),
});

export type EngineStatus = z.infer<typeof engineStatusSchema>;

/** What a watcher needs and whom it tells. */
export interface HealthCheckerOptions {
  upstream: string;
  url: string;
  clock: Clock;
  intervalMs: number;
  timeoutMs: number;
  /** Kind of the pool; null until the first control view. */
  getKind: () => 'engine' | 'plain' | null;
  /** Called before each check is sent. */
  onCheckStart: () => void;
  /** Called with each status, before crash handling. */
  onStatus: (status: EngineStatus) => void;
  onCrash: (crash: CrashReport) => void;
}

interface Cut {
  fingerprint: string;
  epoch: string;
  deadline: number;
}

/** Polls the upstream and decides when it has crashed. */
export class HealthChecker {
  private status: EngineStatus | null = null;
  private cuts: Cut[] = [];
  private failures = 0;
  /** Counts processes of a plain service, which has no epoch of its own. */
  private plainRun = 0;
  private wake = new AbortController();
  private checking: Promise<void> | null = null;

  constructor(private readonly options: HealthCheckerOptions) {}

  /** Newest status of an engine; null before the first. */
  getStatus(): EngineStatus | null {
    return this.status;
  }

  /** False while checks fail. */
  isUp(): boolean {
    return this.failures < DOWN_AFTER;
  }

  /** Epoch of the running process; made up for plain services. */
  getProcessEpoch(): string {
    return this.status?.epoch ?? `run-${this.plainRun}`;
  }

  /** Records a request that the upstream cut, and checks the upstream. */
  recordCutRequest(fingerprint: string, epoch: string): void {
    const deadline = this.options.clock.now() + CUT_MEMORY_MS;
    this.cuts.push({fingerprint, epoch, deadline});
    if (this.cuts.length > MAX_CUTS) this.cuts.shift();
    this.wake.abort();
  }

  /** Checks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.wake = new AbortController();
      await this.check();
      const until = getDeadline(
        this.options.clock.now(),
        this.options.intervalMs,
      );
      const either = AbortSignal.any([signal, this.wake.signal]);
      await this.options.clock.waitUntil(until, either);
    }
  }

  /** Checks now; joins a check that is running. */
  check(): Promise<void> {
    this.checking ??= this.checkOnce().finally(() => {
      this.checking = null;
    });
    return this.checking;
  }

  private async checkOnce(): Promise<void> {
    const kind = this.options.getKind();
    this.options.onCheckStart();
    if (kind === 'engine') await this.checkEngine();
    else if (kind === 'plain') await this.checkPlain();
    const now = this.options.clock.now();
    // A cut can be noticed before or after the new process is.
    const ended = new Set(this.cuts.map(cut => cut.epoch));
    ended.delete(this.getProcessEpoch());
    for (const epoch of ended) this.reportCrash(epoch);
    this.cuts = this.cuts.filter(cut => cut.deadline > now);
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
      this.noteFailure(!answer.ok && answer.error.tag === 'refused');
      return;
    }
    this.failures = 0;
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
        if (this.failures >= DOWN_AFTER) this.plainRun += 1;
        this.failures = 0;
        socket.destroy();
      });
      socket.once('error', error => {
        this.noteFailure(
          (error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
        );
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private noteFailure(isRefused: boolean): void {
    this.failures += 1;
    // A refused connection shows that the process is gone; a slow answer
    // does not.
    if (isRefused) this.reportCrash(this.getProcessEpoch());
  }

  /** Reports the requests that ended when this run of the upstream did. */
  private reportCrash(epoch: string): void {
    const ended = this.cuts.filter(cut => cut.epoch === epoch);
    this.cuts = this.cuts.filter(cut => cut.epoch !== epoch);
    const fingerprints = [...new Set(ended.map(cut => cut.fingerprint))];
    if (fingerprints.length === 0) return;
    this.options.onCrash({
      upstream: this.options.upstream,
      epoch,
      fingerprints,
    });
  }
}
