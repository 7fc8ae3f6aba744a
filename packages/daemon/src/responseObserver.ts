import type {IncomingHttpHeaders} from 'node:http';
import {StringDecoder} from 'node:string_decoder';

import type {LiveVersions, WeightSpan} from '@vanillacross/domain';
import {
  addTokens,
  MAX_REPORTED_TOKENS,
  noObservedSpans,
} from '@vanillacross/domain';
import type {ObservedSpans} from '@vanillacross/domain';

/** Maximum size of an event or JSON response that is parsed, bytes. */
const MAX_INSPECTED_BYTES = 8 * 1024 * 1024;
const SSE_END = '[DONE]';

/** Token counts of one response. */
export interface TokenUsage {
  prompt: number;
  generated: number;
}

/** What was observed in one response. */
export interface ResponseObservation {
  spans: WeightSpan[];
  usage: TokenUsage;
  mismatches: number;
  /** False for an event stream that lacks its end event. */
  isEnded: boolean;
}

/** Parses an engine's response while it is forwarded, without changing it. */
export interface ResponseObserver {
  write(chunk: Buffer): void;
  end(): ResponseObservation;
}

interface Choice {
  text?: unknown;
  token_ids?: unknown;
  delta?: {content?: unknown};
  message?: {content?: unknown};
}

interface EngineMessage {
  weight_version?: unknown;
  weight_spans?: unknown;
  tokens?: unknown;
  choices?: Choice[];
  usage?: {prompt_tokens?: unknown; completion_tokens?: unknown} | null;
}

function parseCount(value: unknown): number | null {
  const isCount =
    Number.isInteger(value) &&
    (value as number) >= 0 &&
    (value as number) <= MAX_REPORTED_TOKENS;
  return isCount ? (value as number) : null;
}

/**
 * Counts the tokens of one event: from its `tokens` field, from its token ids,
 * or as one per choice with text.
 */
function countTokens(message: EngineMessage): number {
  const reported = parseCount(message.tokens);
  if (reported !== null) return reported;
  if (Array.isArray(message.tokens)) return message.tokens.length;
  let tokens = 0;
  for (const choice of message.choices ?? []) {
    const text = choice.text ?? choice.delta?.content;
    if (Array.isArray(choice.token_ids)) tokens += choice.token_ids.length;
    else if (typeof text === 'string' && text !== '') tokens += 1;
  }
  return tokens;
}

function parseMessage(text: string): EngineMessage | null {
  try {
    const value = JSON.parse(text) as unknown;
    if (typeof value !== 'object' || value === null) return null;
    const message = value as EngineMessage;
    const choices = Array.isArray(message.choices) ? message.choices : [];
    return {
      ...message,
      choices: choices.filter(c => c && typeof c === 'object'),
    };
  } catch {
    return null;
  }
}

/** Accumulates spans and usage; shared by the SSE and JSON observers. */
class ObservationBuilder {
  spans: ObservedSpans = noObservedSpans;
  usage: TokenUsage = {prompt: 0, generated: 0};
  countedTokens = 0;

  constructor(
    private readonly getLive: () => LiveVersions,
    private readonly now: () => number,
  ) {}

  add(label: unknown, tokens: number): void {
    if (tokens === 0) return;
    this.countedTokens += tokens;
    this.spans = addTokens(
      this.spans,
      this.getLive(),
      parseCount(label),
      tokens,
      this.now(),
    );
  }

  recordUsage(message: EngineMessage): void {
    const prompt = parseCount(message.usage?.prompt_tokens);
    const generated = parseCount(message.usage?.completion_tokens);
    if (prompt !== null) this.usage.prompt = prompt;
    if (generated !== null) this.usage.generated = generated;
  }

  finish(isEnded: boolean): ResponseObservation {
    const generated = Math.min(
      Math.max(this.usage.generated, this.countedTokens),
      MAX_REPORTED_TOKENS,
    );
    return {
      spans: this.spans.spans.map(span => [...span] as WeightSpan),
      usage: {prompt: this.usage.prompt, generated},
      mismatches: this.spans.mismatches,
      isEnded,
    };
  }
}

function createSseObserver(builder: ObservationBuilder): ResponseObserver {
  const decoder = new StringDecoder('utf8');
  let partialLine = '';
  let isEnded = false;
  const parseLine = (line: string) => {
    if (!line.startsWith('data:')) return;
    const data = line.slice('data:'.length).trim();
    if (data === SSE_END) {
      isEnded = true;
      return;
    }
    const message = parseMessage(data);
    if (!message) return;
    builder.add(message.weight_version, countTokens(message));
    builder.recordUsage(message);
  };
  return {
    write: chunk => {
      const text = decoder.write(chunk);
      // Splitting the buffered line again for each chunk would take quadratic
      // time.
      if (!text.includes('\n')) {
        partialLine =
          partialLine.length > MAX_INSPECTED_BYTES ? '' : partialLine + text;
        return;
      }
      const lines = (partialLine + text).split(/\r\n|\n/);
      partialLine = lines.pop() ?? '';
      if (partialLine.length > MAX_INSPECTED_BYTES) partialLine = '';
      for (const line of lines) parseLine(line);
    },
    end: () => {
      parseLine(partialLine);
      return builder.finish(isEnded);
    },
  };
}

function addJsonSpans(
  builder: ObservationBuilder,
  message: EngineMessage,
): void {
  const generated = parseCount(message.usage?.completion_tokens);
  if (Array.isArray(message.weight_spans)) {
    for (const span of message.weight_spans as unknown[]) {
      if (!Array.isArray(span)) continue;
      builder.add(span[0], parseCount(span[1]) ?? 0);
    }
    return;
  }
  builder.add(message.weight_version, generated ?? countTokens(message));
}

function createJsonObserver(
  builder: ObservationBuilder,
  start: LiveVersions,
  getLive: () => LiveVersions,
): ResponseObserver {
  const chunks: Buffer[] = [];
  const startPeriodCount = start.periods.length + start.dropped;
  let size = 0;
  return {
    write: chunk => {
      size += chunk.length;
      if (size <= MAX_INSPECTED_BYTES) chunks.push(chunk);
      else chunks.length = 0;
    },
    end: () => {
      const message = parseMessage(Buffer.concat(chunks).toString('utf8'));
      if (message) {
        const live = getLive();
        // A single label cannot describe a response during which the weights
        // changed.
        const hasVersionChanged =
          live.periods.length + live.dropped !== startPeriodCount;
        const hasSingleLabel = !Array.isArray(message.weight_spans);
        if (hasVersionChanged && hasSingleLabel) message.weight_version = null;
        addJsonSpans(builder, message);
        builder.recordUsage(message);
      }
      return builder.finish(true);
    },
  };
}

function createPlainObserver(builder: ObservationBuilder): ResponseObserver {
  return {write: () => {}, end: () => builder.finish(true)};
}

/**
 * Creates the observer for a response by its content type. `start` holds the
 * live versions at the time the request was sent.
 */
export function createResponseObserver(
  kind: 'engine' | 'plain',
  status: number,
  headers: IncomingHttpHeaders,
  start: LiveVersions,
  getLive: () => LiveVersions,
  now: () => number,
): ResponseObserver {
  const builder = new ObservationBuilder(getLive, now);
  const type = headers['content-type'] ?? '';
  if (kind === 'plain' || status >= 400) return createPlainObserver(builder);
  if (type.includes('text/event-stream')) return createSseObserver(builder);
  if (type.includes('json')) return createJsonObserver(builder, start, getLive);
  return createPlainObserver(builder);
}
