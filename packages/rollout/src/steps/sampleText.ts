import {parseJson} from '@vanillacross/common';
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

  /** Id of the last event; 0 before the first. */
  get lastEventId(): number {
    return this.events.length;
  }

  /** Versions of the weights that generated the events, in ascending order. */
  get versions(): number[] {
    return [...this.versionSet].sort((a, b) => a - b);
  }

  /** Appends an event; returns false if its id does not follow the last one. */
  append(id: number, data: string, version: number): boolean {
    if (id !== this.events.length + 1) return false;
    this.events.push(data);
    this.versionSet.add(version);
    return true;
  }

  /** Appends events together with the versions that generated them. */
  extend(events: readonly string[], versions: readonly number[]): void {
    this.events.push(...events);
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
    this.versionSet.clear();
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
