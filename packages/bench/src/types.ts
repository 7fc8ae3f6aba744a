/** Result of a bench. */
export interface Measurement {
  /** Headers and rows of the printed table. */
  headers: string[];
  rows: string[][];
  /**
   * Measured value to which the target applies; for `slopes`, which has no
   * target, the number of series.
   */
  figure: number;
  /** Value with which `figure` is compared; 0 if there is none. */
  baseline: number;
  /** Closing sentence; says whether the target is met if there is one. */
  conclusion: string;
  /** Additional values for the JSON line. */
  details?: Record<string, number>;
}

/** A bench that the command line runs by name. */
export interface Bench {
  name: string;
  /** What is measured, shown above the table. */
  summary: string;
  run(): Promise<Measurement>;
}
