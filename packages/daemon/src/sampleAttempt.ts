import {parseJson} from '@vanillacross/common';
import type {WeightSpan, WeightSpanError} from '@vanillacross/domain';
import {checkSpans, joinSpans} from '@vanillacross/domain';
import {z} from 'zod';

import type {
  ResponseSummary,
  Dispatcher,
  DispatchRequest,
  RefusalCode,
} from './types.js';

/** What was generated of a sample so far; immutable. */
export interface SampleProgress {
  text: string;
  tokens: number;
  /** Token ids or texts for `resume_tokens`; null if it cannot be resumed. */
  resumeTokens: readonly unknown[] | null;
  spans: readonly WeightSpan[];
  engineEpoch: string;
}

export const emptyProgress: SampleProgress = {
  text: '',
  tokens: 0,
  resumeTokens: [],
  spans: [],
  engineEpoch: '',
};

/** How one attempt at a sample ended. */
export type SampleAttemptOutcome =
  | {tag: 'whole'; progress: SampleProgress}
  /** Cut; `progress` is null if nothing of it can be kept. */
  | {tag: 'cut'; progress: SampleProgress | null}
  /** Whole, but its spans do not label its tokens. */
  | {tag: 'discarded'; fault: WeightSpanError}
  | {tag: 'refused'; code: RefusalCode; retryAfterMs: number}
  /** The upstream rejects the request itself; a repeat changes nothing. */
  | {tag: 'rejected'; detail: string};

/** Hears what an attempt does while it runs. */
export interface AttemptObserver {
  onUpstream(upstream: string): void;
  /** Version that the engine names for the newest token. */
  onVersion(version: number): void;
}

/** Text of one sample that is held, characters. */
const MAX_TEXT = 16 * 1024 * 1024;
/** Longest event that is read, characters. */
const MAX_EVENT = 1024 * 1024;
const MS_PER_SECOND = 1_000;

const eventSchema = z.object({
  weight_version: z.number().int().optional(),
  tokens: z.union([z.number(), z.array(z.unknown())]).optional(),
  choices: z
    .array(
      z.object({
        text: z.string().nullish(),
        token_ids: z.array(z.unknown()).nullish(),
      }),
    )
    .default([]),
});
type EngineEvent = z.infer<typeof eventSchema>;

/** Tokens in one event, counted in the way in which agents count them. */
function countTokens({tokens, choices}: EngineEvent): number {
  if (typeof tokens === 'number') return tokens;
  if (tokens) return tokens.length;
  return choices.reduce(
    (sum, {text, token_ids: ids}) => sum + (ids?.length ?? (text ? 1 : 0)),
    0,
  );
}

/** Collects the tokens of a stream of completion events. */
class Collector {
  text = '';
  tokens = 0;
  resume: unknown[] | null = [];
  isTooLong = false;
  private rest = '';
  private readonly decoder = new TextDecoder();

  constructor(private readonly observer: AttemptObserver) {}

  push(chunk: Buffer): void {
    const lines = (this.rest + this.decoder.decode(chunk, {stream: true}))
      .split('\n')
      .map(line => line.replace(/\r$/, ''));
    this.rest = lines.pop() ?? '';
    for (const line of lines) this.readLine(line);
    this.isTooLong ||=
      this.rest.length > MAX_EVENT || this.text.length > MAX_TEXT;
  }

  private readLine(line: string): void {
    if (!line.startsWith('data:')) return;
    const json = parseJson(line.slice('data:'.length));
    const event = json.ok ? eventSchema.safeParse(json.value) : null;
    if (event?.success) this.add(event.data);
  }

  private add(event: EngineEvent): void {
    const count = countTokens(event);
    if (count === 0) return;
    this.tokens += count;
    for (const choice of event.choices) {
      this.text += choice.text ?? '';
      this.resume?.push(...(choice.token_ids ?? [choice.text ?? '']));
    }
    // Without one entry per token the engine could not place the next one.
    if (this.resume?.length !== this.tokens) this.resume = null;
    if (event.weight_version !== undefined) {
      this.observer.onVersion(event.weight_version);
    }
  }
}

function extend(
  before: SampleProgress,
  made: Collector,
  end: ResponseSummary,
): SampleProgress {
  const {resume} = made;
  return {
    text: before.text + made.text,
    tokens: before.tokens + made.tokens,
    resumeTokens:
      before.resumeTokens && resume
        ? [...before.resumeTokens, ...resume]
        : null,
    spans: joinSpans(before.spans, end.spans),
    engineEpoch: end.engineEpoch,
  };
}

/** What is kept of a cut answer: only tokens that the agent labelled (R1). */
function getPartial(
  before: SampleProgress,
  made: Collector,
  partial: ResponseSummary | undefined,
): SampleProgress | null {
  if (made.tokens === 0) return before.tokens > 0 ? before : null;
  if (!partial || checkSpans(partial.spans, made.tokens)) return null;
  const progress = extend(before, made, partial);
  return progress.resumeTokens ? progress : null;
}

/** The body of a completion request that continues from earlier tokens. */
export function getSampleBody(
  model: string,
  spec: {prompt: string; maxTokens: number},
  seed: number,
  progress: SampleProgress,
): Buffer {
  const resumed =
    progress.tokens > 0 ? {resume_tokens: progress.resumeTokens ?? []} : {};
  return Buffer.from(
    JSON.stringify({
      model,
      prompt: spec.prompt,
      max_tokens: spec.maxTokens,
      seed,
      stream: true,
      ...resumed,
    }),
  );
}

function isRejection(status: number): boolean {
  return status >= 400 && status < 500 && status !== 408 && status !== 429;
}

/** Runs one request for a sample and collects what it generates. */
export async function runSampleAttempt(
  dispatcher: Dispatcher,
  request: DispatchRequest,
  before: SampleProgress,
  observer: AttemptObserver,
): Promise<SampleAttemptOutcome> {
  const answer = await dispatcher.dispatch(request);
  if (!answer.ok) {
    const {tag: code, message, retryAfter = 0} = answer.error;
    if (code === 'quarantined') return {tag: 'rejected', detail: message};
    return {tag: 'refused', code, retryAfterMs: retryAfter * MS_PER_SECOND};
  }
  const {status, body, finished, upstream} = answer.value;
  observer.onUpstream(upstream);
  const made = new Collector(observer);
  for await (const chunk of body) {
    made.push(chunk);
    if (made.isTooLong) break;
  }
  if (made.isTooLong) return {tag: 'rejected', detail: 'the text is too long'};
  const end = await finished;
  if (isRejection(status)) {
    return {tag: 'rejected', detail: `the engine answered ${status}`};
  }
  if (status !== 200) {
    return {tag: 'refused', code: 'upstream_failed', retryAfterMs: 0};
  }
  if (!end.ok) {
    const progress = getPartial(before, made, end.error.partial);
    return {tag: 'cut', progress};
  }
  // A resumed sample may have been complete already.
  const isContinued = before.tokens > 0 && made.tokens === 0;
  const fault = isContinued ? null : checkSpans(end.value.spans, made.tokens);
  if (fault) return {tag: 'discarded', fault};
  return {tag: 'whole', progress: extend(before, made, end.value)};
}
