/** One statement that a step checked. */
interface Check {
  text: string;
  holds: boolean;
}

/** Runs steps, prints them as a page and counts what did not hold. */
export interface DemoPage {
  /** Prints a heading, runs a step and prints its checks. */
  step(
    title: string,
    perform: (check: CheckStep) => Promise<void>,
  ): Promise<void>;
  /** True if at least one check ran and each one held. */
  hasPassed(): boolean;
  print(line?: string): void;
}

/** Notes one statement and whether it holds. */
export type CheckStep = (text: string, holds: boolean) => void;

export function createDemoPage(write: (text: string) => void): DemoPage {
  const checks: Check[] = [];
  let steps = 0;
  const print = (line = '') => write(`${line}\n`);

  const note: CheckStep = (text, holds) => {
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
