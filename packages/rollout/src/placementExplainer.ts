import type {Result} from '@vanillacross/common';
import {fail, ok} from '@vanillacross/common';
import {z} from 'zod';

import type {ConfigurationState} from './configuration/index.js';
import {getPoolShares} from './configuration/index.js';
import type {ExplainedPool, ForwardContext} from './forwarding/index.js';
import {explainRequest} from './forwarding/index.js';
import type {ProcessIdentity, SchedulingPolicy} from './model/index.js';
import type {ExplainedSample} from './steps/index.js';

const requestSchema = z.strictObject({
  host: z.string().min(1),
  path: z.string().startsWith('/'),
});
const sampleSchema = z.strictObject({
  step: z.string().min(1),
  sample: z.string().min(1),
});
const questionSchema = z.union([requestSchema, sampleSchema]);

type RequestQuestion = z.infer<typeof requestSchema>;
type SampleQuestion = z.infer<typeof sampleSchema>;

/** Why there is no explanation. */
export interface ExplanationFailure {
  /** HTTP status. */
  status: 400 | 404 | 503;
  reason: string;
}

/** Where a request or sample would go now from this process. */
export interface PlacementExplanation {
  node: string;
  placement: SchedulingPolicy['placement'];
  admission: SchedulingPolicy['admission'];
  /** Name of the route; null for a sample. */
  route: string | null;
  /** Null for a request. */
  sample: Omit<ExplainedSample, 'pools'> | null;
  pools: readonly ExplainedPool[];
}

export interface PlacementExplainerOptions {
  self: ProcessIdentity;
  configuration: ConfigurationState;
  forwarding: ForwardContext;
  explainSample: (step: string, sample: string) => ExplainedSample | null;
}

type Answer = Result<PlacementExplanation, ExplanationFailure>;

/** Explains placements from the state of this process, and changes nothing. */
export class PlacementExplainer {
  constructor(private readonly options: PlacementExplainerOptions) {}

  /**
   * Explains the placement of a request (`host` and `path`) or of a sample that
   * this process runs (`step` and `sample`).
   */
  explain(query: URLSearchParams): Answer {
    const question = questionSchema.safeParse(Object.fromEntries(query));
    if (!question.success) {
      const reason = 'state either host and path, or step and sample';
      return fail({status: 400, reason});
    }
    return 'host' in question.data
      ? this.explainRequest(question.data)
      : this.explainSample(question.data);
  }

  private explainRequest({host, path}: RequestQuestion): Answer {
    const {configuration, forwarding} = this.options;
    const routes = configuration.getRoutes();
    if (!routes) return fail({status: 503, reason: 'no configuration yet'});
    const route = routes.findRoute(host, path.split('?')[0]);
    if (!route) {
      return fail({status: 404, reason: `no route for ${host}${path}`});
    }
    if (route.kind === 'rollout') {
      const reason = `requests of route ${route.name} submit steps and go to no upstream; ask for a sample`;
      return fail({status: 400, reason});
    }
    const pools = [...getPoolShares(route)].flatMap(([id, share]) => {
      const pool = configuration.getPool(id);
      if (!pool) return [];
      const question = {route, pool, isBackground: false, unfinishedInGroup: 0};
      return [explainRequest(forwarding, question, share)];
    });
    if (pools.length === 0) {
      return fail({status: 404, reason: `route ${route.name} has no pool`});
    }
    return ok({...this.getHead(), route: route.name, sample: null, pools});
  }

  private explainSample({step, sample: id}: SampleQuestion): Answer {
    const {self, explainSample} = this.options;
    const explained = explainSample(step, id);
    if (!explained) {
      const reason = `${self.id} does not run sample ${id} of step ${step}: another node does, or its result is listed`;
      return fail({status: 404, reason});
    }
    const {pools, ...sample} = explained;
    return ok({...this.getHead(), route: null, sample, pools});
  }

  private getHead() {
    const {self, forwarding} = this.options;
    const {placement, admission} = forwarding.policy;
    return {node: self.id, placement, admission};
  }
}
