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
  /** Time to prefill one prompt token that is not cached, ms. */
  prefillTokenMs?: number;
  /** Probability that generation stops at a token, before `max_tokens`. */
  stopRate?: number;
  /** Interval at which the load in the status is refreshed, ms. */
  statusLagMs?: number;
}

export interface EngineAudit extends ReturnType<UpstreamState['getAudit']> {
  orders: ReturnType<EngineOrders['getAudit']>;
  cache: ReturnType<PrefixCache['getCounts']>;
  /** Requests cancelled because the client closed the connection. */
  cancelled: number;
  completed: number;
}

/** A model engine with continuous batching and replaceable weights. */
export interface EngineStandIn extends Service {
  getAudit(): EngineAudit;
  /** Resets all connections; the engine is cold again under a new epoch. */
  crash(): void;
  /** Makes the engine cold again without a crash, by default for `coldMs`. */
  makeCold(durationMs?: number): void;
  setFailingSwaps(count: number): void;
  /** True while a weight swap pauses generation. */
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
  /**
   * Tokens that were generated earlier, or their number; they count towards
   * `max_tokens`.
   */
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

/** The parts of a response that differ between text and chat completions. */
interface ResponseFormat {
  object: string;
  chunkObject: string;
  getDelta(text: string): object;
  getChoice(text: string): object;
}

const textFormat: ResponseFormat = {
  object: 'text_completion',
  chunkObject: 'text_completion',
  getDelta: text => ({text}),
  getChoice: text => ({text}),
};
const chatFormat: ResponseFormat = {
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
    scheduler.clear();
    cache.clear();
    orders.restart();
    kvStates.clear();
    service.resetConnections();
  });
  const scheduler = createBatchScheduler(options, () => state.isStalled());
  let isSwapping = false;
  const orders = createEngineOrders(options, value => {
    isSwapping = value;
    scheduler.setPaused(value);
  });
  const kvStates = new Map<string, KvState>();
  let cancelled = 0;
  let completed = 0;
  let reportedLoad = {running: 0, waiting: 0, takenAtMs: -Infinity};

  const storeKvState = (kvState: KvState) => {
    kvStates.set(kvState.requestId, kvState);
    if (kvStates.size <= MAX_KV_STATES) return;
    const [oldest] = kvStates.keys();
    kvStates.delete(oldest);
  };

  /**
   * Generates tokens up to the token limit or a stop token, or until the
   * connection closes.
   */
  const generate = (
    completion: Completion,
    kvState: KvState,
    cachedTokens: number,
    signal: AbortSignal,
    onToken: (token: Token) => void,
  ): Promise<'length' | 'stop' | 'cancelled'> =>
    new Promise(resolve => {
      const {resume_tokens: resumed, seed, max_tokens: maxTokens} = completion;
      const start = typeof resumed === 'number' ? resumed : resumed.length;
      const uncached = countPromptTokens(kvState.prompt) - cachedTokens;
      const generation: Generation = {
        priority: completion.priority,
        readyAt:
          performance.now() + uncached * (options.prefillTokenMs ?? 0.02),
        generateToken: () => {
          const index = start + kvState.tokens.length;
          if (index >= maxTokens) return end('length');
          const {weightVersion} = orders.getWeights();
          const source = {prompt: kvState.prompt, seed, weightVersion};
          const token = {text: getTokenText(source, index), weightVersion};
          kvState.tokens.push(token);
          onToken(token);
          const isStop = isStopToken(source, index, options.stopRate ?? 0);
          if (isStop) return end('stop');
          return index + 1 < maxTokens || end('length');
        },
      };
      const end = (reason: 'length' | 'stop' | 'cancelled') => {
        resolve(reason);
        return false;
      };
      const cancel = () => {
        scheduler.remove(generation);
        end('cancelled');
      };
      signal.addEventListener('abort', cancel, {once: true});
      if (signal.aborted) return cancel();
      scheduler.add(generation);
    });

  const complete = async (
    context: RouteContext,
    completion: Completion,
    format: ResponseFormat,
  ): Promise<void> => {
    const {response, signal} = context;
    const requestId = completion.request_id ?? randomUUID();
    const kvState: KvState = {
      requestId,
      prompt: getPrompt(completion),
      tokens: [],
    };
    const cachedTokens = cache.lookUpAndStore(kvState.prompt);
    storeKvState(kvState);
    const getCommonFields = () => ({
      id: requestId,
      created: Math.floor(Date.now() / 1_000),
      model: orders.getWeights().model,
    });
    const sendEvent = (fields: object) =>
      response.write(
        `data: ${JSON.stringify({...getCommonFields(), object: format.chunkObject, ...fields})}\n\n`,
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
      kvState,
      cachedTokens,
      signal,
      ({text, weightVersion}) => {
        if (!completion.stream) return;
        const choice = {
          index: 0,
          ...format.getDelta(text),
          finish_reason: null,
        };
        sendEvent({weight_version: weightVersion, choices: [choice]});
      },
    );
    if (reason === 'cancelled') {
      cancelled++;
      return;
    }
    completed++;
    const prompt = countPromptTokens(kvState.prompt);
    const usage = {
      prompt_tokens: prompt,
      completion_tokens: kvState.tokens.length,
      total_tokens: prompt + kvState.tokens.length,
      prompt_tokens_details: {cached_tokens: cachedTokens},
    };
    const weightVersion =
      kvState.tokens.at(-1)?.weightVersion ?? orders.getWeights().weightVersion;
    const last = {weight_version: weightVersion};
    if (completion.stream) {
      const choice = {index: 0, ...format.getDelta(''), finish_reason: reason};
      sendEvent({...last, choices: [choice]});
      sendEvent({...last, choices: [], usage});
      response.end('data: [DONE]\n\n');
      return;
    }
    const text = kvState.tokens.map(token => token.text).join('');
    const choice = {index: 0, ...format.getChoice(text), finish_reason: reason};
    const body = JSON.stringify({
      ...getCommonFields(),
      object: format.object,
      ...last,
      weight_spans: getSpans(kvState.tokens),
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

  const createCompletionRoute = (path: string, format: ResponseFormat) =>
    createRoute(`POST ${path}`, async context => {
      if (state.isDown()) return void context.response.socket?.destroy();
      try {
        if (!state.beginRequest(context)) return;
        const completion = context.parse(completionSchema);
        await complete(context, completion, format);
      } finally {
        state.endRequest();
      }
    });
  const getLoad = () => {
    const now = performance.now();
    if (now - reportedLoad.takenAtMs >= (options.statusLagMs ?? 0)) {
      reportedLoad = {...scheduler.getCounts(), takenAtMs: now};
    }
    return {running: reportedLoad.running, waiting: reportedLoad.waiting};
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
  const coldRequestSchema = z.object({coldMs: z.number().min(0).optional()});
  const failingSwapsSchema = z.object({failingSwaps: z.number().int().min(0)});

  const service = await createService(
    [
      createCompletionRoute('/v1/completions', textFormat),
      createCompletionRoute('/v1/chat/completions', chatFormat),
      createRoute('GET /v1/models', () => ({
        status: 200,
        body: {
          object: 'list',
          data: [{id: orders.getWeights().model, object: 'model'}],
        },
      })),
      createRoute('GET /v1/engine/status', context =>
        state.isDown() ? void context.response.socket?.destroy() : getStatus(),
      ),
      createRoute('POST /v1/engine/orders', async context => {
        if (state.isDown()) return void context.response.socket?.destroy();
        const outcome = await orders.execute(context.parse(engineOrderSchema));
        const status = outcome.status === 'stale_fencing' ? 409 : 200;
        return {status, body: outcome};
      }),
      createRoute('GET /v1/engine/cache-events', ({query}) => {
        const since = z.coerce.number().parse(query.get('since') ?? 0);
        return {status: 200, body: cache.getEvents(since)};
      }),
      createRoute('GET /v1/engine/kv/:request', ({params}) => {
        const kvState = kvStates.get(params[0]);
        return kvState
          ? {status: 200, body: kvState}
          : {status: 404, body: {error: 'unknown request'}};
      }),
      createRoute('POST /v1/engine/kv/:request', ({params, parse}) => {
        const {prompt} = parse(z.object({prompt: z.string()}));
        cache.lookUpAndStore(prompt);
        storeKvState({requestId: params[0], prompt, tokens: []});
        return {status: 200, body: {status: 'done'}};
      }),
      createRoute('GET /v1/weights/:model/:version', async context => {
        const [model, version] = context.params;
        const bytes = orders.getStagedBytes(model, Number(version));
        if (bytes === undefined) return {status: 404, body: {error: 'unknown'}};
        return sendZeros(context, bytes);
      }),
      createRoute('GET /audit', () => ({status: 200, body: getAudit()})),
      createRoute('POST /control/crash', () => {
        // Runs after the response is sent, because a crash resets its
        // connection.
        setImmediate(state.crash);
        return {status: 200, body: {}};
      }),
      createRoute('POST /control/cold', ({parse}) => {
        state.makeCold(parse(coldRequestSchema).coldMs);
        return {status: 200, body: {}};
      }),
      createRoute('PUT /control/failing-swaps', ({parse}) => {
        const {failingSwaps} = parse(failingSwapsSchema);
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
      scheduler.stop();
      await service.close();
    },
  };
}
