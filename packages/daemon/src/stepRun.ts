import type {MonotonicMs, SampleId} from '@vanillacross/common';
import type {SampleSpec, WeightSpan, StepContent} from '@vanillacross/domain';
import {getSampleSpecs, getStepHash, StepDelivery} from '@vanillacross/domain';

import type {SampleProgress} from './sampleAttempt.js';

/** A generated sample as the trainer gets it. */
export interface Sample {
  sampleId: SampleId;
  group: string | number;
  index: number;
  text: string;
  tokens: number;
  spans: readonly WeightSpan[];
  /** Null if no scoring service is set up or it gave no score. */
  score: number | null;
  engineEpoch: string;
}

/** One run of a sample at an upstream. */
export interface RunningAttempt {
  controller: AbortController;
  upstream: string;
  /** Oldest version of the tokens so far; null before the first. */
  oldestVersion: number | null;
  isStale: boolean;
}

/** Work on the samples of a step. */
export interface GenerationState {
  attempts: Map<SampleId, Set<RunningAttempt>>;
  /** Samples with a whole answer that is being scored. */
  scoring: Set<SampleId>;
  /** Tokens of cut attempts that the next attempt continues. */
  partialProgress: Map<SampleId, SampleProgress>;
}

/** One step that this entry holds. */
export interface StepRun {
  trainer: string;
  name: string;
  hash: string;
  specs: ReadonlyMap<SampleId, SampleSpec>;
  delivery: StepDelivery;
  /** Generated samples that the trainer is not known to have. */
  samples: Map<SampleId, Sample>;
  generation: GenerationState;
  /** Delivery streams that are open. */
  openStreams: number;
  /** When the step is forgotten if its trainer does not call again. */
  expiresAt: MonotonicMs;
  /** Wakes all that wait for a change. */
  notify(): void;
  waitForChange(): Promise<void>;
}

/** Creates the run of a step whose samples are all pending. */
export function createStepRun(
  trainer: string,
  name: string,
  content: StepContent,
  forgetAt: MonotonicMs,
): StepRun {
  const specs = new Map(
    getSampleSpecs(trainer, name, content).map(spec => [spec.id, spec]),
  );
  let wake = () => {};
  let changed = new Promise<void>(resolve => (wake = resolve));
  return {
    trainer,
    name,
    hash: getStepHash(content),
    specs,
    delivery: new StepDelivery([...specs.keys()]),
    samples: new Map(),
    generation: {
      attempts: new Map(),
      scoring: new Set(),
      partialProgress: new Map(),
    },
    openStreams: 0,
    expiresAt: forgetAt,
    waitForChange: () => changed,
    notify: () => {
      wake();
      changed = new Promise(resolve => (wake = resolve));
    },
  };
}
