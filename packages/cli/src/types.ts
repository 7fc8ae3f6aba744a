import type {Result} from '@vanillacross/common';

import type {CommandFailure} from './errors.js';
import type {OperatorClient} from './operatorClient.js';

/** Options of every command. */
export interface GlobalOptions {
  entry: string;
  token: string;
  operator: string;
  output: 'table' | 'json';
}

/** Output of a command: data for JSON output and text for the terminal. */
export interface CommandOutput {
  data: unknown;
  text: string;
  /** Exit status; 0 if absent. */
  status?: number;
}

/** Dependencies of a command. */
export interface CommandContext {
  options: GlobalOptions;
  client: OperatorClient;
  /** Shows or replaces a progress line on standard error. */
  showProgress(line: string): void;
}

export type CommandResult = Result<CommandOutput, CommandFailure>;

/** A configuration record as returned by an entry. */
export interface ConfigurationRecord {
  key: string;
  revision: number;
  offset: number;
  schemaVersion: number;
  body: unknown;
  operator: string;
}

/** A planned change to a configuration record. */
export interface RecordChange {
  key: string;
  baseRevision: number;
  schemaVersion: number;
  /** New body; null deletes the record. */
  body: unknown;
  /** Body that the change replaces; null if there is none. */
  previous: unknown;
}
