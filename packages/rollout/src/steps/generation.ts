import type {Clock, MonotonicMs} from '@vanillacross/common';
import {getDeadline} from '@vanillacross/common';
import {createParser} from 'eventsource-parser';
import {StringDecoder} from 'node:string_decoder';

import type {
  ResponseHead,
  UpstreamCall,
  UpstreamDialect,
} from '../model/index.js';
import type {
  Exchange,
  ExchangeFailure,
  HeldResponse,
  ResponseMemory,
  Upstream,
} from '../upstreams/index.js';
import {EventBoundary, startExchange} from '../upstreams/index.js';
import type {SampleText} from './sampleText.js';

/** Timeout for the first event from an engine, ms. */
const FIRST_EVENT_TIMEOUT_MS = 1_500;
/**
 * Time for which a run waits in the queue of an engine that makes events for
 * others, ms. Starting it elsewhere would lose its place.
 */
const MAX_ENGINE_QUEUE_MS = 4_000;
/** Age of an engine's last event up to which it counts as working, ms. */
const RECENT_EVENT_MS = 400;
/** Interval at which a queued run is looked at, ms. */
const QUEUE_CHECK_MS = 250;
/** Timeout between two events from an engine, ms. */
const NEXT_EVENT_TIMEOUT_MS = 800;
/** Delay of a timer above which this process must have been stalled, ms. */
const LATE_TIMER_MS = 100;
/** Time allowed after a stall to read data that has arrived meanwhile, ms. */
const STALL_GRACE_MS = 200;

/** Maximum size of one event together with its fields, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
/**
 * Maximum length of a text, UTF-16 code units. Texts are kept between the runs of
 * a sample, so each must be small in proportion to what was asked for.
 */
const MAX_TEXT_LENGTH = {
  base: 64 * 1024,
  perEvent: 256,
  total: 4 * 1024 * 1024,
};

/** Decodes a version of the weights; null if the text is none. */
function readVersion(text: string): number | null {
  const version = /^\d+$/.test(text.trim()) ? Number(text) : NaN;
  return Number.isSafeInteger(version) ? version : null;
}

/** Returns the maximum length of a text of so many events. */
function getMaxTextLength(events: number): number {
  const {base, perEvent, total} = MAX_TEXT_LENGTH;
  return Math.min(base + perEvent * events, total);
}

/** Outcome of a generation. */
export type GenerationOutcome =
  | {tag: 'complete'}
  /**
   * The engine has not executed the request; the status is 0 if the request
   * could not be sent.
   */
  | {tag: 'not_run'; status: number}
  /** The engine responded with an error status. */
  | {tag: 'failed'; status: number}
  /** The request can never succeed (status 422). */
  | {tag: 'impossible'}
  /** The stream failed; the text received so far remains valid. */
  | {tag: 'broken'; reason: string}
  /** The response is larger than this process can hold; its text is no use. */
  | {tag: 'too_large'}
  /** The connection was lost, possibly because the engine crashed. */
  | {tag: 'lost'; detail: string}
  /**
   * The engine uses a version of the weights that the sample does not allow.
   */
  | {tag: 'wrong_version'; version: number};

export interface GenerationOptions {
  upstream: Upstream;
  dialect: UpstreamDialect;
  clock: Clock;
  call: UpstreamCall;
  body: Buffer;
  memory: ResponseMemory;
  text: SampleText;
  /** Maximum number of events; an event holds one token at least. */
  maxEvents: number;
  model: string | null;
  minVersion: number;
  isSingleVersion: boolean;
  /** Whether the run may wait in the engine's queue. */
  mayQueue: boolean;
  onDone: (outcome: GenerationOutcome) => void;
}

/** One run of a sample on one engine; appends complete events to its text. */
export class Generation {
  readonly upstream: Upstream;
  private readonly exchange: Exchange;
  private head: ResponseHead | null = null;
  private version = 0;
  private nextVersion: number | null = null;
  private isDone = false;
  private lastEventAt: MonotonicMs | null = null;
  private cancelIdleTimer: () => void = () => undefined;
  private readonly parser;
  /** Keeps the bytes of a character that is split between chunks. */
  private readonly decoder = new StringDecoder('utf8');
  private readonly boundary = new EventBoundary();
  private bytesSinceEvent = 0;
  private readonly held: HeldResponse;

  constructor(private readonly options: GenerationOptions) {
    this.upstream = options.upstream;
    this.parser = createParser({
      onEvent: event => this.handleEvent(event.id, event.data),
      // The parser reports fields that are not part of the event stream format as
      // errors; the version field is one of them.
      onError: error => {
        if (error.field === options.dialect.versionField) {
          this.announceVersion(error.value ?? '');
        }
      },
    });
    this.held = options.memory.hold(() => {
      this.upstream.recordFailure();
      this.settle({tag: 'too_large'});
    });
    this.startIdleTimer(FIRST_EVENT_TIMEOUT_MS);
    this.exchange = startExchange(
      options.upstream,
      options.dialect,
      options.clock,
      options.call,
      options.body,
      {
        onHead: head => this.handleHead(head),
        onData: chunk => this.handleChunk(chunk),
        onEnd: () => this.finish(),
        onFailure: failure => this.handleFailure(failure),
      },
    );
  }

