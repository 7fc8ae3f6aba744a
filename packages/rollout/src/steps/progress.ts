import type {SampleId} from '@vanillacross/common';

import {SampleText} from './sampleText.js';

/** Events of an unfinished sample that a process has stored. */
export interface ProgressPart {
  sample: SampleId;
  /** Names the run of events that the part belongs to. */
  chain: string;
  /** Chain whose text this one goes on from; '' for the beginning. */
  parent: string;
  /** Events before the part. */
  after: number;
  events: readonly string[];
  /** Versions of the weights that generated the events up to here. */
  versions: readonly number[];
}

/** The stored text of an unfinished sample. */
export interface Progress {
  chain: string;
  text: SampleText;
}

/** Unfinished samples whose text is kept. */
const MAX_SAMPLES = 4_096;

/**
 * The stored text of unfinished samples. A part counts only if it goes on
 * exactly where the text ends, in the same chain or in one that started from
 * there; so pieces of two runs are never joined.
 */
export class ProgressBook {
  private readonly samples = new Map<SampleId, Progress>();

  get(sample: SampleId): Progress | undefined {
    return this.samples.get(sample);
  }

  /** Applies the next part of the stream. */
  apply(part: ProgressPart): void {
    const known = this.samples.get(part.sample);
    const head = known ?? {chain: '', text: new SampleText()};
    const isNext = part.after === head.text.lastEventId;
    const isSameChain = part.chain === head.chain || part.parent === head.chain;
    if (!isNext || !isSameChain) return;
    head.text.extend(part.events, part.versions);
    this.samples.set(part.sample, {chain: part.chain, text: head.text});
    for (const sample of this.samples.keys()) {
      if (this.samples.size <= MAX_SAMPLES) break;
      this.samples.delete(sample);
    }
  }

  delete(sample: SampleId): void {
    this.samples.delete(sample);
  }
}
