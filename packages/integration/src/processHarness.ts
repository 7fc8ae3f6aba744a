import {parseJson} from '@vanillacross/common';
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** A Node.js process to start, with the same binary as the current process. */
export interface ProcessSpec {
  /** Name in error messages. */
  name: string;
  /** JavaScript file to run. */
  file: string;
  args?: string[];
  env?: Record<string, string>;
  /** Arguments of Node.js itself, for example `--max-old-space-size=128`. */
  nodeArgs?: string[];
}

/** The JSON line that a process prints when it is ready. */
export type ReadyLine = Record<string, unknown> & {ready: true};

export interface RunningProcess {
  name: string;
  pid: number;
  ready: ReadyLine;
  /** The last lines that the process logged, oldest first. */
  getLogLines(): readonly string[];
  isRunning(): boolean;
  /** Sends a signal, SIGKILL by default, and waits until the process exits. */
  kill(signal?: NodeJS.Signals): Promise<ProcessExit>;
  /** Sends a signal without waiting. */
  sendSignal(signal: NodeJS.Signals): void;
  pause(): void;
  resume(): void;
  exited: Promise<ProcessExit>;
}

export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Starts child processes and kills only those that it started. */
export interface ProcessHarness {
  startProcess(spec: ProcessSpec): Promise<RunningProcess>;
  /** Kills all child processes that are still running. */
  stopAll(): Promise<void>;
}

/** Log lines kept per process. */
const MAX_LOG_LINES = 2_000;
/** Log lines in the error of a process that does not become ready. */
const SHOWN_LOG_LINES = 20;
/** Long, because many processes may start at once on a busy machine. */
const READY_TIMEOUT_MS = 30_000;

function collectLogs(child: ChildProcess): string[] {
  const logs: string[] = [];
  createInterface({input: child.stderr!}).on('line', line => {
    if (logs.length >= MAX_LOG_LINES) logs.shift();
    logs.push(line);
  });
  return logs;
}

/**
 * Resolves with the ready line, or null if the process exits or times out
 * without one.
 */
function waitForReady(child: ChildProcess): Promise<ReadyLine | null> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(null), READY_TIMEOUT_MS);
    const finish = (line: ReadyLine | null) => {
      clearTimeout(timer);
      resolve(line);
    };
    createInterface({input: child.stdout!}).on('line', text => {
      const line = parseJson(text);
      const value = line.ok ? (line.value as ReadyLine | null) : null;
      if (value?.ready === true) finish(value);
    });
    child.once('close', () => finish(null));
    child.once('error', () => finish(null));
  });
}

export function createProcessHarness(): ProcessHarness {
  const children = new Set<ChildProcess>();
  const killAll = () => {
    for (const child of children) child.kill('SIGKILL');
  };

  const startProcess = async (spec: ProcessSpec): Promise<RunningProcess> => {
    const child = spawn(
      process.execPath,
      [...(spec.nodeArgs ?? []), spec.file, ...(spec.args ?? [])],
      {env: {...process.env, ...spec.env}, stdio: ['ignore', 'pipe', 'pipe']},
    );
    // A test process that exits early must not leave child processes behind.
    if (children.size === 0) process.once('exit', killAll);
    children.add(child);
    const exited = once(child, 'exit').then(([code, signal]) => {
      children.delete(child);
      if (children.size === 0) process.off('exit', killAll);
      return {code, signal} as ProcessExit;
    });
    const logs = collectLogs(child);
    const ready = await waitForReady(child);
    if (!ready) {
      child.kill('SIGKILL');
      const shown = logs.slice(-SHOWN_LOG_LINES).join('\n');
      throw new Error(`${spec.name} did not become ready:\n${shown}`);
    }
    return {
      name: spec.name,
      pid: child.pid!,
      ready,
      getLogLines: () => logs,
      isRunning: () => children.has(child),
      kill: async (signal = 'SIGKILL') => {
        child.kill(signal);
        return exited;
      },
      sendSignal: signal => void child.kill(signal),
      pause: () => void child.kill('SIGSTOP'),
      resume: () => void child.kill('SIGCONT'),
      exited,
    };
  };
  return {
    startProcess,
    stopAll: async () => {
      const exits = [...children].map(child => once(child, 'exit'));
      killAll();
      await Promise.all(exits);
    },
  };
}
