import type {SampleId} from '@vanillacross/common';

/** State of one sample at the entry that holds its step. */
export type SampleState =
  /** Not generated, or to be generated anew. */
  | 'pending'
  | 'running'
  /** Generated and scored, not sent since the last delivery request. */
  | 'ready'
  /** Sent in the current delivery; the trainer may or may not have it. */
  | 'sent'
  /** The trainer has it; it is never sent again. */
  | 'acknowledged'
  /** Cannot be generated. */
  | 'failed';

/** Number of a delivery request of a step; higher is newer. */
export type DeliveryNumber = number;

/**
 * Decides which samples of a step may be sent (R3). A sample is sent at most
 * once for each delivery request, and again only if the next request does not
 * list it. Acknowledged samples never change their state.
 */
export class StepDelivery {
  private readonly states = new Map<SampleId, SampleState>();
  private readonly readyIds = new Set<SampleId>();
  private readonly counts = new Map<SampleState, number>();
  private current: DeliveryNumber = 0;

  constructor(ids: readonly SampleId[]) {
    for (const id of ids) {
      this.states.set(id, 'pending');
    }
    this.counts.set('pending', this.states.size);
  }

  getState(id: SampleId): SampleState | null {
    return this.states.get(id) ?? null;
  }

  getCount(state: SampleState): number {
    return this.counts.get(state) ?? 0;
  }

  get size(): number {
    return this.states.size;
  }

  /** Reserves a number for a delivery request; ends the older request. */
  reserve(): DeliveryNumber {
    this.current += 1;
    return this.current;
  }

  isCurrent(delivery: DeliveryNumber): boolean {
    return delivery === this.current;
  }

  /**
   * Opens a delivery with what the trainer states to have. Samples sent
   * before that it does not list were lost on the way and become ready again.
   * Returns the ids that were newly acknowledged; none if not current.
   */
  open(delivery: DeliveryNumber, received: Iterable<string>): SampleId[] {
    if (!this.isCurrent(delivery)) return [];
    const newly = this.acknowledge(received);
    for (const [id, state] of this.states) {
      if (state === 'sent') this.set(id, 'ready');
    }
    return newly;
  }

  /** Marks samples that the trainer has; returns those that are new. */
  acknowledge(ids: Iterable<string>): SampleId[] {
    const newly: SampleId[] = [];
    for (const text of ids) {
      const id = text as SampleId;
      const state = this.states.get(id);
      if (state === undefined || state === 'acknowledged') continue;
      this.set(id, 'acknowledged');
      newly.push(id);
    }
    return newly;
  }

  markRunning(id: SampleId): void {
    if (this.states.get(id) === 'pending') this.set(id, 'running');
  }

  /** Returns false if the sample is no longer wanted. */
  markReady(id: SampleId): boolean {
    const state = this.states.get(id);
    if (state !== 'running' && state !== 'pending') return false;
    this.set(id, 'ready');
    return true;
  }

  /** A sample that is generated anew; only work that was not sent. */
  markPending(id: SampleId): boolean {
    const state = this.states.get(id);
    if (state !== 'running' && state !== 'ready') return false;
    this.set(id, 'pending');
    return true;
  }

  markFailed(id: SampleId): void {
    const state = this.states.get(id);
    if (state === 'running' || state === 'pending') this.set(id, 'failed');
  }

  /** The next sample that the current delivery may send. */
  getNextReady(delivery: DeliveryNumber): SampleId | null {
    if (!this.isCurrent(delivery)) return null;
    for (const id of this.readyIds) return id;
    return null;
  }

  /** Must be called in the same turn as the write of the sample's line. */
  markSent(delivery: DeliveryNumber, id: SampleId): boolean {
    if (!this.isCurrent(delivery)) return false;
    if (this.states.get(id) !== 'ready') return false;
    this.set(id, 'sent');
    return true;
  }

  /** True if a delivery has nothing more to wait for. */
  isAllSent(): boolean {
    const open = (['pending', 'running', 'ready'] as const).reduce(
      (sum, state) => sum + this.getCount(state),
      0,
    );
    return open === 0;
  }

  /** True if the trainer has every sample that can be generated. */
  isFinished(): boolean {
    return this.isAllSent() && this.getCount('sent') === 0;
  }

  private set(id: SampleId, state: SampleState): void {
    const before = this.states.get(id)!;
    this.counts.set(before, this.getCount(before) - 1);
    this.counts.set(state, this.getCount(state) + 1);
    this.states.set(id, state);
    if (state === 'ready') this.readyIds.add(id);
    else this.readyIds.delete(id);
  }
}
