/** Longest end of an event, bytes: two line ends of two bytes. */
const MAX_END_BYTES = 4;
const EVENT_END = /(\n|\r\n?)(\n|\r\n?)$/;

/**
 * Follows an event stream and tells whether it is between two events. A stream
 * without a length that ends elsewhere was cut off, even if its connection was
 * closed in an orderly way.
 */
export class EventBoundary {
  private end = '';

  add(chunk: Buffer): void {
    const tail = chunk.subarray(-MAX_END_BYTES).toString('latin1');
    this.end = (this.end + tail).slice(-MAX_END_BYTES);
  }

  /** Whether no event has begun since the last one ended. */
  isBetweenEvents(): boolean {
    return this.end === '' || EVENT_END.test(this.end);
  }
}
