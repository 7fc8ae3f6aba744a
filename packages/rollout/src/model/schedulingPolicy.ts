/** How requests, samples and weights are scheduled in a deployment. */
export interface SchedulingPolicy {
  /**
   * `spread` balances each choice by load alone; `concentrated` keeps to few
   * connections and cached prompts where that delays nobody.
   */
  placement: 'spread' | 'concentrated';
  /** Order in which queued samples start. */
  stepOrder: 'acceptance' | 'slack';
  /** How requests without a free upstream wait. */
  admission: 'polling' | 'queue';
}

export const defaultSchedulingPolicy: SchedulingPolicy = {
  placement: 'spread',
  stepOrder: 'acceptance',
  admission: 'polling',
};
