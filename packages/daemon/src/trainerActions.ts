import type {Result} from '@vanillacross/common';
import {fail, ok, parseJson, sendJson} from '@vanillacross/common';
import type {StepContent, Trainer} from '@vanillacross/domain';
import {
  getRecordBody,
  getKeyAccount,
  MAX_STEP_SAMPLES,
  parseSampleId,
  stepSchema,
} from '@vanillacross/domain';
import type {LogClient, LogPort, ScoringPort} from '@vanillacross/platform';
import {createLogClient} from '@vanillacross/platform';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';

import {readCallerBody} from './callerBody.js';
import {getCallerKey} from './callerRequest.js';
import {createAccessTableCache} from './callerServer.js';
import type {DeliveryLogLimits} from './deliveryLog.js';
import {createDeliveryLog, defaultDeliveryLogLimits} from './deliveryLog.js';
import {streamDelivery} from './deliveryStream.js';
import {
  createMaybeRunRefusal,
  createNotRunRefusal,
  sendRefusal,
} from './refusals.js';
import type {SampleLimits} from './sampleTask.js';
import {createSampleTask, defaultSampleLimits} from './sampleTask.js';
import type {
  Context,
  ControlFollower,
  Dispatcher,
  HttpAction,
  Component,
  Refusal,
} from './types.js';

/** Limits of the trainer API; all have defaults. */
export interface TrainerLimits extends SampleLimits, DeliveryLogLimits {
  /** Largest request body, bytes. */
  maxBodyBytes: number;
  /** Longest time for which a trainer may read nothing of a delivery, ms. */
  stallTimeoutMs: number;
}

export const defaultTrainerLimits: TrainerLimits = {
  ...defaultSampleLimits,
  ...defaultDeliveryLogLimits,
  maxBodyBytes: 16 * 1024 * 1024,
  stallTimeoutMs: 60_000,
};

export interface TrainerOptions {
  logPort: LogPort;
  logClient?: LogClient;
  scoring: ScoringPort | null;
  /** Highest known weight version of a model; 0 if none is known. */
  getNewestVersion(model: string): number;
  /** Live weight version by upstream of a pool, where known. */
  getLiveVersions?(pool: string): ReadonlyMap<string, number>;
  /** False while API keys cannot be checked. */
  hasAuthority?(): boolean;
  limits?: Partial<TrainerLimits>;
}

/** An authorized call of a trainer. */
interface TrainerCall {
  trainerId: string;
  trainer: Trainer;
  step: string;
  body: unknown;
  request: IncomingMessage;
  response: ServerResponse;
}

interface TrainerAction {
  name: string;
  path: RegExp;
  /** Returns a refusal, or null once it has sent a response. */
  perform(call: TrainerCall): Promise<Refusal | null>;
}

const MESSAGES = {
  unauthorized: 'no valid key was given',
  key_withdrawn: 'the key was withdrawn',
} as const;

const idsSchema = z.array(z.string().max(512)).max(MAX_STEP_SAMPLES);
const deliverySchema = z.strictObject({received: idsSchema});
const acknowledgementSchema = z.strictObject({sampleIds: idsSchema});

function parseBody<Body>(
  body: unknown,
  schema: z.ZodType<Body>,
): Result<Body, Refusal> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const mistakes = parsed.error.issues
    .slice(0, 5)
    .map(({path, message}) => `${path.map(String).join('.')}: ${message}`);
  return fail(createNotRunRefusal('bad_request', mistakes.join('; ')));
}

/** Returns a refusal if an id does not belong to a sample of the step. */
function validateIds(
  call: TrainerCall,
  ids: readonly string[],
): Refusal | null {
  const isForeign = (id: string) => {
    const parsed = parseSampleId(id);
    return parsed?.trainer !== call.trainerId || parsed.step !== call.step;
  };
  const foreign = ids.find(isForeign);
  if (foreign === undefined) return null;
  const message = `${JSON.stringify(foreign)} is not a sample of this step`;
  return createNotRunRefusal('bad_request', message);
}

/**
 * Creates the HTTP handlers of the trainer API and the component behind them.
 */
