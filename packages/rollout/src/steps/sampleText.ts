import {parseJson} from '@vanillacross/common';
import {z} from 'zod';

const eventsSchema = z.array(z.string());

/** Whether text of these versions may become part of a sample. */
export function areVersionsUsable(
  versions: readonly number[],
  minVersion: number,
  isSingleVersion: boolean,
): boolean {
  if (isSingleVersion && versions.length > 1) return false;
  return versions.every(version => version >= minVersion);
}

/** The text of a sample as far as it was generated; grows by whole events. */
export class SampleText {
  private readonly events: string[] = [];
  private readonly versionSet = new Set<number>();

  /** Id of the newest event; 0 before the first. */
  get lastEventId(): number {
    return this.events.length;
  }

  /** Versions of the weights that generated an event, in ascending order. */
  get versions(): number[] {
    return [...this.versionSet].sort((a, b) => a - b);
  }

  /** Takes the event after the last one; false if it is another one. */
  append(id: number, data: string, version: number): boolean {
    if (id !== this.events.length + 1) return false;
    this.events.push(data);
    this.versionSet.add(version);
    return true;
  }

  /** Takes several events with all versions that generated one of them. */
  extend(events: readonly string[], versions: readonly number[]): void {
    this.events.push(...events);
    for (const version of versions) this.versionSet.add(version);
  }

  /** Data of the events after one. */
  getEventsAfter(id: number): string[] {
    return this.events.slice(id);
  }

  /** Whether it may become part of a sample with these bounds. */
  isUsable(minVersion: number, isSingleVersion: boolean): boolean {
    return areVersionsUsable(this.versions, minVersion, isSingleVersion);
  }

  /** Forgets everything. */
  clear(): void {
    this.events.length = 0;
    this.versionSet.clear();
  }

  /** The data of all events, separated by line feeds. */
  getOutput(): Buffer {
    return Buffer.from(this.events.join('\n'));
  }
}

/** The data of all events, or null if a piece is missing or unreadable. */
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
