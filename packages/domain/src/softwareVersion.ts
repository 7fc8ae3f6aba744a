import type {SoftwareVersion} from '@vanillacross/common';

/**
 * What a process knows of the software version that generated a text so far:
 * the events of a stream or a sample.
 */
export type TextOrigin =
  /** Nothing has been generated. */
  {tag: 'none'} | {tag: 'known'; software: SoftwareVersion} | {tag: 'unknown'};

/** The origin of a text without any event. */
export const noText: TextOrigin = {tag: 'none'};

export function createKnownOrigin(software: SoftwareVersion): TextOrigin {
  return {tag: 'known', software};
}

/**
 * Whether an upstream with this software version may generate more of a text.
 * What two versions generate does not fit together, and upstreams do not check
 * it, so a text of unknown origin goes on nowhere.
 */
export function mayExtendText(
  origin: TextOrigin,
  software: SoftwareVersion,
): boolean {
  if (origin.tag === 'none') return true;
  return origin.tag === 'known' && origin.software === software;
}
