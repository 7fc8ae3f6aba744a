import type {AccountId, MonotonicMs, Result} from '@vanillacross/common';
import {fail, getDeadline, ok} from '@vanillacross/common';
import {MIN_RETRY_AFTER_MS} from '@vanillacross/domain';

import type {CallerDialect, StepCall} from '../model/index.js';
import type {TrackedStep, StepService} from '../steps/index.js';
import type {Refusal} from './refusal.js';
import {getStaleRefusal} from './refusal.js';

type StepCallResult = Result<Buffer, Refusal>;

type StepHandlers = {
  [Tag in StepCall['tag']]: (
    call: StepCall & {tag: Tag},
    trackedStep: TrackedStep,
    arrivedAt: MonotonicMs,
    signal: AbortSignal,
  ) => Promise<StepCallResult>;
};

/** Handles calls that refer to a previously accepted step. */
export class StepCallHandler {
  constructor(
    private readonly steps: StepService,
    private readonly dialect: CallerDialect,
  ) {}

  /** Returns the response body, or the refusal to send. */
  async handle(
    call: StepCall,
    account: AccountId | null,
    arrivedAt: MonotonicMs,
    signal: AbortSignal,
  ): Promise<StepCallResult> {
    const position = call.tag === 'read' ? call.after : Infinity;
    const lookup = await this.steps.findStep(call.step, account, position);
    if (lookup.tag === 'absent') {
      return fail({status: 404, reason: 'no such step'});
    }
    if (lookup.tag === 'unsure') {
      return fail(getStaleRefusal('the steps could not be read'));
    }
    const handle = this.handlers[call.tag];
    return handle(call as never, lookup.trackedStep, arrivedAt, signal);
  }

  private readonly handlers: StepHandlers = {
    read: async (call, trackedStep, arrivedAt, signal) => {
      const deadline = getDeadline(arrivedAt, call.waitMs);
      await this.steps.waitForResult(trackedStep, call.after, deadline, signal);
      const results = await this.steps.getResults(trackedStep, call.after);
      if (!results) {
        return fail(getStaleRefusal('the texts could not be read'));
      }
      const total = trackedStep.step.samples.length;
      return ok(this.dialect.writeResults(total, call.after, results));
    },
    sample_body: async (call, trackedStep) => {
      const body = this.steps.getSampleBody(trackedStep, call.sample);
      return body ? ok(body) : fail({status: 404, reason: 'no such sample'});
    },
    end: async (_call, trackedStep) => {
      const ended = await this.steps.end(trackedStep);
      if (ended.tag === 'accepted') return ok(Buffer.from('{}'));
      return fail({
        status: ended.tag === 'unknown' ? 504 : 503,
        reason: 'the store has not acknowledged the end',
        retryAfterMs: MIN_RETRY_AFTER_MS,
      });
    },
  };
}
