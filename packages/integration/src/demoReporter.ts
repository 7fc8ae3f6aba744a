/** One statement that a step checked. */
interface Check {
  text: string;
  holds: boolean;
}

/** Runs steps, prints them as a page and counts what did not hold. */
export interface DemoReporter {
  /** Prints a heading, runs a step and prints its checks. */
  step(
    title: string,
    perform: (check: RecordCheck) => Promise<void>,
  ): Promise<void>;
  /** True if at least one check ran and each one held. */
  hasPassed(): boolean;
  print(line?: string): void;
}

/** Notes one statement and whether it holds. */
export type RecordCheck = (text: string, holds: boolean) => void;

export function createDemoReporter(
  write: (text: string) => void,
): DemoReporter {
  const checks: Check[] = [];
  let steps = 0;
  const print = (line = '') => write(`${line}\n`);

  const note: RecordCheck = (text, holds) => {
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
        await perform(note);
      } catch (error) {
        note(`the step ran to its end: ${(error as Error).message}`, false);
      }
      const seconds = (performance.now() - startedAt) / 1_000;
      print(`   (${seconds.toFixed(1)} s)`);
    },
  };
}
