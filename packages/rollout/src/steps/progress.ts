import type {SampleId} from '@vanillacross/common';

import {SampleText} from './sampleText.js';

/** Events of an unfinished sample that a process has stored. */
export interface ProgressPart {
  sample: SampleId;
  /** Names the run of events that the part belongs to. */
  chain: string;
  /** Chain whose text this one goes on from; '' for the beginning. */
  parent: string;
  /** Events of the parent that the chain goes on from. */
  branch: number;
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

/**
 * The text that the first part of another chain goes on from; null if it
 * can't be joined. A chain from the beginning replaces what is known, as its
 * process could not use that.
 */
function getBase(
  part: ProgressPart,
  head: Progress | undefined,
): SampleText | null {
  if (part.after !== part.branch) return null;
  if (part.branch === 0 && part.parent === '') return new SampleText();
  if (!head || part.parent !== head.chain) return null;
  return part.branch === head.text.lastEventId ? head.text : null;
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
    const head = this.samples.get(part.sample);
    if (head && part.chain === head.chain) {
      if (part.after !== head.text.lastEventId) return;
      head.text.extend(part.events, part.versions);
      return;
    }
    const base = getBase(part, head);
    if (!base) return;
    base.extend(part.events, part.versions);
    this.samples.set(part.sample, {chain: part.chain, text: base});
    for (const sample of this.samples.keys()) {
      if (this.samples.size <= MAX_SAMPLES) break;
      this.samples.delete(sample);
    }
  }

  delete(sample: SampleId): void {
    this.samples.delete(sample);
  }
}
