/** One statement that a step checks. */
interface Check {
  text: string;
  holds: boolean;
}

/** Runs the steps of the demo, prints their checks and records failures. */
export interface DemoReporter {
  /** Prints a heading, runs a step and prints its checks. */
  step(
    title: string,
    perform: (check: RecordCheck) => Promise<void>,
  ): Promise<void>;
  /** True if at least one check was made and all checks passed. */
  hasPassed(): boolean;
  print(line?: string): void;
}

/** Records one statement and whether it holds. */
export type RecordCheck = (text: string, holds: boolean) => void;

export function createDemoReporter(
  write: (text: string) => void,
): DemoReporter {
  const checks: Check[] = [];
  let steps = 0;
  const print = (line = '') => write(`${line}\n`);

  const recordCheck: RecordCheck = (text, holds) => {
    checks.push({text, holds});
    print(`   ${holds ? 'ok  ' : 'FAIL'}  ${text}`);
  };
  return {
    print,
    hasPassed: () => checks.length > 0 && checks.every(({holds}) => holds),
    step: async (title, perform) => {
      steps++;
      print();
      print(`${steps}. ${title}`);
      const startedAt = performance.now();
      try {
        await perform(recordCheck);
      } catch (error) {
        recordCheck(`the step threw: ${(error as Error).message}`, false);
      }
      const seconds = (performance.now() - startedAt) / 1_000;
      print(`   (${seconds.toFixed(1)} s)`);
    },
  };
}
