import type {SoftwareVersion} from '@vanillacross/common';
import {parseJson} from '@vanillacross/common';
import type {TextOrigin} from '@vanillacross/domain';
import {createKnownOrigin, mayExtendText, noText} from '@vanillacross/domain';
import {z} from 'zod';

const eventsSchema = z.array(z.string());

/** Whether a sample may contain text that these versions generated. */
export function areVersionsUsable(
  versions: readonly number[],
  minVersion: number,
  isSingleVersion: boolean,
): boolean {
  if (isSingleVersion && versions.length > 1) return false;
  return versions.every(version => version >= minVersion);
}

/** The text generated so far for a sample, in complete events. */
export class SampleText {
  private readonly events: string[] = [];
  private readonly versionSet = new Set<number>();
  private softwareVersion: SoftwareVersion | null = null;
  private lengthSum = 0;

  /** Id of the last event; 0 before the first. */
  get lastEventId(): number {
    return this.events.length;
  }

  /** Length of the data of all events, UTF-16 code units. */
  get length(): number {
    return this.lengthSum;
  }

  /** Versions of the weights that generated the events, in ascending order. */
  get versions(): number[] {
    return [...this.versionSet].sort((a, b) => a - b);
  }

  /** Software version of the engines that generated it; null without events. */
  get software(): SoftwareVersion | null {
    return this.softwareVersion;
  }

  get origin(): TextOrigin {
    return this.softwareVersion === null
      ? noText
      : createKnownOrigin(this.softwareVersion);
  }

  /**
   * Appends an event; returns false if its id does not follow the last one or if
   * an engine of another software version generated it.
   */
  append(
    id: number,
    data: string,
    version: number,
    software: SoftwareVersion,
  ): boolean {
    if (id !== this.events.length + 1) return false;
    if (!mayExtendText(this.origin, software)) return false;
    this.softwareVersion = software;
    this.events.push(data);
    this.lengthSum += data.length;
    this.versionSet.add(version);
    return true;
  }

  /** Sets the text to the events of an earlier run and what generated them. */
  restore(
    events: readonly string[],
    versions: readonly number[],
    software: SoftwareVersion,
  ): void {
    this.clear();
    this.softwareVersion = software;
    this.events.push(...events);
    this.lengthSum = events.reduce((sum, {length}) => sum + length, 0);
    for (const version of versions) this.versionSet.add(version);
  }

  /** Returns the data of the events after the one with this id. */
  getEventsAfter(id: number): string[] {
    return this.events.slice(id);
  }

  /** Whether a sample with these constraints may contain the text. */
  isUsable(minVersion: number, isSingleVersion: boolean): boolean {
    return areVersionsUsable(this.versions, minVersion, isSingleVersion);
  }

  clear(): void {
    this.events.length = 0;
    this.lengthSum = 0;
    this.versionSet.clear();
    this.softwareVersion = null;
  }

  /** Returns the data of all events, separated by line feeds. */
  getOutput(): Buffer {
    return Buffer.from(this.events.join('\n'));
  }
}

/** Decodes the data of all events; null if a piece is missing or invalid. */
export function decodeTextPieces(
  pieces: ReadonlyArray<Buffer | null>,
): string[] | null {
  const data: string[] = [];
  for (const piece of pieces) {
    const parsed = piece && parseJson(piece.toString('utf8'));
    const events = parsed?.ok ? eventsSchema.safeParse(parsed.value) : null;
    if (!events?.success) return null;
    data.push(...events.data);
  }
  return data;
}
