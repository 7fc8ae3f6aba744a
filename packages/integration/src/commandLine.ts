import {execFile} from 'node:child_process';
import {mkdir, writeFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** The entry to which the command connects, and the operator's token and name. */
export interface CommandLineOptions {
  /** Base URL of an entry. */
  entry: string;
  token: string;
  operator?: string;
}

export interface CommandResult {
  exitCode: number;
  stdout: string;
  stderr: string;
}

/** Runs `vanillacross` with the given arguments in a child process. */
export type RunCommand = (...args: string[]) => Promise<CommandResult>;

export const COMMAND_LINE_FILE = fileURLToPath(
  new URL('../../cli/dist/main.js', import.meta.url),
);
/** Long, because a command waits until its change is in force. */
const COMMAND_TIMEOUT_MS = 90_000;

/** Creates a function that runs the built command line for one operator. */
export function createCommandLine(options: CommandLineOptions): RunCommand {
  const env = {
    ...process.env,
    VANILLACROSS_ENTRY: options.entry,
    VANILLACROSS_TOKEN: options.token,
    VANILLACROSS_OPERATOR: options.operator ?? 'operator',
  };
  return (...args) =>
    new Promise(resolve => {
      const child = execFile(
        process.execPath,
        [COMMAND_LINE_FILE, ...args],
        {env, timeout: COMMAND_TIMEOUT_MS, killSignal: 'SIGKILL'},
        (_error, stdout, stderr) =>
          resolve({exitCode: child.exitCode ?? -1, stdout, stderr}),
      );
    });
}

/**
 * Writes record bodies, given by record key, to `KIND/ID.json` in a directory.
 */
export async function writeDeclarations(
  directory: string,
  records: Record<string, unknown>,
): Promise<void> {
  for (const [key, body] of Object.entries(records)) {
    const file = join(directory, `${key}.json`);
    await mkdir(dirname(file), {recursive: true});
    await writeFile(file, `${JSON.stringify({body}, null, 2)}\n`);
  }
}
