import type {IncomingHttpHeaders} from 'node:http';
import {StringDecoder} from 'node:string_decoder';

import type {LiveVersions, WeightSpan} from '@vanillacross/domain';
import {
  addTokens,
  MAX_REPORTED_TOKENS,
  noObservedSpans,
} from '@vanillacross/domain';
import type {ObservedSpans} from '@vanillacross/domain';

/** Longest event or JSON answer that is inspected, bytes. */
const MAX_INSPECTED_BYTES = 8 * 1024 * 1024;
const SSE_END = '[DONE]';

/** Tokens of one answer. */
export interface TokenUsage {
  prompt: number;
  generated: number;
}

/** What was observed in one answer. */
export interface ResponseObservation {
  spans: WeightSpan[];
  usage: TokenUsage;
  mismatches: number;
  /** False for an event stream without its end event. */
  isEnded: boolean;
}

/** Reads an engine's answer as it passes, without changing it. */
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

function getCount(value: unknown): number | null {
  const isCount =
    Number.isInteger(value) &&
    (value as number) >= 0 &&
    (value as number) <= MAX_REPORTED_TOKENS;
  return isCount ? (value as number) : null;
}

/** Tokens in one event: as stated, by ids, or one per choice with text. */
function countTokens(message: EngineMessage): number {
  const stated = getCount(message.tokens);
  if (stated !== null) return stated;
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

/** State of one observation, shared by both answer formats. */
class Tally {
  spans: ObservedSpans = noObservedSpans;
  usage: TokenUsage = {prompt: 0, generated: 0};
  counted = 0;

  constructor(
    private readonly getLive: () => LiveVersions,
    private readonly now: () => number,
  ) {}

  add(label: unknown, tokens: number): void {
    if (tokens === 0) return;
    this.counted += tokens;
    this.spans = addTokens(
      this.spans,
      this.getLive(),
      getCount(label),
      tokens,
      this.now(),
    );
  }

  noteUsage(message: EngineMessage): void {
    const prompt = getCount(message.usage?.prompt_tokens);
    const generated = getCount(message.usage?.completion_tokens);
    if (prompt !== null) this.usage.prompt = prompt;
    if (generated !== null) this.usage.generated = generated;
  }

  finish(isEnded: boolean): ResponseObservation {
    const generated = Math.min(
      Math.max(this.usage.generated, this.counted),
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

function createSseObserver(tally: Tally): ResponseObserver {
  const decoder = new StringDecoder('utf8');
  let rest = '';
  let isEnded = false;
  const readLine = (line: string) => {
    if (!line.startsWith('data:')) return;
    const data = line.slice('data:'.length).trim();
    if (data === SSE_END) {
      isEnded = true;
      return;
    }
    const message = parseMessage(data);
    if (!message) return;
    tally.add(message.weight_version, countTokens(message));
    tally.noteUsage(message);
  };
  return {
    write: chunk => {
      const text = decoder.write(chunk);
      // Splitting the whole line at every part of it takes quadratic time.
      if (!text.includes('\n')) {
        rest = rest.length > MAX_INSPECTED_BYTES ? '' : rest + text;
        return;
      }
      const lines = (rest + text).split(/\r\n|\n/);
      rest = lines.pop() ?? '';
      if (rest.length > MAX_INSPECTED_BYTES) rest = '';
      for (const line of lines) readLine(line);
    },
    end: () => {
      readLine(rest);
      return tally.finish(isEnded);
    },
  };
}

function addJsonSpans(tally: Tally, message: EngineMessage): void {
  const generated = getCount(message.usage?.completion_tokens);
  if (Array.isArray(message.weight_spans)) {
    for (const span of message.weight_spans as unknown[]) {
      if (!Array.isArray(span)) continue;
      tally.add(span[0], getCount(span[1]) ?? 0);
    }
    return;
  }
  tally.add(message.weight_version, generated ?? countTokens(message));
}

function createJsonObserver(
  tally: Tally,
  started: LiveVersions,
  getLive: () => LiveVersions,
): ResponseObserver {
  const chunks: Buffer[] = [];
  const startPeriod = started.periods.length + started.dropped;
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
        // One label cannot describe an answer that a swap divided.
        const isDivided = live.periods.length + live.dropped !== startPeriod;
        const isOneLabel = !Array.isArray(message.weight_spans);
        if (isDivided && isOneLabel) message.weight_version = null;
        addJsonSpans(tally, message);
        tally.noteUsage(message);
      }
      return tally.finish(true);
    },
  };
}

function createPlainObserver(tally: Tally): ResponseObserver {
  return {write: () => {}, end: () => tally.finish(true)};
}

/**
 * Creates the observer for an answer by its content type. `started` are the
 * live versions when the request was sent.
 */
export function createResponseObserver(
  kind: 'engine' | 'plain',
  status: number,
  headers: IncomingHttpHeaders,
  started: LiveVersions,
  getLive: () => LiveVersions,
  now: () => number,
): ResponseObserver {
  const tally = new Tally(getLive, now);
  const type = headers['content-type'] ?? '';
  if (kind === 'plain' || status >= 400) return createPlainObserver(tally);
  if (type.includes('text/event-stream')) return createSseObserver(tally);
  if (type.includes('json')) return createJsonObserver(tally, started, getLive);
  return createPlainObserver(tally);
}