  get startedAt(): MonotonicMs {
    return this.exchange.startedAt;
  }

  /** Aborts the run without calling `onDone`. */
  abort(): void {
    if (this.isDone) return;
    this.isDone = true;
    this.held.release();
    this.cancelIdleTimer();
    this.exchange.abort();
  }

  private settle(outcome: GenerationOutcome): void {
    if (this.isDone) return;
    this.isDone = true;
    this.held.release();
    this.cancelIdleTimer();
    this.exchange?.abort();
    this.options.onDone(outcome);
  }

  private startIdleTimer(timeoutMs: number): void {
    this.cancelIdleTimer();
    const {clock} = this.options;
    const deadline = getDeadline(clock.now(), timeoutMs);
    this.cancelIdleTimer = clock.callAt(deadline, () => {
      if (clock.now() - deadline > LATE_TIMER_MS) {
        return this.startIdleTimer(STALL_GRACE_MS);
      }
      if (this.isQueued()) return this.startIdleTimer(QUEUE_CHECK_MS);
      this.upstream.recordFailure();
      this.settle({tag: 'broken', reason: 'silent'});
    });
  }

  /** Whether the engine works on others before it begins this run. */
  private isQueued(): boolean {
    const {mayQueue, clock, upstream} = this.options;
    if (!mayQueue || this.lastEventAt !== null) return false;
    if (clock.now() - this.startedAt > MAX_ENGINE_QUEUE_MS) return false;
    return upstream.getLastEventAgeMs() <= RECENT_EVENT_MS;
  }

  private handleHead(head: ResponseHead): void {
    this.head = head;
    if (head.status !== 200 || head.weightVersion === null) return;
    this.version = head.weightVersion;
    this.recordVersion(this.version);
  }

  /**
   * Notes the version of the next events. A text with an unreadable version
   * could not be listed, as no process could decode its result.
   */
  private announceVersion(text: string): void {
    this.nextVersion = readVersion(text);
    if (this.nextVersion !== null) return;
    this.upstream.recordFailure();
    this.settle({tag: 'broken', reason: 'unreadable version'});
  }

  private recordVersion(version: number): void {
    const {model, minVersion, upstream} = this.options;
    if (model !== null) upstream.recordVersion(model, version);
    if (version < minVersion) this.settle({tag: 'wrong_version', version});
  }

  private handleChunk(chunk: Buffer): void {
    if (this.isDone) return;
    this.held.add(chunk.length);
    if (this.head?.status !== 200 || this.isDone) return;
    this.bytesSinceEvent += chunk.length;
    this.boundary.add(chunk);
    this.parser.feed(this.decoder.write(chunk));
    if (this.bytesSinceEvent <= MAX_EVENT_BYTES || this.isDone) return;
    this.upstream.recordFailure();
    this.settle({tag: 'broken', reason: 'an event is too large'});
  }

  private handleEvent(id: string | undefined, data: string): void {
    if (this.isDone) return;
    if (this.nextVersion !== null) {
      this.version = this.nextVersion;
      this.nextVersion = null;
      this.recordVersion(this.version);
      if (this.isDone) return;
    }
    const {text, maxEvents, isSingleVersion, minVersion} = this.options;
    const isExpected = Number(id) <= maxEvents;
    const {software} = this.upstream.entry;
    if (!isExpected || !text.append(Number(id), data, this.version, software)) {
      return this.settle({tag: 'broken', reason: `unexpected event ${id}`});
    }
    // Only an event is progress: an engine that sends single bytes is stalled.
    this.startIdleTimer(NEXT_EVENT_TIMEOUT_MS);
    this.bytesSinceEvent = 0;
    if (text.length > getMaxTextLength(maxEvents)) {
      this.upstream.recordFailure();
      return this.settle({tag: 'too_large'});
    }
    if (!text.isUsable(minVersion, isSingleVersion)) {
      return this.settle({tag: 'wrong_version', version: this.version});
    }
    this.recordEventInterval();
  }

  private recordEventInterval(): void {
    const now = this.options.clock.now();
    if (this.lastEventAt !== null) {
      this.upstream.recordEventInterval(now - this.lastEventAt);
    }
    this.lastEventAt = now;
  }

  private finish(): void {
    const head = this.head;
    if (!head) return this.settle({tag: 'broken', reason: 'no response head'});
    if (head.isNotRun || head.isMisdirected) {
      return this.settle({tag: 'not_run', status: head.status});
    }
    if (head.status === 422) return this.settle({tag: 'impossible'});
    if (head.status !== 200) {
      this.upstream.recordFailure();
      return this.settle({tag: 'failed', status: head.status});
    }
    if (!this.boundary.isBetweenEvents()) {
      this.upstream.recordFailure();
      return this.settle({tag: 'broken', reason: 'cut off in an event'});
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
