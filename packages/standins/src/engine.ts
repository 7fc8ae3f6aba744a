import {randomUUID} from 'node:crypto';
import {z} from 'zod';

import {MAX_KV_STATES} from './constants.js';
import type {EngineOrders, OrderOptions} from './engineOrders.js';
import {createEngineOrders, engineOrderSchema} from './engineOrders.js';
import type {PrefixCache, PrefixCacheOptions} from './prefixCache.js';
import {createPrefixCache} from './prefixCache.js';
import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';
import type {Generation, BatchSchedulerOptions} from './batchScheduler.js';
import {createBatchScheduler} from './batchScheduler.js';
import {countPromptTokens, getTokenText, isStopToken} from './tokenText.js';
import type {ColdStartOptions, UpstreamState} from './upstreamState.js';
import {createUpstreamState} from './upstreamState.js';
import {sendZeros} from './weightStore.js';

export interface EngineOptions
  extends
    ServiceOptions,
    ColdStartOptions,
    OrderOptions,
    PrefixCacheOptions,
    BatchSchedulerOptions {
  /** Time to process one prompt token that is not cached, ms. */
  prefillTokenMs?: number;
  /** Probability that a token ends the text before `max_tokens`. */
  stopRate?: number;
  /** Lag of the load figures in the status, ms. */
  statusLagMs?: number;
}

export interface EngineAudit extends ReturnType<UpstreamState['getAudit']> {
  orders: ReturnType<EngineOrders['getAudit']>;
  cache: ReturnType<PrefixCache['getCounts']>;
  /** Requests cancelled by a closed connection. */
  cancelled: number;
  completed: number;
}

/** A model engine with continuous batching and weights that change. */
export interface EngineStandIn extends Service {
  getAudit(): EngineAudit;
  /** Resets all connections; the engine is cold again under a new epoch. */
  crash(): void;
  /** Makes the engine cold again without a crash. */
  makeCold(spanMs?: number): void;
  setFailingSwaps(count: number): void;
  /** True while a swap of weights pauses generation. */
  isSwapping(): boolean;
}

const messageSchema = z.looseObject({role: z.string(), content: z.string()});
const completionSchema = z.looseObject({
  model: z.string().optional(),
  prompt: z.string().optional(),
  messages: z.array(messageSchema).optional(),
  max_tokens: z.number().int().positive().default(16),
  seed: z.number().default(0),
  stream: z.boolean().default(false),
  priority: z.number().default(5),
  /** Tokens generated before; they count towards `max_tokens`. */
  resume_tokens: z.union([z.array(z.unknown()), z.number()]).default(0),
  /** Id under which the KV cache can be exported. */
  request_id: z.string().optional(),
});
type Completion = z.infer<typeof completionSchema>;

interface Token {
  text: string;
  weightVersion: number;
}

interface KvState {
  requestId: string;
  prompt: string;
  tokens: Token[];
}

/** Groups tokens by weight version: `[[version, tokens], …]`. */
function getSpans(tokens: readonly Token[]): Array<[number, number]> {
  const spans: Array<[number, number]> = [];
  for (const {weightVersion} of tokens) {
    const last = spans.at(-1);
    if (last?.[0] === weightVersion) last[1]++;
    else spans.push([weightVersion, 1]);
  }
  return spans;
}

function getPrompt(completion: Completion): string {
  const messages = completion.messages ?? [];
  return (
    completion.prompt ??
    messages.map(({role, content}) => `${role}: ${content}\n`).join('')
  );
}

/** The parts of an answer that differ between the two completion paths. */
interface AnswerShape {
  object: string;
  chunkObject: string;
  getDelta(text: string): object;
  getChoice(text: string): object;
}

const textShape: AnswerShape = {
  object: 'text_completion',
  chunkObject: 'text_completion',
  getDelta: text => ({text}),
  getChoice: text => ({text}),
};
const chatShape: AnswerShape = {
  object: 'chat.completion',
  chunkObject: 'chat.completion.chunk',
  getDelta: text => ({delta: text ? {role: 'assistant', content: text} : {}}),
  getChoice: text => ({message: {role: 'assistant', content: text}}),
};

