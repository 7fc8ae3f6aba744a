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

/** Part of a sample that was generated so far; immutable. */
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

/** Outcome of one attempt to generate a sample. */
export type SampleAttemptOutcome =
  | {tag: 'whole'; progress: SampleProgress}
  /** Interrupted; `progress` is null if none of it can be kept. */
  | {tag: 'cut'; progress: SampleProgress | null}
  /** Complete, but its weight spans do not match its tokens. */
  | {tag: 'discarded'; fault: WeightSpanError}
  | {tag: 'refused'; code: RefusalCode; retryAfterMs: number}
  /** The request itself was rejected; a retry cannot succeed. */
  | {tag: 'rejected'; detail: string};

/** Callbacks during an attempt. */
export interface AttemptObserver {
  onUpstream(upstream: string): void;
  /** Reports the weight version that the engine states for the newest token. */
  onVersion(version: number): void;
}

/** Longest text of one sample, characters. */
const MAX_TEXT_LENGTH = 16 * 1024 * 1024;
/** Longest event line, characters. */
const MAX_EVENT_LENGTH = 1024 * 1024;
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

/** Tokens in one event; must match the way agents count them. */
function countTokens({tokens, choices}: EngineEvent): number {
  if (typeof tokens === 'number') return tokens;
  if (tokens) return tokens.length;
  return choices.reduce(
    (sum, {text, token_ids: ids}) => sum + (ids?.length ?? (text ? 1 : 0)),
    0,
  );
}

/** Collects text and tokens from a stream of completion events. */
class EventCollector {
  text = '';
  tokens = 0;
  resumeTokens: unknown[] | null = [];
  isTooLong = false;
  private incompleteLine = '';
  private readonly decoder = new TextDecoder();

  constructor(private readonly observer: AttemptObserver) {}

  push(chunk: Buffer): void {
    const lines = (
      this.incompleteLine + this.decoder.decode(chunk, {stream: true})
    )
      .split('\n')
      .map(line => line.replace(/\r$/, ''));
    this.incompleteLine = lines.pop() ?? '';
    for (const line of lines) this.parseLine(line);
    this.isTooLong ||=
      this.incompleteLine.length > MAX_EVENT_LENGTH ||
      this.text.length > MAX_TEXT_LENGTH;
  }

  private parseLine(line: string): void {
    if (!line.startsWith('data:')) return;
    const json = parseJson(line.slice('data:'.length));
    const event = json.ok ? eventSchema.safeParse(json.value) : null;
    if (event?.success) this.addEvent(event.data);
  }

  private addEvent(event: EngineEvent): void {
    const count = countTokens(event);
    if (count === 0) return;
    this.tokens += count;
    for (const choice of event.choices) {
      this.text += choice.text ?? '';
      this.resumeTokens?.push(...(choice.token_ids ?? [choice.text ?? '']));
    }
    // Without one entry per token, the engine could not tell where to resume.
    if (this.resumeTokens?.length !== this.tokens) this.resumeTokens = null;
    if (event.weight_version !== undefined) {
      this.observer.onVersion(event.weight_version);
    }
  }
}

function extendProgress(
  before: SampleProgress,
  added: EventCollector,
  end: ResponseSummary,
): SampleProgress {
  const {resumeTokens} = added;
  return {
    text: before.text + added.text,
    tokens: before.tokens + added.tokens,
    resumeTokens:
      before.resumeTokens && resumeTokens
        ? [...before.resumeTokens, ...resumeTokens]
        : null,
    spans: joinSpans(before.spans, end.spans),
    engineEpoch: end.engineEpoch,
  };
}

/**
 * Progress after an interrupted response. Only tokens that the agent labelled
 * with weight versions are kept.
 */
function getPartialProgress(
  before: SampleProgress,
  added: EventCollector,
  partial: ResponseSummary | undefined,
): SampleProgress | null {
  if (added.tokens === 0) return before.tokens > 0 ? before : null;
  if (!partial || checkSpans(partial.spans, added.tokens)) return null;
  const progress = extendProgress(before, added, partial);
  return progress.resumeTokens ? progress : null;
}

/** Body of a completion request that resumes after the given progress. */
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

/** Sends one completion request for a sample and collects its tokens. */
export async function runSampleAttempt(
  dispatcher: Dispatcher,
  request: DispatchRequest,
  before: SampleProgress,
  observer: AttemptObserver,
): Promise<SampleAttemptOutcome> {
  const response = await dispatcher.dispatch(request);
  if (!response.ok) {
    const {tag: code, message, retryAfter = 0} = response.error;
    if (code === 'quarantined') return {tag: 'rejected', detail: message};
    return {tag: 'refused', code, retryAfterMs: retryAfter * MS_PER_SECOND};
  }
  const {status, body, finished, upstream} = response.value;
  observer.onUpstream(upstream);
  const added = new EventCollector(observer);
  for await (const chunk of body) {
    added.push(chunk);
    if (added.isTooLong) break;
  }
  if (added.isTooLong) return {tag: 'rejected', detail: 'the text is too long'};
  const end = await finished;
  if (isRejection(status)) {
    return {tag: 'rejected', detail: `the engine answered ${status}`};
  }
  if (status !== 200) {
    return {tag: 'refused', code: 'upstream_failed', retryAfterMs: 0};
  }
  if (!end.ok) {
    const progress = getPartialProgress(before, added, end.error.partial);
    return {tag: 'cut', progress};
  }
  // A resumed sample may already have been complete.
  const wasAlreadyComplete = before.tokens > 0 && added.tokens === 0;
  const fault = wasAlreadyComplete
    ? null
    : checkSpans(end.value.spans, added.tokens);
  if (fault) return {tag: 'discarded', fault};
  return {tag: 'whole', progress: extendProgress(before, added, end.value)};
}
