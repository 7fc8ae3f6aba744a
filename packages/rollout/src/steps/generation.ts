import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {createParser} from 'eventsource-parser';

import type {
  ResponseHead,
  UpstreamCall,
  UpstreamDialect,
} from '../model/index.js';
import type {Exchange, ExchangeFailure, Upstream} from '../upstreams/index.js';
import {startExchange} from '../upstreams/index.js';
import type {SampleText} from './sampleText.js';

/** Time in which an engine must send the first event, ms. */
const FIRST_EVENT_MS = 1_500;
/** Time in which an engine must send the next event, ms. */
const NEXT_EVENT_MS = 800;
/** A timer that fires this late tells that this process stood still, ms. */
const LATE_TIMER_MS = 100;
/** Time in which bytes that wait after a standstill are read, ms. */
const STANDSTILL_GRACE_MS = 200;

/** How a generation ended. */
export type GenerationOutcome =
  | {tag: 'complete'}
  /** The engine has not run it. */
  | {tag: 'not_run'; status: number}
  /** The engine counted a failed attempt. */
  | {tag: 'failed'; status: number}
  /** The request can never be done. */
  | {tag: 'impossible'}
  /** The stream broke off; the text so far holds. */
  | {tag: 'broken'; reason: string}
  /** The connection was lost; the engine may have crashed. */
  | {tag: 'lost'; detail: string}
  /** The engine serves weights that the sample must not have. */
  | {tag: 'wrong_version'; version: number};

export interface GenerationOptions {
  upstream: Upstream;
  dialect: UpstreamDialect;
  clock: Clock;
  call: UpstreamCall;
  body: Buffer;
  text: SampleText;
  model: string | null;
  minVersion: number;
  isSingleVersion: boolean;
  onDone: (outcome: GenerationOutcome) => void;
}

/** One run of a sample at one engine; appends whole events to its text. */
export class Generation {
  readonly upstream: Upstream;
  private readonly exchange: Exchange;
  private head: ResponseHead | null = null;
  private version = 0;
  private nextVersion: number | null = null;
  private isDone = false;
  private lastEventAt: MonotonicMs | null = null;
  private cancelSilence: () => void = () => undefined;
  private readonly parser;

  constructor(private readonly options: GenerationOptions) {
    this.upstream = options.upstream;
    this.parser = createParser({
      onEvent: event => this.takeEvent(event.id, event.data),
      onError: error => {
        if (error.field === options.dialect.versionField) {
          this.nextVersion = Number(error.value);
        }
      },
    });
    this.watchSilence(FIRST_EVENT_MS);
    this.exchange = startExchange(
      options.upstream,
      options.dialect,
      options.clock,
      options.call,
      options.body,
      {
        onHead: head => this.takeHead(head),
        onData: chunk => this.takeChunk(chunk),
        onEnd: () => this.finish(),
        onFailure: failure => this.handleFailure(failure),
      },
    );
  }

  get startedAt(): MonotonicMs {
    return this.exchange.startedAt;
  }

  /** Ends the run; `onDone` is not called. */
  abort(): void {
    if (this.isDone) return;
    this.isDone = true;
    this.cancelSilence();
    this.exchange.abort();
  }

  private settle(outcome: GenerationOutcome): void {
    if (this.isDone) return;
    this.isDone = true;
    this.cancelSilence();
    this.exchange?.abort();
    this.options.onDone(outcome);
  }

  private watchSilence(spanMs: number): void {
    this.cancelSilence();
    const {clock} = this.options;
    const deadline = getDeadline(clock.now(), spanMs);
    this.cancelSilence = clock.callAt(deadline, () => {
      if (clock.now() - deadline > LATE_TIMER_MS) {
        return this.watchSilence(STANDSTILL_GRACE_MS);
      }
      this.upstream.recordFailure();
      this.settle({tag: 'broken', reason: 'silent'});
    });
  }

  private takeHead(head: ResponseHead): void {
    this.head = head;
    if (head.status !== 200 || head.weightVersion === null) return;
    this.version = head.weightVersion;
    this.noteVersion(this.version);
  }

  private noteVersion(version: number): void {
    const {model, minVersion, upstream} = this.options;
    if (model !== null) upstream.recordVersion(model, version);
    if (version < minVersion) this.settle({tag: 'wrong_version', version});
  }

  private takeChunk(chunk: Buffer): void {
    if (this.head?.status !== 200 || this.isDone) return;
    this.watchSilence(NEXT_EVENT_MS);
    this.parser.feed(chunk.toString('utf8'));
  }

  private takeEvent(id: string | undefined, data: string): void {
    if (this.isDone) return;
    if (this.nextVersion !== null) {
      this.version = this.nextVersion;
      this.nextVersion = null;
      this.noteVersion(this.version);
      if (this.isDone) return;
    }
    const {text, isSingleVersion, minVersion} = this.options;
    if (!text.append(Number(id), data, this.version)) {
      return this.settle({tag: 'broken', reason: `unexpected event ${id}`});
    }
    if (!text.isUsable(minVersion, isSingleVersion)) {
      return this.settle({tag: 'wrong_version', version: this.version});
    }
    this.notePace();
  }

  private notePace(): void {
    const now = this.options.clock.now();
    if (this.lastEventAt !== null) {
      this.upstream.recordEventInterval(now - this.lastEventAt);
    }
    this.lastEventAt = now;
  }

  private finish(): void {
    const head = this.head;
    if (!head) return this.settle({tag: 'broken', reason: 'no head'});
    if (head.isNotRun || head.isMisdirected) {
      return this.settle({tag: 'not_run', status: head.status});
    }
    if (head.status === 422) return this.settle({tag: 'impossible'});
    if (head.status !== 200) {
      this.upstream.recordFailure();
      return this.settle({tag: 'failed', status: head.status});
    }
    if (head.signature === null) {
      return this.settle({tag: 'broken', reason: 'no signature'});
    }
    this.upstream.recordSuccess();
    this.settle({tag: 'complete'});
  }

  private handleFailure(failure: ExchangeFailure): void {
    this.upstream.recordFailure();
    if (failure.tag === 'not_sent') {
      return this.settle({tag: 'not_run', status: 0});
    }
    const {tag, detail} = failure;
    if (tag === 'lost') return this.settle({tag, detail});
    this.settle({tag: 'broken', reason: `${tag}: ${detail}`});
  }
}