export async function createEngine(
  options: EngineOptions = {},
): Promise<EngineStandIn> {
  const cache = createPrefixCache(options);
  const state = createUpstreamState(options, () => {
    clock.clear();
    cache.clear();
    orders.restart();
    kvStates.clear();
    service.resetConnections();
  });
  const clock = createBatchScheduler(options, () => state.isStalled());
  let isSwapping = false;
  const orders = createEngineOrders(options, value => {
    isSwapping = value;
    clock.setPaused(value);
  });
  const kvStates = new Map<string, KvState>();
  let cancelled = 0;
  let completed = 0;
  let shown = {running: 0, waiting: 0, takenAtMs: -Infinity};

  const keepKv = (kv: KvState) => {
    kvStates.set(kv.requestId, kv);
    if (kvStates.size <= MAX_KV_STATES) return;
    const [oldest] = kvStates.keys();
    kvStates.delete(oldest);
  };

  /** Makes tokens until the end, a crash or a closed connection. */
  const generate = (
    completion: Completion,
    kv: KvState,
    cachedTokens: number,
    signal: AbortSignal,
    onToken: (token: Token) => void,
  ): Promise<'length' | 'stop' | 'cancelled'> =>
    new Promise(resolve => {
      const {resume_tokens: resumed, seed, max_tokens: limit} = completion;
      const start = typeof resumed === 'number' ? resumed : resumed.length;
      const uncached = countPromptTokens(kv.prompt) - cachedTokens;
      const generation: Generation = {
        priority: completion.priority,
        readyAt:
          performance.now() + uncached * (options.prefillTokenMs ?? 0.02),
        generateToken: () => {
          const index = start + kv.tokens.length;
          if (index >= limit) return end('length');
          const {weightVersion} = orders.getWeights();
          const source = {prompt: kv.prompt, seed, weightVersion};
          const token = {text: getTokenText(source, index), weightVersion};
          kv.tokens.push(token);
          onToken(token);
          const stops = isStopToken(source, index, options.stopRate ?? 0);
          if (stops) return end('stop');
          return index + 1 < limit || end('length');
        },
      };
      const end = (reason: 'length' | 'stop' | 'cancelled') => {
        resolve(reason);
        return false;
      };
      const cancel = () => {
        clock.remove(generation);
        end('cancelled');
      };
      signal.addEventListener('abort', cancel, {once: true});
      if (signal.aborted) return cancel();
      clock.add(generation);
    });

  const complete = async (
    exchange: RouteContext,
    completion: Completion,
    shape: AnswerShape,
  ): Promise<void> => {
    const {response, signal} = exchange;
    const requestId = completion.request_id ?? randomUUID();
    const kv: KvState = {requestId, prompt: getPrompt(completion), tokens: []};
    const cachedTokens = cache.lookUpAndStore(kv.prompt);
    keepKv(kv);
    const common = () => ({
      id: requestId,
      created: Math.floor(Date.now() / 1_000),
      model: orders.getWeights().model,
    });
    const sendEvent = (fields: object) =>
      response.write(
        `data: ${JSON.stringify({...common(), object: shape.chunkObject, ...fields})}\n\n`,
      );
    const headers = {'x-engine-epoch': state.getEpoch()};
    if (completion.stream) {
      response.writeHead(200, {
        ...headers,
        'content-type': 'text/event-stream',
      });
      response.flushHeaders();
    }
    const reason = await generate(
      completion,
      kv,
      cachedTokens,
      signal,
      ({text, weightVersion}) => {
        if (!completion.stream) return;
        const choice = {index: 0, ...shape.getDelta(text), finish_reason: null};
        sendEvent({weight_version: weightVersion, choices: [choice]});
      },
    );
    if (reason === 'cancelled') {
      cancelled++;
      return;
    }
    completed++;
    const prompt = countPromptTokens(kv.prompt);
    const usage = {
      prompt_tokens: prompt,
      completion_tokens: kv.tokens.length,
      total_tokens: prompt + kv.tokens.length,
      prompt_tokens_details: {cached_tokens: cachedTokens},
    };
    const weightVersion =
      kv.tokens.at(-1)?.weightVersion ?? orders.getWeights().weightVersion;
    const last = {weight_version: weightVersion};
    if (completion.stream) {
      const choice = {index: 0, ...shape.getDelta(''), finish_reason: reason};
      sendEvent({...last, choices: [choice]});
      sendEvent({...last, choices: [], usage});
      response.end('data: [DONE]\n\n');
      return;
    }
    const text = kv.tokens.map(token => token.text).join('');
    const choice = {index: 0, ...shape.getChoice(text), finish_reason: reason};
    const body = JSON.stringify({
      ...common(),
      object: shape.object,
      ...last,
      weight_spans: getSpans(kv.tokens),
      choices: [choice],
      usage,
    });
    response.writeHead(200, {
      ...headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  };

  const createCompletionRoute = (path: string, shape: AnswerShape) =>
    createRoute(`POST ${path}`, async exchange => {
      if (state.isDown()) return void exchange.response.socket?.destroy();
      try {
        if (!state.beginRequest(exchange)) return;
        const completion = exchange.parse(completionSchema);
        await complete(exchange, completion, shape);
      } finally {
        state.endRequest();
      }
    });
  const getLoad = () => {
    const now = performance.now();
    if (now - shown.takenAtMs >= (options.statusLagMs ?? 0)) {
      shown = {...clock.getCounts(), takenAtMs: now};
    }
    return {running: shown.running, waiting: shown.waiting};
  };
  const getStatus = (): Reply => ({
    status: 200,
    headers: {'x-engine-epoch': state.getEpoch()},
    body: {
      epoch: state.getEpoch(),
      state: state.isCold() ? 'cold' : 'warm',
      ...orders.getWeights(),
      ...getLoad(),
    },
  });
  const getAudit = () => ({
    ...state.getAudit(),
    orders: orders.getAudit(),
    cache: cache.getCounts(),
    cancelled,
    completed,
  });
  const coldSchema = z.object({coldMs: z.number().min(0).optional()});
  const controlSchema = z.object({failingSwaps: z.number().int().min(0)});

  const service = await createService(
    [
      createCompletionRoute('/v1/completions', textShape),
      createCompletionRoute('/v1/chat/completions', chatShape),
      createRoute('GET /v1/models', () => ({
        status: 200,
        body: {
          object: 'list',
          data: [{id: orders.getWeights().model, object: 'model'}],
        },
      })),
      createRoute('GET /v1/engine/status', exchange =>
        state.isDown() ? void exchange.response.socket?.destroy() : getStatus(),
      ),
      createRoute('POST /v1/engine/orders', async exchange => {
        if (state.isDown()) return void exchange.response.socket?.destroy();
        const outcome = await orders.execute(exchange.parse(engineOrderSchema));
        const status = outcome.status === 'stale_fencing' ? 409 : 200;
        return {status, body: outcome};
      }),
      createRoute('GET /v1/engine/cache-events', ({query}) => {
        const since = z.coerce.number().parse(query.get('since') ?? 0);
        return {status: 200, body: cache.getEvents(since)};
      }),
      createRoute('GET /v1/engine/kv/:request', ({params}) => {
        const kv = kvStates.get(params[0]);
        return kv
          ? {status: 200, body: kv}
          : {status: 404, body: {error: 'unknown request'}};
      }),
      createRoute('POST /v1/engine/kv/:request', ({params, parse}) => {
        const {prompt} = parse(z.object({prompt: z.string()}));
        cache.lookUpAndStore(prompt);
        keepKv({requestId: params[0], prompt, tokens: []});
        return {status: 200, body: {status: 'done'}};
      }),
      createRoute('GET /v1/weights/:model/:version', async exchange => {
        const [model, version] = exchange.params;
        const bytes = orders.getStagedBytes(model, Number(version));
        if (bytes === undefined) return {status: 404, body: {error: 'unknown'}};
        return sendZeros(exchange, bytes);
      }),
      createRoute('GET /audit', () => ({status: 200, body: getAudit()})),
      createRoute('POST /control/crash', () => {
        // After the answer has left, because a crash resets its connection.
        setImmediate(state.crash);
        return {status: 200, body: {}};
      }),
      createRoute('POST /control/cold', ({parse}) => {
        state.makeCold(parse(coldSchema).coldMs);
        return {status: 200, body: {}};
      }),
      createRoute('PUT /control/failing-swaps', ({parse}) => {
        const {failingSwaps} = parse(controlSchema);
        orders.setFailingSwaps(failingSwaps);
        return {status: 200, body: {failingSwaps}};
      }),
    ],
    options,
  );
  return {
    ...service,
    getAudit,
    crash: state.crash,
    makeCold: state.makeCold,
    setFailingSwaps: orders.setFailingSwaps,
    isSwapping: () => isSwapping,
    close: async () => {
      clock.stop();
      await service.close();
    },
  };
}
