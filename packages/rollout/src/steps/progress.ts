import type {SampleId, SoftwareVersion} from '@vanillacross/common';

import type {TextLocation} from '../model/index.js';

/** A stored batch of consecutive events of an unfinished sample. */
export interface ProgressPart {
  sample: SampleId;
  /**
   * Id of the chain that the part belongs to. A chain is the sequence of events
   * that one task generates until it discards its text or ends.
   */
  chain: string;
  /** Chain that this one continues; '' if it starts from the beginning. */
  parent: string;
  /** Number of events that the chain takes over from its parent. */
  branch: number;
  /** Number of events before the part. */
  after: number;
  /** Number of events in the part. */
  events: number;
  /**
   * Versions of the weights that generated the events up to the end of the
   * part.
   */
  versions: readonly number[];
  /**
   * Software version of the engines that generated the chain; null in records of
   * older releases, which do not state it.
   */
  software: SoftwareVersion | null;
  /** Location of the events' data, a JSON array. */
  text: TextLocation;
}

/** Stored progress of an unfinished sample; immutable. */
export interface Progress {
  chain: string;
  events: number;
  versions: readonly number[];
  software: SoftwareVersion | null;
  /** Locations of the pieces of the text, in order. */
  texts: readonly TextLocation[];
}

/** Maximum number of unfinished samples to track; the oldest are evicted. */
const MAX_SAMPLES = 4_096;

const emptyProgress: Progress = {
  chain: '',
  events: 0,
  versions: [],
  software: null,
  texts: [],
};

/**
 * Returns the progress that a part continues; null if the part does not fit. A
 * chain that starts from the beginning replaces the known progress, because the
 * process that started the chain could not use that progress.
 */
function getContinuedProgress(
  part: ProgressPart,
  known: Progress | undefined,
): Progress | null {
  const isOfOther = known !== undefined && known.software !== part.software;
  if (known?.chain === part.chain) {
    return part.after === known.events && !isOfOther ? known : null;
  }
  if (part.after !== part.branch) return null;
  if (part.branch === 0 && part.parent === '') return emptyProgress;
  if (!known || isOfOther || part.parent !== known.chain) return null;
  return part.branch === known.events ? known : null;
}

/**
 * Tracks the stored text of unfinished samples. A part is accepted only if it
 * continues exactly where the text ends, in the same chain or in one that
 * branched off at that point. Otherwise the text could mix pieces of two
 * different runs.
 */
export class ProgressTracker {
  private readonly samples = new Map<string, Progress>();

  get(key: string): Progress | undefined {
    return this.samples.get(key);
  }

  /** Applies the next part of the stream to the sample with this key. */
  apply(key: string, part: ProgressPart): void {
    const base = getContinuedProgress(part, this.samples.get(key));
    if (!base) return;
    this.samples.set(key, {
      chain: part.chain,
      events: part.after + part.events,
      versions: part.versions,
      software: part.software,
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
