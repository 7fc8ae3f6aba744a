/** What a bench measured. */
export interface Measurement {
  /** Headers and rows of the readable table. */
  headers: string[];
  rows: string[][];
  /** The figure that the target speaks about, and what it is compared to. */
  figure: number;
  baseline: number;
  /** What was concluded against the target. */
  conclusion: string;
  /** Further figures for the JSON line. */
  details?: Record<string, number>;
}

/** A bench with a name on the command line. */
export interface Bench {
  name: string;
  /** What is measured and the target. */
  summary: string;
  run(): Promise<Measurement>;
}