export function createTrainerActions(
  context: Context,
  control: ControlFollower,
  dispatcher: Dispatcher,
  options: TrainerOptions,
): {actions: HttpAction[]; component: Component} {
  const {clock, metrics} = context;
  const limits = {...defaultTrainerLimits, ...options.limits};
  const logClient =
    options.logClient ?? createLogClient(options.logPort, clock);
  const log = createDeliveryLog(context, options.logPort, logClient, limits);
  const task = createSampleTask(context, control, dispatcher, {
    scoring: options.scoring,
    getNewestVersion: options.getNewestVersion,
    getLiveVersions: options.getLiveVersions,
    limits,
  });
  const getTable = createAccessTableCache(control);

  function authorizeTrainer(
    request: IncomingMessage,
    trainerId: string,
  ): Result<Trainer, Refusal> {
    const key = getCallerKey(request);
    const account = getKeyAccount(getTable(), key?.hash ?? null);
    const state = control.getState();
    const canCheckKeys = (options.hasAuthority?.() ?? true) && state.isComplete;
    if (!canCheckKeys && key) {
      const message = 'this entry cannot check keys at the moment';
      return fail(createNotRunRefusal('authority_lost', message, 1));
    }
    if (!account.ok) {
      const code =
        account.error === 'key_withdrawn' ? 'key_withdrawn' : 'unauthorized';
      return fail(createNotRunRefusal(code, MESSAGES[code]));
    }
    const trainer = getRecordBody(state, 'trainer', trainerId);
    // Does not reveal whether a trainer of another account exists.
    if (trainer?.account !== account.value) {
      const message = 'the key gives no access to this trainer';
      return fail(createNotRunRefusal('forbidden', message));
    }
    return ok(trainer);
  }

  async function readBody(
    request: IncomingMessage,
    signal: AbortSignal,
  ): Promise<Result<unknown, Refusal>> {
    const body = await readCallerBody(request, limits.maxBodyBytes, signal);
    if (!body.ok) return body;
    const json = parseJson(body.value.toString('utf8'));
    if (json.ok) return json;
    return fail(createNotRunRefusal('bad_request', 'the body is not JSON'));
  }

  /** Records samples that the trainer reports as received. */
  function recordReceived(
    call: TrainerCall,
    received: readonly string[],
  ): void {
    const known = log.getAcknowledgedIds(call.trainerId, call.step);
    const isNew = received.some(id => !known.has(id));
    // Appended to the log, so that a trainer that later loses its state does
    // not get these samples again.
    if (isNew) void log.recordAcknowledgements(call.trainerId, received);
  }

  async function submit(call: TrainerCall): Promise<Refusal | null> {
    const content = parseBody<StepContent>(call.body, stepSchema);
    if (!content.ok) return content.error;
    const {trainerId, trainer, step, response} = call;
    await log.refresh(trainerId);
    const acknowledged = log.getAcknowledgedIds(trainerId, step);
    const run = task.submit(
      trainerId,
      trainer,
      step,
      content.value,
      acknowledged,
    );
    if (!run.ok) return run.error;
    task.extendExpiry(run.value);
    const sampleCount = run.value.specs.size;
    sendJson(response, 200, {accepted: true, sampleCount});
    return null;
  }

  async function deliver(call: TrainerCall): Promise<Refusal | null> {
    const body = parseBody(call.body, deliverySchema);
    if (!body.ok) return body.error;
    const {received} = body.value;
    const foreign = validateIds(call, received);
    if (foreign) return foreign;
    const step = task.getStep(call.trainerId, call.step);
    if (!step) {
      const message = 'this entry does not hold the step; submit it again';
      return createNotRunRefusal('step_unknown', message);
    }
    // Reserved before any wait, so that the latest call to arrive wins.
    const delivery = step.delivery.reserve();
    step.notify();
    task.extendExpiry(step);
    step.openStreams += 1;
    try {
      await log.refresh(call.trainerId);
      recordReceived(call, received);
      const acknowledged = log.getAcknowledgedIds(call.trainerId, call.step);
      const before = step.delivery.getCount('acknowledged');
      task.acknowledge(step, [...acknowledged, ...received]);
      const avoided = step.delivery.getCount('acknowledged') - before;
      metrics.count('vc_samples_duplicates_avoided', {}, avoided);
      step.delivery.open(delivery, []);
      const {response} = call;
      const {stallTimeoutMs} = limits;
      await streamDelivery(
        context,
        task,
        step,
        delivery,
        response,
        stallTimeoutMs,
      );
    } finally {
      step.openStreams -= 1;
      task.extendExpiry(step);
    }
    return null;
  }

  async function acknowledge(call: TrainerCall): Promise<Refusal | null> {
    const body = parseBody(call.body, acknowledgementSchema);
    if (!body.ok) return body.error;
    const {sampleIds} = body.value;
    const foreign = validateIds(call, sampleIds);
    if (foreign) return foreign;
    const step = task.getStep(call.trainerId, call.step);
    if (step) {
      task.extendExpiry(step);
      task.acknowledge(step, sampleIds);
    }
    const recorded = await log.recordAcknowledgements(
      call.trainerId,
      sampleIds,
    );
    sendJson(call.response, 200, {recorded});
    return null;
  }

  const segment = '([a-zA-Z0-9][a-zA-Z0-9._-]{0,63})';
  const base = `^/v1/trainers/${segment}/steps/${segment}`;
  const trainerActions: TrainerAction[] = [
    {name: 'submit step', path: new RegExp(`${base}$`), perform: submit},
    {
      name: 'deliver samples',
      path: new RegExp(`${base}/deliveries$`),
      perform: deliver,
    },
    {
      name: 'acknowledge samples',
      path: new RegExp(`${base}/acknowledgements$`),
      perform: acknowledge,
    },
  ];

  async function perform(
    action: TrainerAction,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Refusal | null> {
    const path = (request.url ?? '/').split('?', 1)[0];
    const [, trainerId, step] = action.path.exec(path) ?? [];
    const trainer = authorizeTrainer(request, trainerId);
    if (!trainer.ok) return trainer.error;
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const body = await readBody(request, closed.signal);
    if (!body.ok) return body.error;
    const {value} = trainer;
    return action.perform({
      trainerId,
      trainer: value,
      step,
      body: body.value,
      request,
      response,
    });
  }

  const actions = trainerActions.map((action): HttpAction => ({
    name: `trainer: ${action.name}`,
    matches: (method, path) =>
      method === 'POST' && action.path.test(path.split('?', 1)[0]),
    perform: async (request, response) => {
      const refusal = await perform(action, request, response);
      if (!refusal) return;
      metrics.count('vc_refusals', {reason: refusal.tag});
      const visible = response.destroyed
        ? createMaybeRunRefusal('cancelled', 'the trainer disconnected')
        : refusal;
      sendRefusal(response, visible, !request.complete);
    },
  }));

  return {
    actions,
    component: {
      name: 'trainers',
      start: async () => {
        await log.start();
        await task.start();
      },
      stop: async signal => {
        await task.stop(signal);
        await log.stop(signal);
      },
    },
  };
}
