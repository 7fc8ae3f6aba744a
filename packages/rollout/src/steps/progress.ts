import type {SampleId} from '@vanillacross/common';

import type {TextLocation} from '../model/index.js';

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
  /** Number of events in the part. */
  events: number;
  /** Versions of the weights that generated the events up to here. */
  versions: readonly number[];
  /** Place of the events' data, a JSON array. */
  text: TextLocation;
}

/** What is stored of an unfinished sample; immutable. */
export interface Progress {
  chain: string;
  events: number;
  versions: readonly number[];
  /** Places of the text's pieces, in order. */
  texts: readonly TextLocation[];
}

/** Unfinished samples whose text is kept. */
const MAX_SAMPLES = 4_096;

const noProgress: Progress = {chain: '', events: 0, versions: [], texts: []};

/**
 * What the first part of another chain goes on from; null if it can't be
 * joined. A chain from the beginning replaces what is known, as its process
 * could not use that.
 */
function getBase(
  part: ProgressPart,
  head: Progress | undefined,
): Progress | null {
  if (head?.chain === part.chain) {
    return part.after === head.events ? head : null;
  }
  if (part.after !== part.branch) return null;
  if (part.branch === 0 && part.parent === '') return noProgress;
  if (!head || part.parent !== head.chain) return null;
  return part.branch === head.events ? head : null;
}

/**
 * The stored text of unfinished samples. A part counts only if it goes on
 * exactly where the text ends, in the same chain or in one that started from
 * there; so pieces of two runs are never joined.
 */
export class ProgressTracker {
  private readonly samples = new Map<string, Progress>();

  get(key: string): Progress | undefined {
    return this.samples.get(key);
  }

  /** Applies the next part of the stream to the sample with that key. */
  apply(key: string, part: ProgressPart): void {
    const base = getBase(part, this.samples.get(key));
    if (!base) return;
    this.samples.set(key, {
      chain: part.chain,
      events: part.after + part.events,
      versions: part.versions,
      texts: [...base.texts, part.text],
    });
    for (const oldest of this.samples.keys()) {
      if (this.samples.size <= MAX_SAMPLES) break;
      this.samples.delete(oldest);
    }
  }

  delete(key: string): void {
    this.samples.delete(key);
  }
}
