import type {SampleId} from '@vanillacross/common';

/** State of one sample at the entry that runs its step. */
export type SampleState =
  /** Not generated yet, or to be generated again. */
  | 'pending'
  | 'running'
  /** Generated and scored, but not sent in the current delivery. */
  | 'ready'
  /**
   * Sent in the current delivery; it is unknown whether the trainer received
   * it.
   */
  | 'sent'
  /** Received by the trainer; never sent again. */
  | 'acknowledged'
  /** Cannot be generated. */
  | 'failed';

/** Sequence number of a delivery request of a step; a higher one is newer. */
export type DeliveryNumber = number;

/**
 * Tracks which samples of a step may be sent (requirement R3). A sample is sent
 * at most once per delivery request, and is sent again only if the next request
 * does not list it as received. Acknowledged samples never change their state.
 */
export class StepDelivery {
  private readonly states = new Map<SampleId, SampleState>();
  private readonly readyIds = new Set<SampleId>();
  private readonly counts = new Map<SampleState, number>();
  private currentDelivery: DeliveryNumber = 0;

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

  /**
   * Allocates the sequence number of a new delivery request and supersedes the
   * previous request.
   */
  reserve(): DeliveryNumber {
    this.currentDelivery += 1;
    return this.currentDelivery;
  }

  isCurrent(delivery: DeliveryNumber): boolean {
    return delivery === this.currentDelivery;
  }

  /**
   * Begins to serve a delivery request with the ids that the trainer reports as
   * received. Samples sent earlier that are not among them were lost in transit
   * and become ready again. Returns the newly acknowledged ids; none if the
   * delivery has been superseded.
   */
  open(delivery: DeliveryNumber, received: Iterable<string>): SampleId[] {
    if (!this.isCurrent(delivery)) return [];
    const newlyAcknowledged = this.acknowledge(received);
    for (const [id, state] of this.states) {
      if (state === 'sent') this.setState(id, 'ready');
    }
    return newlyAcknowledged;
  }

  /**
   * Marks samples as received by the trainer; returns those not acknowledged
   * before.
   */
  acknowledge(ids: Iterable<string>): SampleId[] {
    const newlyAcknowledged: SampleId[] = [];
    for (const text of ids) {
      const id = text as SampleId;
      const state = this.states.get(id);
      if (state === undefined || state === 'acknowledged') continue;
      this.setState(id, 'acknowledged');
      newlyAcknowledged.push(id);
    }
    return newlyAcknowledged;
  }

  markRunning(id: SampleId): void {
    if (this.states.get(id) === 'pending') this.setState(id, 'running');
  }

  /**
   * Marks a generated sample as ready to send; returns false if it was neither
   * pending nor running.
   */
  markReady(id: SampleId): boolean {
    const state = this.states.get(id);
    if (state !== 'running' && state !== 'pending') return false;
    this.setState(id, 'ready');
    return true;
  }

  /**
   * Makes a sample pending, so that it is generated again; returns false if it
   * is neither running nor ready.
   */
  markPending(id: SampleId): boolean {
    const state = this.states.get(id);
    if (state !== 'running' && state !== 'ready') return false;
    this.setState(id, 'pending');
    return true;
  }

  markFailed(id: SampleId): void {
    const state = this.states.get(id);
    if (state === 'running' || state === 'pending') this.setState(id, 'failed');
  }

  /**
   * Returns the next sample to send in a delivery; null if there is none or the
   * delivery has been superseded.
   */
  getNextReady(delivery: DeliveryNumber): SampleId | null {
    if (!this.isCurrent(delivery)) return null;
    for (const id of this.readyIds) return id;
    return null;
  }

  /**
   * Marks a sample as sent; returns false if it may not be sent. Must be called
   * in the same event loop turn as the write of the sample's line.
   */
  markSent(delivery: DeliveryNumber, id: SampleId): boolean {
    if (!this.isCurrent(delivery)) return false;
    if (this.states.get(id) !== 'ready') return false;
    this.setState(id, 'sent');
    return true;
  }

  /** Returns whether a delivery has nothing left to send or to wait for. */
  isAllSent(): boolean {
    const unsent = (['pending', 'running', 'ready'] as const).reduce(
      (sum, state) => sum + this.getCount(state),
      0,
    );
    return unsent === 0;
  }

  /** Returns whether the trainer has every sample that can be generated. */
  isFinished(): boolean {
    return this.isAllSent() && this.getCount('sent') === 0;
  }

  private setState(id: SampleId, state: SampleState): void {
    const before = this.states.get(id)!;
    this.counts.set(before, this.getCount(before) - 1);
    this.counts.set(state, this.getCount(state) + 1);
    this.states.set(id, state);
    if (state === 'ready') this.readyIds.add(id);
    else this.readyIds.delete(id);
  }
}
