import type {MonotonicMs, SampleId} from '@vanillacross/common';
import type {SampleSpec, WeightSpan, StepContent} from '@vanillacross/domain';
import {getSampleSpecs, getStepHash, StepDelivery} from '@vanillacross/domain';

import type {SampleProgress} from './sampleAttempt.js';

/** A generated sample as delivered to the trainer. */
export interface Sample {
  sampleId: SampleId;
  group: string | number;
  index: number;
  text: string;
  tokens: number;
  spans: readonly WeightSpan[];
  /** Null if there is no scoring service or it returned no score. */
  score: number | null;
  engineEpoch: string;
}

/** A running attempt to generate a sample. */
export interface RunningAttempt {
  controller: AbortController;
  upstream: string;
  /** Oldest weight version of the tokens so far; null before the first. */
  oldestVersion: number | null;
  /**
   * True once the attempt can only produce a sample that is too old to deliver.
   */
  isStale: boolean;
}

/** Generation state of the samples of a step. */
export interface GenerationState {
  attempts: Map<SampleId, Set<RunningAttempt>>;
  /** Generated samples that are being scored. */
  scoring: Set<SampleId>;
  /** Tokens of interrupted attempts, which the next attempt resumes. */
  partialProgress: Map<SampleId, SampleProgress>;
}

/** A step whose samples this entry generates and delivers. */
export interface StepRun {
  trainer: string;
  name: string;
  hash: string;
  specs: ReadonlyMap<SampleId, SampleSpec>;
  delivery: StepDelivery;
  /** Generated samples that the trainer has not acknowledged. */
  samples: Map<SampleId, Sample>;
  generation: GenerationState;
  openStreams: number;
  /** When the step is removed unless its trainer calls again. */
  expiresAt: MonotonicMs;
  /** Resolves the pending promises of `waitForChange`. */
  notify(): void;
  waitForChange(): Promise<void>;
}

/** Creates a step with all samples pending. */
export function createStepRun(
  trainer: string,
  name: string,
  content: StepContent,
  expiresAt: MonotonicMs,
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
    expiresAt,
    waitForChange: () => changed,
    notify: () => {
      wake();
      changed = new Promise(resolve => (wake = resolve));
    },
  };
}
