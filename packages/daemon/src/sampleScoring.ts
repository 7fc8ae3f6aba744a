import {getDeadline} from '@vanillacross/common';
import type {SampleSpec} from '@vanillacross/domain';
import type {ScoringPort} from '@vanillacross/platform';

import type {Context} from './types.js';

const BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/**
 * Scores a sample with a bounded number of attempts. Returns null if there is
 * no scoring service, if it rejects the sample, if all attempts fail, or if the
 * sample is no longer wanted.
 */
export async function scoreSample(
  {clock, metrics}: Context,
  port: ScoringPort | null,
  spec: SampleSpec,
  text: string,
  maxAttempts: number,
  isWanted: () => boolean,
): Promise<number | null> {
  if (!port) return null;
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const score = await port.score(spec.id, spec.prompt, text);
    if (score.ok) return score.value;
    if (score.error.tag === 'rejected' || !isWanted()) break;
    const waitMs = Math.min(BACKOFF_MS * 2 ** attempt, MAX_BACKOFF_MS);
    await clock.waitUntil(getDeadline(clock.now(), waitMs));
  }
  metrics.count('vc_samples_unscored');
  return null;
}
