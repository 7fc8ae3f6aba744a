import type {Result} from '@vanillacross/common';
import {fail, ok, requestJson} from '@vanillacross/common';
import {z} from 'zod';

import type {CommandFailure} from './errors.js';
import {formatTable} from './textTable.js';
import type {CommandResult} from './types.js';

/** Timeout of the question, ms; a node answers from its memory. */
const EXPLAIN_TIMEOUT_MS = 5_000;
const MS_PER_S = 1_000;

const costSchema = z.looseObject({
  wait: z.number(),
  otherDomain: z.number(),
  newConnection: z.number(),
  savedWork: z.number(),
  total: z.number(),
});

const decisionSchema = z.discriminatedUnion('tag', [
  z.looseObject({tag: z.literal('start')}),
  z.looseObject({tag: z.literal('wait'), reason: z.string()}),
  z.looseObject({
    tag: z.literal('refuse'),
    reason: z.string(),
    retryAfterMs: z.number().nullable(),
  }),
]);

const poolSchema = z.looseObject({
  pool: z.string(),
  share: z.number(),
  queueLength: z.number(),
  decision: decisionSchema,
  chosen: z.string().nullable(),
  tied: z.array(z.string()),
  fillLevel: z.number(),
  upstreams: z.array(
    z.looseObject({
      id: z.string(),
      domain: z.string(),
      slots: z.number(),
      occupancy: z.number(),
      cost: costSchema.nullable(),
      obstacles: z.array(z.string()),
    }),
  ),
});

const explanationSchema = z.looseObject({
  node: z.string(),
  placement: z.string(),
  admission: z.string(),
  route: z.string().nullable(),
  sample: z
    .looseObject({
      stage: z.string(),
      upstream: z.string().nullable(),
      events: z.number(),
    })
    .nullable(),
  pools: z.array(poolSchema),
});

const errorSchema = z.looseObject({error: z.string()});

type Explanation = z.infer<typeof explanationSchema>;
type Decision = z.infer<typeof decisionSchema>;
type ExplainedPool = z.infer<typeof poolSchema>;

/** The request or sample that is asked about, as given on the command line. */
export interface PlacementOptions {
  /** Base URL of the metrics address of a node. */
  node: string;
  host?: string;
  path?: string;
  step?: string;
  sample?: string;
}

function getQuery({
  host,
  path,
  step,
  sample,
}: PlacementOptions): Result<URLSearchParams, CommandFailure> {
  const isRequest = host !== undefined && path !== undefined;
  const isSample = step !== undefined && sample !== undefined;
  const given = [host, path, step, sample].filter(text => text !== undefined);
  if (given.length !== 2 || isRequest === isSample) {
    const message = 'state either --host and --path, or --step and --sample';
    return fail({tag: 'usage', message});
  }
  return ok(
    new URLSearchParams(
      isRequest ? {host, path} : {step: step!, sample: sample!},
    ),
  );
}

type DecisionTexts = {
  [Tag in Decision['tag']]: (
    decision: Extract<Decision, {tag: Tag}>,
    pool: ExplainedPool,
  ) => string;
};

const decisionTexts: DecisionTexts = {
  start: (_decision, {chosen, tied}) => {
    const others = tied.filter(id => id !== chosen);
    return others.length === 0
      ? `goes to ${chosen}`
      : `goes to ${chosen}, by chance to ${others.join(', ')}`;
  },
  wait: ({reason}) => `waits: ${reason}`,
  refuse: ({reason, retryAfterMs}) =>
    retryAfterMs === null
      ? `is given up: ${reason}`
      : `is refused: ${reason}; Retry-After ${retryAfterMs / MS_PER_S}`,
};

function formatPool(pool: ExplainedPool): string {
  const {decision, upstreams} = pool;
  const rows = upstreams.map(({id, domain, occupancy, slots, ...upstream}) => {
    const {cost, obstacles} = upstream;
    const terms = cost
      ? [cost.wait, cost.otherDomain, cost.newConnection, -cost.savedWork]
      : [null, null, null, null];
    return [
      id,
      domain,
      `${occupancy}/${slots}`,
      ...[...terms, cost?.total ?? null].map(term =>
        // The sum removes the sign of a negative zero.
        term === null ? '-' : (term + 0).toFixed(2),
      ),
      obstacles.join(', '),
    ];
  });
  const describe = decisionTexts[decision.tag] as (
    decision: Decision,
    pool: ExplainedPool,
  ) => string;
  const headers = [
    'upstream',
    'domain',
    'load',
    'wait',
    'other domain',
    'connection',
    'cached',
    'cost',
    'no candidate because',
  ];
  return [
    `pool ${pool.pool} (${Math.round(pool.share * 100)}% of the route): ${describe(decision, pool)}`,
    `waiting: ${pool.queueLength}, fill level: ${pool.fillLevel.toFixed(2)}`,
    formatTable(headers, rows),
  ].join('\n');
}

function formatExplanation(explanation: Explanation): string {
  const {node, placement, admission, route, sample, pools} = explanation;
  const subject = sample
    ? `sample: ${sample.stage}${sample.upstream ? ` at ${sample.upstream}` : ''}, ${sample.events} events`
    : `route ${route}`;
  const head = `node ${node} (placement ${placement}, admission ${admission}), ${subject}`;
  if (pools.length === 0) return `${head}\nnothing to place`;
  return [head, ...pools.map(formatPool)].join('\n\n');
}

/**
 * Shows where a request or sample would go now from a node, and why, without
 * sending it.
 */
export async function explainPlacement(
  options: PlacementOptions,
): Promise<CommandResult> {
  const query = getQuery(options);
  if (!query.ok) return query;
  const node = options.node.replace(/\/$/, '');
  const response = await requestJson({
    method: 'GET',
    url: `${node}/explain-placement?${query.value}`,
    timeoutMs: EXPLAIN_TIMEOUT_MS,
  });
  if (!response.ok) {
    const message = `node ${node}: ${response.error.detail}`;
    return fail({tag: 'unreachable', message});
  }
  const {status, body} = response.value;
  if (status !== 200) {
    const error = errorSchema.safeParse(body);
    const message = error.success ? error.data.error : `status ${status}`;
    return fail({tag: 'refused', message});
  }
  const explanation = explanationSchema.safeParse(body);
  if (!explanation.success) {
    const message = `unexpected response: ${explanation.error.message}`;
    return fail({tag: 'refused', message});
  }
  return ok({
    data: explanation.data,
    text: formatExplanation(explanation.data),
  });
}
